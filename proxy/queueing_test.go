package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/routing"
)

func TestLatestStart(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		left, target, most, want time.Duration
	}{
		{1200 * time.Millisecond, 800 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond},
		{400 * time.Millisecond, 800 * time.Millisecond, 0, 400 * time.Millisecond},
		{1200 * time.Millisecond, 800 * time.Millisecond, 5 * time.Second, 100 * time.Millisecond},
		{600 * time.Millisecond, -100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond},
		{100 * time.Millisecond, -700 * time.Millisecond, 200 * time.Millisecond, time.Millisecond},
	} {
		c := Call{left: test.left, target: test.target}
		qt.Check(t, latestStart(now, c, test.most).Sub(now), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// TestSlowSampleLocksNobodyOut: the first requests of a rare and urgent class were slow. While a server is kept full by
// others, later ones of that class must still find their way to the front of its queue.
func TestSlowSampleLocksNobodyOut(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newExpectation()
	rare := Call{kind: routing.KindSafe, urgency: 0, left: time.Second, target: time.Second}
	e.ran(rare, 900*time.Millisecond)
	m := admission.NewQueue(admission.Settings{QueueLimit: maxQueue, MaxWait: maxQueueWait}, 18)
	id := admission.ID(0)
	offer := func(c Call) admission.Decision {
		id++
		d, _ := m.Offer(now, id, urgencyOf(c), latestStart(now, c, e.most(c)))
		return d
	}
	browse := Call{kind: routing.KindSafe, urgency: 2, left: 1200 * time.Millisecond, target: 800 * time.Millisecond}
	for range 18 {
		qt.Assert(t, offer(browse), qt.Equals, admission.DecisionRun)
	}
	for range 10 {
		m.Done(now, 300*time.Millisecond)
		offer(browse)
		offer(browse)
	}
	qt.Assert(t, offer(rare), qt.Equals, admission.DecisionWait)
}

// TestHopelessCallsTakeNoSlot: a call that comes with a few milliseconds left to a server whose runs take 50 ms.
func TestHopelessCallsTakeNoSlot(t *testing.T) {
	e := newExpectation()
	call := Call{kind: routing.KindSafe, urgency: 1}
	for i := range 50 {
		e.ran(call, time.Duration(45+i%10)*time.Millisecond)
	}
	for left, want := range map[time.Duration]bool{4 * time.Millisecond: true, 30 * time.Millisecond: true, 60 * time.Millisecond: false} {
		call.left = left
		qt.Check(t, hopeless(call, e.least(call)), qt.Equals, want, qt.Commentf("%v left", left))
	}
	qt.Check(t, hopeless(Call{left: time.Millisecond}, newExpectation().least(Call{})), qt.IsFalse, qt.Commentf("nothing is known yet"))
}

func TestWorthRepeating(t *testing.T) {
	qt.Check(t, worthRepeating(500*time.Millisecond, 300*time.Millisecond), qt.IsTrue)
	qt.Check(t, worthRepeating(100*time.Millisecond, 300*time.Millisecond), qt.IsFalse)
	qt.Check(t, worthRepeating(0, time.Millisecond), qt.IsFalse)
}
