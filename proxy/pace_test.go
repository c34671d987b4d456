package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/timer"
)

// paceFixture is a monitor that knows 100 ms as the usual run time.
type paceFixture struct {
	clock   *timer.Manual
	monitor *paceMonitor
}

func newPaceFixture() *paceFixture {
	clock := timer.NewManual(time.Unix(1000, 0))
	f := &paceFixture{clock: clock, monitor: newPaceMonitor(clock.Service(), func(float64) {})}
	for range 20 {
		f.run(100*time.Millisecond, false)
	}
	return f
}

func (f *paceFixture) run(d time.Duration, probe bool) {
	r := f.monitor.start(Call{}, probe)
	f.clock.Advance(d)
	f.monitor.finish(r, true)
}

// TestPaceFollowsRequestsThatDoNotEnd checks that a slow server is recognised before any of its requests has ended, that
// it then receives one probe at a time, and that it is used again once probes end as usual.
func TestPaceFollowsRequestsThatDoNotEnd(t *testing.T) {
	c := qt.New(t)
	f := newPaceFixture()
	c.Assert(f.monitor.current(), qt.Equals, 1.0)
	call := Call{timeLeft: 800 * time.Millisecond}
	var stuck []*pacedRequest
	for range 8 {
		stuck = append(stuck, f.monitor.start(call, false))
	}
	f.clock.Advance(200 * time.Millisecond)
	c.Assert(f.monitor.current(), qt.Equals, 1.0, qt.Commentf("twice the usual time is no evidence"))
	f.clock.Advance(200 * time.Millisecond)
	c.Assert(f.monitor.current(), qt.Equals, 4.0)
	ok, probe := f.monitor.admit(call)
	c.Assert(ok && !probe, qt.IsTrue, qt.Commentf("four times the usual time is within the time left"))
	f.clock.Advance(600 * time.Millisecond)
	ok, probe = f.monitor.admit(call)
	c.Assert(ok && probe, qt.IsTrue)
	p := f.monitor.start(call, probe)
	ok, _ = f.monitor.admit(call)
	c.Assert(ok, qt.IsFalse, qt.Commentf("one probe at a time"))
	for _, r := range stuck {
		f.monitor.finish(r, false)
	}
	f.monitor.finish(p, false)
	for range 8 {
		ok, probe = f.monitor.admit(call)
		c.Assert(ok, qt.IsTrue)
		f.run(100*time.Millisecond, probe)
	}
	c.Assert(f.monitor.current(), qt.Equals, 1.0)
}

// TestPaceIgnoresSingleLongRequests checks that a few long requests among many usual ones are no evidence of a slow server.
func TestPaceIgnoresSingleLongRequests(t *testing.T) {
	c := qt.New(t)
	f := newPaceFixture()
	for range 2 {
		f.monitor.start(Call{}, false)
	}
	f.clock.Advance(2 * time.Second)
	c.Assert(f.monitor.current(), qt.Equals, 1.0)
	for range 14 {
		f.monitor.start(Call{}, false)
	}
	f.monitor.start(Call{}, false)
	c.Assert(f.monitor.current(), qt.Equals, 1.0)
}

// TestPaceIsUsualAgainWithoutEvidence checks that a slowdown ends by itself if nothing runs any more.
func TestPaceIsUsualAgainWithoutEvidence(t *testing.T) {
	c := qt.New(t)
	f := newPaceFixture()
	var stuck []*pacedRequest
	for range 4 {
		stuck = append(stuck, f.monitor.start(Call{}, false))
	}
	f.clock.Advance(time.Second)
	c.Assert(f.monitor.current(), qt.Equals, 10.0)
	for _, r := range stuck {
		f.monitor.finish(r, false)
	}
	c.Assert(f.monitor.current() > 1, qt.IsTrue)
	f.clock.Advance(slowdownHoldTime)
	c.Assert(f.monitor.current(), qt.Equals, 1.0)
}

// TestPaceOfReplacedServerIsForgotten checks that a new server on the VM does not inherit the slowdown of the previous one,
// and that the end of a request to that one is ignored.
func TestPaceOfReplacedServerIsForgotten(t *testing.T) {
	c := qt.New(t)
	f := newPaceFixture()
	call := Call{timeLeft: 500 * time.Millisecond}
	var stuck []*pacedRequest
	for range 4 {
		stuck = append(stuck, f.monitor.start(call, true))
	}
	f.clock.Advance(time.Second)
	ok, _ := f.monitor.admit(call)
	c.Assert(ok, qt.IsFalse)
	f.monitor.reset()
	for _, r := range stuck {
		f.monitor.finish(r, true)
	}
	ok, probe := f.monitor.admit(call)
	c.Assert(ok && !probe, qt.IsTrue)
	c.Assert(f.monitor.current(), qt.Equals, 1.0)
}
