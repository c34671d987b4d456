package rollout

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Planner makes the plans of a node and knows the base version of each service. It is not safe for concurrent use.
type Planner struct {
	bases    map[string]baseVersion
	inputs   map[string]planInput
	plans    *Plans
	view     *member.View
	digest   uint64
	services []string
}

// planInput is what a plan was made from.
type planInput struct {
	decision  Decision
	base      string
	confirmed time.Time
	stopped   bool
}

// NewPlanner returns a planner that knows no base version yet.
func NewPlanner() *Planner {
	return &Planner{bases: make(map[string]baseVersion), inputs: make(map[string]planInput), plans: &Plans{}}
}

// Update returns the plans for a view and the decisions in force. stopped reports whether the node's own guard has
// stopped the target version of a service. It returns the same Plans as before if nothing changed.
func (p *Planner) Update(now time.Time, view *member.View, record *Record, stopped func(service string) bool) *Plans {
	viewChanged := view != p.view
	if viewChanged || record.Digest() != p.digest {
		p.view, p.digest = view, record.Digest()
		p.services = servicesOf(view, record)
	}
	updated := make(map[string]*Plan)
	for _, service := range p.services {
		if plan := p.update(now, service, record, stopped(service), viewChanged); plan != nil {
			updated[service] = plan
		}
	}
	if !samePlans(updated, p.plans.plans) {
		p.plans = &Plans{plans: updated}
	}
	return p.plans
}

func (p *Planner) update(now time.Time, service string, record *Record, stopped, viewChanged bool) *Plan {
	entry := record.entries[service]
	base := p.bases[service]
	if viewChanged || entry.decision.Sequence() != base.sequence || base.expected(now) {
		base = base.update(now, p.view.Service(service), entry.decision)
		p.bases[service] = base
	}
	if base.version == "" {
		return nil
	}
	input := planInput{decision: entry.decision, base: base.version, stopped: stopped}
	if !entry.decision.Final() {
		input.confirmed = entry.confirmedAt
	}
	previous, old := p.inputs[service], p.plans.Service(service)
	p.inputs[service] = input
	if old == nil || viewChanged {
		return newPlan(input, p.view.Service(service))
	}
	if input == previous {
		return old
	}
	previous.confirmed = input.confirmed
	if input == previous {
		return old.extended(input.confirmed)
	}
	return newPlan(input, p.view.Service(service))
}

func newPlan(in planInput, members []member.Member) *Plan {
	plan := &Plan{decision: in.decision, base: in.base}
	if in.decision.Sequence() == 0 || in.decision.Final() || in.stopped && in.decision.Phase() != PhaseShifting {
		return plan
	}
	plan.share, plan.validUntil = in.decision.EffectiveShare(), in.confirmed.Add(TrustPeriod)
	if plan.share > 0 {
		plan.cohorts = selectServers(members, in.decision.Target(), in.decision.Servers())
	}
	return plan
}

// extended returns the plan after a further contact to the decider.
func (p *Plan) extended(confirmed time.Time) *Plan {
	plan := *p
	plan.validUntil = confirmed.Add(TrustPeriod)
	return &plan
}

// servicesOf returns the services that have a decision or a server whose version is known.
func servicesOf(view *member.View, record *Record) []string {
	known := make(map[string]bool)
	for service := range record.entries {
		known[service] = true
	}
	for _, m := range view.Members() {
		if m.Server().Service() != "" && m.Server().Version() != "" {
			known[m.Server().Service()] = true
		}
	}
	services := make([]string, 0, len(known))
	for service := range known {
		services = append(services, service)
	}
	return services
}

func samePlans(a, b map[string]*Plan) bool {
	if len(a) != len(b) {
		return false
	}
	for service, plan := range a {
		if b[service] != plan {
			return false
		}
	}
	return true
}
