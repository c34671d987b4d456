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
	share      int // thousandths
	validUntil time.Time
	cohorts    map[member.Key]uint8 // servers of the target version in use
}

// Plans are the plans of all services, immutable. A nil *Plans, and a service without a plan, permit every server.
type Plans struct {
	plans map[string]*Plan
}

// Service returns the plan of a service, or nil.
func (p *Plans) Service(name string) *Plan { panic("rollout: not built yet") }

// Base returns the version that requests go to unless a decision sends them to another.
func (p *Plan) Base() string { return p.base }

// Decision returns the decision that the plan follows. It is the zero Decision if there is none.
func (p *Plan) Decision() Decision { return p.decision }

// Share returns the thousandths of requests that go to the target version at a time.
func (p *Plan) Share(now time.Time) int { panic("rollout: not built yet") }

// Allows reports whether a member's server may get a request of a side.
func (p *Plan) Allows(m member.Member, side Side) bool { panic("rollout: not built yet") }

// Cohort returns the cohort of a server of the target version, which its responses are counted under.
func (p *Plan) Cohort(key member.Key) int { panic("rollout: not built yet") }

// Planner makes the plans of a node and knows the base version of each service. It is not safe for concurrent use.
type Planner struct{}

// NewPlanner returns a planner that knows no base version yet.
func NewPlanner() *Planner { return &Planner{} }

// Update returns the plans for a view and the decisions in force. stopped reports whether the node's own guard has
// stopped the target version of a service. It returns the same Plans as before if nothing changed.
func (p *Planner) Update(now time.Time, view *member.View, record *Record, stopped func(service string) bool) *Plans {
	panic("rollout: not built yet")
}

// Chooser chooses the side of each request by an even sequence per service and route. It is not safe for concurrent use.
type Chooser struct{}

// NewChooser returns a chooser that draws the starting points of its sequences from uniform, which returns numbers in
// [0, 1).
func NewChooser(uniform func() float64) *Chooser { return &Chooser{} }

// Choose returns the side of the next request of a service and route.
func (c *Chooser) Choose(now time.Time, service, route string, plan *Plan) Side {
	panic("rollout: not built yet")
}
