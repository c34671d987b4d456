package rollout

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// TrustPeriod is the time without contact to the decider after which a share between 0 and all counts as 0.
const TrustPeriod = 3 * time.Second

// Side says to which version a request goes.
type Side uint8

// Sides of a roll-out.
const (
	SideBase Side = iota
	SideTarget
)

// Plan is what a node needs to route the requests of one service. It is immutable. A nil *Plan permits every server.
type Plan struct {
	decision   Decision
	base       string
	share      int                  // thousandths
	validUntil time.Time            // of a share between 0 and all
	cohorts    map[member.Key]uint8 // servers of the target version in use
}

// Plans are the plans of all services, immutable. A nil *Plans, and a service without a plan, permit every server.
type Plans struct {
	plans map[string]*Plan
}

// Service returns the plan of a service, or nil.
func (p *Plans) Service(name string) *Plan {
	if p == nil {
		return nil
	}
	return p.plans[name]
}

// Base returns the version that requests go to unless a decision sends them to another.
func (p *Plan) Base() string { return p.base }

// Decision returns the decision that the plan follows. It is the zero Decision if there is none.
func (p *Plan) Decision() Decision { return p.decision }

// Running reports whether requests have to be counted, as the roll-out has not ended.
func (p *Plan) Running() bool {
	return p != nil && p.decision.Sequence() != 0 && !p.decision.Final()
}

// Share returns the thousandths of requests that go to the target version at a time. A share between 0 and all is valid
// only for TrustPeriod after the last contact to the decider. The time is checked here, as a node whose control loop
// hangs publishes no other plan.
func (p *Plan) Share(now time.Time) int {
	if p == nil || len(p.cohorts) == 0 {
		return 0
	}
	if p.share < FullShare && !now.Before(p.validUntil) {
		return 0
	}
	return p.share
}

// Allows reports whether a member's server may get a request of a side. The version is compared too, as the server at an
// address may be replaced by one of another version.
func (p *Plan) Allows(m member.Member, side Side) bool {
	if p == nil {
		return true
	}
	if side == SideBase {
		return m.Server().Version() == p.base
	}
	_, inUse := p.cohorts[m.Key()]
	return inUse && m.Server().Version() == p.decision.Target()
}

// Cohort returns the cohort of a server of the target version, which its responses are counted under.
func (p *Plan) Cohort(key member.Key) int {
	if p == nil {
		return 0
	}
	return int(p.cohorts[key])
}
