package rollout

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Guard stops the target version at one node that itself sees it fail clearly more often than the base version. It acts
// without the decider, and knows only the node's own requests. It is not safe for concurrent use.
type Guard struct {
	services map[string]*guarded
}

type guarded struct {
	order   uint64
	judge   *Judge
	stopped bool
}

// NewGuard returns a guard that has seen nothing.
func NewGuard() *Guard { return &Guard{services: make(map[string]*guarded)} }

// Observe takes in the node's own counts of a service. It returns whether the guard stopped the target version now.
func (g *Guard) Observe(now time.Time, c Counts) bool {
	s := g.services[c.Service()]
	if s == nil || s.order != c.Order() {
		s = &guarded{order: c.Order(), judge: NewJudge()}
		g.services[c.Service()] = s
	}
	if s.stopped {
		return false
	}
	s.judge.Observe(now, member.Key{}, c)
	_, s.stopped = s.judge.badRoute(failingHypotheses, guardThreshold)
	return s.stopped
}

// Stopped reports whether the target version of a service is stopped for the order that was counted last.
func (g *Guard) Stopped(service string) bool {
	s := g.services[service]
	return s != nil && s.stopped
}

// Forget drops what is known about a service, once its roll-out has ended.
func (g *Guard) Forget(service string) { delete(g.services, service) }
