package proxy_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/proxy"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/timer"
)

// startingFixture is a node that has just started, with a clock that only the test advances.
type startingFixture struct {
	*fixture
	clock  *timer.Manual
	looked chan struct{} // receives a value whenever a request has looked at the snapshot
}

func newStartingFixture(t *testing.T) *startingFixture {
	f := &startingFixture{fixture: newFixture(t, 1, tally.NoopScope), clock: timer.NewManual(time.Unix(1000, 0)), looked: make(chan struct{}, 100)}
	snapshot := func() *routing.Snapshot {
		s := f.snapshot.Load()
		f.looked <- struct{}{}
		return s
	}
	f.ingress = proxy.NewIngress(proxy.IngressSettings{
		Self: f.members[0].Key(), Place: place, Snapshot: snapshot, Service: func() string { return "web" }, Owner: f.owners[0],
		Pool:   exchange.PoolSettings{Dial: exchange.Dial, DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxIdlePerPeer: 16, MaxBodyBytes: 1 << 20},
		Retry:  retry.WindowBudgetSettings{Span: 10 * time.Second, Share: 1, Reserve: 1000},
		Timers: f.clock.Service(), Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	t.Cleanup(f.ingress.Close)
	return f
}

// sendLater sends a request from another goroutine and returns the channel of its status.
func (f *startingFixture) sendLater(attempt string) <-chan int {
	status := make(chan int, 1)
	h := http.Header{"X-Attempt-Id": {attempt}, "X-Deadline-Remaining": {"15000"}}
	r := exchange.NewRequest(http.MethodGet, "/read/1", "a.example", h, nil).WithReceivedAt(f.clock.Now())
	go func() { status <- f.ingress.Handle(f.t.Context(), r).Status() }()
	return status
}

// advanceUntil advances the clock until a status arrives and returns it.
func (f *startingFixture) advanceUntil(status <-chan int) int {
	for {
		select {
		case code := <-status:
			return code
		case <-time.After(time.Millisecond):
			f.clock.Advance(time.Millisecond)
		}
	}
}

// TestRequestWaitsForRoutesAndServers sends a request to a node that has just started and learns of its routes first and of
// a server after that. The request must be answered instead of being refused.
func TestRequestWaitsForRoutesAndServers(t *testing.T) {
	c := qt.New(t)
	f := newStartingFixture(t)
	f.snapshot.Store(nil)
	status := f.sendLater("r")
	<-f.looked
	f.snapshot.Store(routing.NewSnapshot(f.table, member.NewView(f.members[0].Key(), nil)))
	f.ingress.SnapshotChanged()
	<-f.looked
	<-f.looked
	f.publish()
	f.ingress.SnapshotChanged()
	c.Assert(<-status, qt.Equals, http.StatusOK)
}

// TestWaitAtStartIsShort checks that the wait ends while the caller can still come back, and that a node that has been
// running for a while refuses requests without a server at once.
func TestWaitAtStartIsShort(t *testing.T) {
	c := qt.New(t)
	f := newStartingFixture(t)
	withoutServers := routing.NewSnapshot(f.table, member.NewView(f.members[0].Key(), nil))
	for _, s := range []*routing.Snapshot{nil, withoutServers} {
		f.snapshot.Store(s)
		status := f.sendLater("r")
		<-f.looked
		f.clock.Advance(399 * time.Millisecond)
		select {
		case code := <-status:
			c.Fatalf("refused early with status %d", code)
		default:
		}
		c.Assert(f.advanceUntil(status), qt.Equals, http.StatusServiceUnavailable)
	}
	f.clock.Advance(10 * time.Second)
	c.Assert(<-f.sendLater("late"), qt.Equals, http.StatusServiceUnavailable)
}
