package control

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/routing"
)

// tableWith decodes documents to tables with one organisation.
func tableWith(organisation routing.Organisation) func(data []byte) (*routing.Table, error) {
	return func(data []byte) (*routing.Table, error) {
		version, err := strconv.ParseUint(string(data), 10, 64)
		organisations := routing.NewOrganisations()
		if err := organisations.Add(organisation, []string{"key"}); err != nil {
			return nil, err
		}
		return routing.NewTable(record.Version(version), nil, nil, routing.Limits{}).WithOrganisations(organisations), err
	}
}

// askQuota runs for some seconds while nodes are asked for requests of an organisation, and returns how many they admitted.
func (w *sidecarNetwork) askQuota(seconds, perSecond int, organisation routing.Organisation) (admitted int) {
	for range seconds * perSecond {
		w.run(time.Second / time.Duration(perSecond))
		if ok, _ := w.nodes[w.rnd.IntN(len(w.nodes))].limiter.Admit(w.now, organisation); ok {
			admitted++
		}
	}
	return admitted
}

// TestQuotaHoldsForAllNodes guards against nodes that each admit a whole quota, against refusals within the quota, and against
// messages about an organisation without a quota.
func TestQuotaHoldsForAllNodes(t *testing.T) {
	for _, rate := range []float64{100, 0} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			organisation := routing.NewOrganisation(routing.OrganisationFields{Name: "a", RatePerSecond: rate, Burst: rate})
			w := newSidecarNetwork(4, 24)
			w.decode = tableWith(organisation)
			w.publish()
			w.startAll(true)
			w.run(5 * time.Second)
			qt.Assert(t, w.allKnowAll(), qt.IsTrue)
			within := w.askQuota(10, 60, organisation)
			qt.Check(t, float64(within) >= 0.97*600, qt.IsTrue, qt.Commentf("%d admitted of 600", within))
			w.askQuota(2, 400, organisation)
			over := w.askQuota(5, 400, organisation)
			if rate == 0 {
				qt.Check(t, over, qt.Equals, 2000)
				qt.Check(t, w.quotaMessages, qt.Equals, 0)
				return
			}
			qt.Check(t, over > 450 && over <= 680, qt.IsTrue, qt.Commentf("%d admitted in 5 s at a rate of 100 and a burst of 100", over))
			w.run(2 * time.Second)
			before := w.quotaMessages
			w.run(5 * time.Second)
			qt.Check(t, w.quotaMessages-before <= len(w.nodes), qt.IsTrue, qt.Commentf("%d messages without requests", w.quotaMessages-before))
		})
	}
}

func isQuotaMessage(body message.PeerMessage) bool {
	switch body.(type) {
	case message.QuotaReport, message.QuotaGrant:
		return true
	}
	return false
}
