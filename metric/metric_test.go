package metric_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/record"
)

func scrape(r *metric.Registry) string {
	rec := httptest.NewRecorder()
	r.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	return rec.Body.String()
}

func TestRegistryServesCounters(t *testing.T) {
	r := metric.New(map[string]string{"node": "n1"})
	r.Scope().Counter(metric.PublishAccepted).Inc(3)
	r.Scope().Tagged(map[string]string{metric.TagService: "s"}).Counter(metric.ObjectiveCalls).Inc(2)
	qt.Assert(t, r.Close(), qt.IsNil) // flushes
	text := scrape(r)
	qt.Check(t, text, qt.Contains, `bambooknot_publish_accepted{node="n1"} 3`)
	qt.Check(t, text, qt.Contains, `bambooknot_objective_calls{node="n1",service="s"} 2`)
	qt.Check(t, r.RejectedMetrics(), qt.Equals, int64(0))
}

// TestRegistryRejectsConflictingTags guards against a panic when one name is registered with two sets of tags.
func TestRegistryRejectsConflictingTags(t *testing.T) {
	r := metric.New(nil)
	r.Scope().Counter("clash").Inc(1)
	r.Scope().Tagged(map[string]string{"a": "b"}).Counter("clash").Inc(1)
	qt.Assert(t, r.Close(), qt.IsNil)
	qt.Check(t, r.RejectedMetrics() > 0, qt.IsTrue)
}

func TestStatusGauges(t *testing.T) {
	now := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	self := member.New(member.NewKey(netip.MustParseAddrPort("10.0.0.1:7100"), 1), member.NewPlace("jadran", "split"), record.Schema2)
	census := func(region member.Region, counts ...message.VersionCount) message.Census {
		return message.NewCensus(region, counts, nil, now.Add(-time.Second))
	}
	scope := tally.NewTestScope("", nil)
	gauges := metric.NewStatusGauges(scope)
	gauges.Record(now, message.NewStatus(message.StatusFields{
		Stage: message.StageServing, Digest: message.NewDigest(7, 9, 1), LogSeenAt: now.Add(-3 * time.Second), Unconfirmed: true, Conflicts: 4,
		Members: []member.Member{self, self.WithHealth(member.HealthDead)},
		Census: []message.Census{
			census("jadran", message.NewVersionCount(7, 2)),
			census("kontinent", message.NewVersionCount(7, 1), message.NewVersionCount(5, 4)),
		},
	}))
	gauge := func(name string) float64 {
		g, ok := scope.Snapshot().Gauges()[name]
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s", name))
		return g.Value()
	}
	for name, want := range map[string]float64{
		metric.ConfigVersion + "+":                  7,
		metric.ConfigHead + "+":                     9,
		metric.ConfigNeedSchema + "+":               0,
		metric.ConfigUnequal + "+":                  4,
		metric.ConfigUnconfirmed + "+":              1,
		metric.LogFault + "+":                       0,
		metric.LogSilence + "+":                     3,
		metric.NodeServing + "+":                    1,
		metric.FleetNodes + "+health=alive":         1,
		metric.FleetNodes + "+health=dead":          1,
		metric.FleetBehind + "+region=jadran":       0,
		metric.FleetBehind + "+region=kontinent":    4,
		metric.FleetCensusAge + "+region=kontinent": 1,
	} {
		qt.Check(t, gauge(name), qt.Equals, want, qt.Commentf("%s", name))
	}
	gauges.Record(now, message.NewStatus(message.StatusFields{}))
	qt.Check(t, gauge(metric.FleetBehind+"+region=kontinent"), qt.Equals, 0.0)
	qt.Check(t, gauge(metric.FleetCensusAge+"+region=kontinent"), qt.Equals, 0.0)
	qt.Check(t, gauge(metric.NodeServing+"+"), qt.Equals, 0.0)
}
