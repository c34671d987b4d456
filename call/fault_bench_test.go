package call

import (
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/standin"
)

// Settings of the fault benchmarks.
const (
	faultDelay    = 500 * time.Millisecond // from the start of the load to the fault
	viewLag       = time.Second            // from the fault to its appearance in the view
	faultServers  = 8
	keyedInterval = 5 // one call in this many is keyed
)

// faultCounts counts the outcomes that callers see while one of eight servers is faulty.
type faultCounts struct {
	idempotent, idempotentFailed     atomic.Int64
	keyed, keyedNotRun, keyedUnknown atomic.Int64
}

// callIdempotent makes and counts one idempotent call.
func (s *faultCounts) callIdempotent(f *fleet) bool {
	s.idempotent.Add(1)
	if f.do("GET", "/browse", "", HeaderTimeout, "500").outcome != OutcomeAnswered {
		s.idempotentFailed.Add(1)
	}
	return true
}

// callKeyed makes and counts one keyed call, with the retries of the caller library.
func (s *faultCounts) callKeyed(f *fleet) bool {
	s.keyed.Add(1)
	var got reply
	for range 2 {
		snap := f.snap.Load()
		route, _ := routeByNameOrPath(snap, "commission", "")
		key := f.ingress.issueKeys(snap, route, 1)[0]
		got = f.do("POST", "/commission", "x", HeaderKey, key, HeaderAttempt, "1", HeaderTimeout, "500")
		if got.outcome == OutcomeUnknown && got.reason != ReasonDeadline {
			got = f.do("POST", "/commission", "x", HeaderKey, key, HeaderTimeout, "500")
		}
		if got.outcome != OutcomeNotRun {
			break
		}
	}
	switch got.outcome {
	case OutcomeNotRun:
		s.keyedNotRun.Add(1)
	case OutcomeUnknown:
		s.keyedUnknown.Add(1)
	}
	return true
}

// BenchmarkFaultOfOneOfEight measures the shares of failed calls at 0.4 times the capacity while one of eight
// servers drains, crashes, crashes with its node, stalls, or becomes cold without announcing it.
func BenchmarkFaultOfOneOfEight(b *testing.B) {
	setState := func(f *fleet, n *node, s member.ServerState) {
		n.member = n.member.WithServer(member.NewServer("orders", s, loadSlots))
		f.setView()
	}
	for _, fault := range []struct {
		name       string
		inject     func(f *fleet, n *node)
		updateView func(f *fleet, n *node)
	}{
		{"none", func(*fleet, *node) {}, func(*fleet, *node) {}},
		{"drains", func(_ *fleet, n *node) { n.owner.Drain() }, func(f *fleet, n *node) { setState(f, n, member.ServerDraining) }},
		{"dies", func(_ *fleet, n *node) { kill(n.backend) }, func(f *fleet, n *node) { setState(f, n, member.ServerNone) }},
		{"node-dies", func(_ *fleet, n *node) { kill(n.peer); kill(n.backend) }, func(f *fleet, _ *node) {
			f.nodes = f.nodes[1:]
			f.setView()
		}},
		{"stalls", func(f *fleet, n *node) { f.c.Cleanup(n.server.Stall()) }, func(*fleet, *node) {}},
		{"cold", func(f *fleet, n *node) {
			slow := standin.NewServer(standin.ServerSettings{Slots: loadSlots, ServiceTime: loadServiceTime, ColdPeriod: time.Hour, ColdFactor: 10}, f.timers)
			backend := httptest.NewServer(slow)
			f.c.Cleanup(backend.Close)
			n.owner.SetServer(addrOf(backend), n.member.Server())
		}, func(*fleet, *node) {}},
	} {
		b.Run(fmt.Sprintf("fault=%s", fault.name), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, faultServers, standin.ServerSettings{Slots: loadSlots, ServiceTime: loadServiceTime})
				var counts faultCounts
				n := f.nodes[0]
				time.AfterFunc(faultDelay, func() { fault.inject(f, n) })
				time.AfterFunc(faultDelay+viewLag, func() { fault.updateView(f, n) })
				offerLoad(0.8, func(n int) bool { // 0.8 times the capacity of four servers
					if n%keyedInterval == 0 {
						return counts.callKeyed(f)
					}
					return counts.callIdempotent(f)
				})
				b.ReportMetric(100*float64(counts.idempotentFailed.Load())/float64(counts.idempotent.Load()), "%browsing-failed")
				b.ReportMetric(100*float64(counts.keyedNotRun.Load())/float64(counts.keyed.Load()), "%keyed-not-run")
				b.ReportMetric(100*float64(counts.keyedUnknown.Load())/float64(counts.keyed.Load()), "%keyed-unknown")
			}
		})
	}
}

// kill closes the listener and all connections of a server without waiting for its calls.
func kill(s *httptest.Server) {
	s.Listener.Close()
	s.CloseClientConnections()
}
