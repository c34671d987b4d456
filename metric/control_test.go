package metric_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/relay"
)

func TestControlCountersRecordIncrements(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := metric.NewControlCounters(scope)
	c.Record(fleet.Counts{Deaths: 2}, relay.Counts{Conflicts: 1})
	c.Record(fleet.Counts{Deaths: 5}, relay.Counts{Conflicts: 1})
	counters := scope.Snapshot().Counters()
	qt.Assert(t, counters[metric.FleetDeaths+"+"].Value(), qt.Equals, int64(5))
	qt.Assert(t, counters[metric.RelayUnequal+"+"].Value(), qt.Equals, int64(1))
}
