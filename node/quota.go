package node

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/quota"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/timer"
)

// maxQuotaLabels is the number of organisations that metrics name. The rest is summed.
const maxQuotaLabels = 64

// otherOrganisations is the label of organisations that metrics do not name.
const otherOrganisations = "other"

// quotaGate makes a node's limiter available to the traffic and reports what it does.
type quotaGate struct {
	clock   *timer.Service
	log     zerolog.Logger
	scope   tally.Scope
	limiter *quota.Shared
	counted map[string]quotaCount // at the last record; owned by the gauge timer
	labels  map[string]bool       // names in metrics; owned by the gauge timer
}

// quotaCount holds the requests of an organisation so far.
type quotaCount struct{ asked, admitted uint64 }

func newQuotaGate(clock *timer.Service, log zerolog.Logger, scope tally.Scope, rnd *rand.Rand) *quotaGate {
	return &quotaGate{
		clock: clock, log: log, scope: scope, limiter: quota.NewShared(quota.NewLimiter(rnd)),
		counted: make(map[string]quotaCount), labels: make(map[string]bool),
	}
}

// admit decides on a request of an organisation.
func (g *quotaGate) admit(organisation routing.Organisation) (admitted bool, retryAfter time.Duration) {
	return g.limiter.Admit(g.clock.Now(), organisation)
}

// logChanges logs the organisations that this node, as their owner, starts and stops to limit.
func (g *quotaGate) logChanges(changes []control.QuotaChange) {
	for _, c := range changes {
		o := c.Organisation()
		if c.Limited() {
			g.log.Warn().Str("kind", "organisation_limited").Str("organisation", o.Name()).Float64("rate", o.RatePerSecond()).
				Float64("burst", o.Burst()).Float64("demand", c.Demand()).Msg("an organisation asks for more than its quota; nodes refuse a part of its requests")
			continue
		}
		g.log.Info().Str("kind", "organisation_within_quota").Str("organisation", o.Name()).Float64("rate", o.RatePerSecond()).
			Float64("demand", c.Demand()).Msg("an organisation asks for no more than its quota again")
	}
}

// recordCounters adds the requests since the last call to the counters. An organisation gets a label if it is among the
// loudest and there are labels left, and keeps it, since counters cannot be removed.
func (g *quotaGate) recordCounters() {
	var all []quota.LimiterStatus
	g.limiter.With(func(l *quota.Limiter) { all = l.Status() })
	slices.SortFunc(all, func(a, b quota.LimiterStatus) int {
		return cmp.Or(cmp.Compare(b.Asked(), a.Asked()), cmp.Compare(a.Name(), b.Name()))
	})
	counted := make(map[string]quotaCount, len(all))
	for _, s := range all {
		if s.Asked() == 0 {
			continue
		}
		counted[s.Name()] = quotaCount{asked: s.Asked(), admitted: s.Admitted()}
		g.add(s.Name(), s.Asked(), s.Admitted())
	}
	g.counted = counted
}

func (g *quotaGate) add(name string, asked, admitted uint64) {
	before := g.counted[name]
	if asked < before.asked || admitted < before.admitted { // the limiter had forgotten the organisation
		before = quotaCount{}
	}
	label := otherOrganisations
	if g.labels[name] || len(g.labels) < maxQuotaLabels {
		g.labels[name] = true
		label = name
	}
	scope := g.scope.Tagged(map[string]string{"organisation": label})
	newAsked, newAdmitted := asked-before.asked, admitted-before.admitted
	scope.Counter("quota_asked").Inc(int64(newAsked))
	scope.Counter("quota_admitted").Inc(int64(newAdmitted))
	scope.Counter("quota_refused").Inc(int64(newAsked) - int64(newAdmitted))
}
