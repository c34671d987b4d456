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

// Times of the fault benchmarks: what a node knows of a fault lags by viewLag.
const (
	faultAt  = 500 * time.Millisecond
	viewLag  = time.Second
	faultOf  = 8
	faultMix = 5 // one call in that many is keyed
)

// faultShares counts what callers see while one of eight servers has a fault.
type faultShares struct {
	browsing, browsingFailed        atomic.Int64
	keyed, keyedNotRun, keyedUnsure atomic.Int64
}

// browse counts one idempotent call.
func (s *faultShares) browse(f *fleet) bool {
	s.browsing.Add(1)
	if f.do("GET", "/browse", "", HeaderTimeout, "500").outcome != OutcomeAnswered {
		s.browsingFailed.Add(1)
	}
	return true
}

// commission counts one keyed call, made as the library for callers makes it.
func (s *faultShares) commission(f *fleet) bool {
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
		s.keyedUnsure.Add(1)
	}
	return true
}

// BenchmarkFaultOfOneOfEight measures what callers see at 0.4 times the capacity while one of eight
// servers drains, dies, dies with its node, stalls, or turns cold without saying so.
func BenchmarkFaultOfOneOfEight(b *testing.B) {
	state := func(f *fleet, n *node, s member.ServerState) {
		n.member = n.member.WithServer(member.NewServer("orders", s, loadSlots))
		f.setView()
	}
	for _, fault := range []struct {
		name  string
		begin func(f *fleet, n *node)
		heard func(f *fleet, n *node)
	}{
		{"none", func(*fleet, *node) {}, func(*fleet, *node) {}},
		{"drains", func(_ *fleet, n *node) { n.owner.Drain() }, func(f *fleet, n *node) { state(f, n, member.ServerDraining) }},
		{"dies", func(_ *fleet, n *node) { kill(n.backend) }, func(f *fleet, n *node) { state(f, n, member.ServerNone) }},
		{"node-dies", func(_ *fleet, n *node) { kill(n.peer); kill(n.backend) }, func(f *fleet, _ *node) {
			f.nodes = f.nodes[1:]
			f.setView()
		}},
		{"stalls", func(f *fleet, n *node) { f.c.Cleanup(n.server.Stall()) }, func(*fleet, *node) {}},
		{"cold", func(f *fleet, n *node) {
			slow := standin.NewServer(standin.ServerSettings{Slots: loadSlots, Work: loadWork, Cold: time.Hour, ColdFactor: 10}, f.timers)
			backend := httptest.NewServer(slow)
			f.c.Cleanup(backend.Close)
			n.owner.SetServer(addrOf(backend), n.member.Server())
		}, func(*fleet, *node) {}},
	} {
		b.Run(fmt.Sprintf("fault=%s", fault.name), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, faultOf, standin.ServerSettings{Slots: loadSlots, Work: loadWork})
				var shares faultShares
				n := f.nodes[0]
				time.AfterFunc(faultAt, func() { fault.begin(f, n) })
				time.AfterFunc(faultAt+viewLag, func() { fault.heard(f, n) })
				offer(0.8, func(n int) bool { // 0.8 times the capacity of four servers
					if n%faultMix == 0 {
						return shares.commission(f)
					}
					return shares.browse(f)
				})
				b.ReportMetric(100*float64(shares.browsingFailed.Load())/float64(shares.browsing.Load()), "%browsing-failed")
				b.ReportMetric(100*float64(shares.keyedNotRun.Load())/float64(shares.keyed.Load()), "%keyed-not-run")
				b.ReportMetric(100*float64(shares.keyedUnsure.Load())/float64(shares.keyed.Load()), "%keyed-unknown")
			}
		})
	}
}

func kill(s *httptest.Server) {
	s.Listener.Close()
	s.CloseClientConnections()
}
