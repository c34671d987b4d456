package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/rollout"
)

// VersionCounters hold what a node's traffic counts of running roll-outs. They are safe for concurrent use.
type VersionCounters struct {
	mu        sync.Mutex
	byService map[string]orderCounter
}

// orderCounter is the counter of the newest order of a service.
type orderCounter struct {
	order   uint64
	counter *rollout.Counter
}

// NewVersionCounters returns counters that have counted nothing.
func NewVersionCounters() *VersionCounters {
	return &VersionCounters{byService: make(map[string]orderCounter)}
}

// counter returns the counter of an order of a service, or nil if there is a newer order.
func (v *VersionCounters) counter(service string, order uint64) *rollout.Counter {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.byService[service]
	if order < c.order {
		return nil
	}
	if c.counter == nil || order > c.order {
		c = orderCounter{order: order, counter: rollout.NewCounter(service, order)}
		v.byService[service] = c
	}
	return c.counter
}

// Counts returns what was counted of the roll-out of a decision.
func (v *VersionCounters) Counts(d rollout.Decision, guarded bool) rollout.Counts {
	if c := v.counter(d.Service(), d.Order()); c != nil {
		return c.Counts(d.Sequence(), guarded)
	}
	return rollout.NewCounts(rollout.CountsFields{Service: d.Service(), Order: d.Order(), Sequence: d.Sequence(), Guarded: guarded})
}

// versionRouter chooses the version of the server for each request. The caller holds the lock of the Ingress.
type versionRouter struct {
	chooser *rollout.Chooser
	filters map[string]planFilters // by service
	lastID  uint64                 // of a filter
}

// planFilters are the servers that a plan allows on each side. They are kept, as the pools of the balancer belong to them.
type planFilters struct {
	plan   *rollout.Plan
	bySide [2]balance.Filter
}

func newVersionRouter(uniform func() float64) versionRouter {
	return versionRouter{chooser: rollout.NewChooser(uniform), filters: make(map[string]planFilters)}
}

// versionChoice is the version that the requests of one caller's request go to.
type versionChoice struct {
	plan   *rollout.Plan // of the last attempt, nil if versions are ignored
	drawn  bool          // side is set
	side   rollout.Side  // drawn once, so that retries stay with it
	asked  rollout.Side  // of the last attempt
	server string        // version of the server of the last attempt
}

// route sets the side of the next attempt of a request. The share in force now decides whether the side that was drawn may
// still be used: a roll-out may have been halted or completed since.
func (r *versionRouter) route(now time.Time, q *request, plan *rollout.Plan) {
	c := &q.version
	if c.plan = plan; plan == nil {
		return
	}
	if !c.drawn {
		c.side, c.drawn = r.chooser.Choose(now, q.service, q.route.Name(), plan), true
	}
	c.asked = c.side
	switch share := plan.Share(now); {
	case share <= 0:
		c.asked = rollout.SideBase
	case share >= rollout.FullShare:
		c.asked = rollout.SideTarget
	}
}

// fallBack moves a request whose side has no server left to the base version, unless all requests go to the target version.
func (c *versionChoice) fallBack(now time.Time) bool {
	if c.plan == nil || c.asked != rollout.SideTarget || c.plan.Share(now) >= rollout.FullShare {
		return false
	}
	c.side, c.asked = rollout.SideBase, rollout.SideBase
	return true
}

// filter returns the servers to which the next attempt of a request may go.
func (r *versionRouter) filter(q *request) balance.Filter {
	plan := q.version.plan
	if plan == nil {
		return balance.Filter{}
	}
	f := r.filters[q.service]
	if f.plan != plan {
		f.plan = plan
		for side := range f.bySide {
			r.lastID++
			f.bySide[side] = balance.NewFilter(r.lastID, func(m member.Member) bool { return plan.Allows(m, rollout.Side(side)) })
		}
		r.filters[q.service] = f
	}
	return f.bySide[q.version.asked]
}

// plan returns the plan of a service in force, or nil if versions are ignored.
func (in *Ingress) plan(service string) *rollout.Plan {
	if s := in.settings.Snapshot(); s != nil {
		return s.Plans().Service(service)
	}
	return nil
}

// versionAllows reports whether a request may go to the server of a member that the balancer has not chosen.
func (in *Ingress) versionAllows(now time.Time, q *request, to member.Member) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.versions.route(now, q, in.plan(q.service))
	return in.versions.filter(q).Allows(to)
}

// versionAttempt counts one attempt while a roll-out is running. The zero value counts nothing.
type versionAttempt struct {
	counter *rollout.Counter
	route   string
	side    rollout.Side
	cohort  int
}

// startVersionAttempt notes the version that an attempt goes to and counts the attempt if a roll-out is running.
func (in *Ingress) startVersionAttempt(q *request, to member.Member) versionAttempt {
	q.version.server = to.Server().Version()
	plan := q.version.plan
	if in.settings.Versions == nil || !plan.Running() {
		return versionAttempt{}
	}
	d := plan.Decision()
	a := versionAttempt{counter: in.settings.Versions.counter(d.Service(), d.Order()), route: q.route.Name(), side: q.version.asked}
	if a.counter == nil {
		return a
	}
	if a.side == rollout.SideTarget {
		a.cohort = plan.Cohort(to.Key())
	}
	a.counter.Start(a.side)
	return a
}

func (a versionAttempt) end(r Result, took time.Duration) {
	if a.counter == nil {
		return
	}
	failed, counts := versionFailure(r)
	if !counts {
		a.counter.Cancel(a.side)
		return
	}
	if r.runTime > 0 {
		took = r.runTime // without the time in the queue, which depends on the load
	}
	a.counter.End(a.route, a.side, a.cohort, failed, took)
}

// versionFailure reports whether a result is a failure of the server's version, and whether it says anything about it.
func versionFailure(r Result) (failed, counts bool) {
	if r.outcome == OutcomeAnswered {
		return r.response.Status() >= http.StatusInternalServerError, true
	}
	if r.outcome == OutcomeNotRun || r.reason == ReasonCallerLeft || r.reason == ReasonNodeLost {
		return false, false
	}
	return true, true
}
