package admission

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/timer"
)

func init() {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1000, 0)

func TestKeyedGoesFirstAndDisplaces(t *testing.T) {
	c := qt.New(t)
	m := NewQueue(Settings{QueueLimit: 2, MaxWait: time.Second}, 1)
	deadline := start.Add(time.Minute)
	offer := func(id ID, p Priority) (Decision, Change) { return m.Offer(start, id, p, deadline) }
	decision, _ := offer(1, PriorityIdempotent)
	c.Assert(decision, qt.Equals, DecisionRun)
	for id := ID(2); id <= 3; id++ {
		decision, _ = offer(id, PriorityIdempotent)
		c.Assert(decision, qt.Equals, DecisionWait)
	}
	decision, _ = offer(4, PriorityIdempotent)
	c.Assert(decision, qt.Equals, DecisionRefuse)
	decision, change := offer(5, PriorityKeyed)
	c.Assert(decision, qt.Equals, DecisionWait)
	c.Assert(change.Refused(), qt.DeepEquals, []ID{3})
	c.Assert(m.Done(start, time.Millisecond).Granted(), qt.DeepEquals, []ID{5})
	c.Assert(m.Done(start, time.Millisecond).Granted(), qt.DeepEquals, []ID{2})
}

func TestRefusesWhatWouldBeLate(t *testing.T) {
	c := qt.New(t)
	m := NewQueue(Settings{MaxWait: time.Second}, 1)
	m.average = 50 * time.Millisecond
	m.Offer(start, 1, PriorityIdempotent, start.Add(time.Minute))
	decision, _ := m.Offer(start, 2, PriorityIdempotent, start.Add(40*time.Millisecond))
	c.Assert(decision, qt.Equals, DecisionRefuse)
	decision, _ = m.Offer(start, 3, PriorityIdempotent, start.Add(60*time.Millisecond))
	c.Assert(decision, qt.Equals, DecisionWait)
	c.Assert(m.Expire(start.Add(60*time.Millisecond)).Refused(), qt.DeepEquals, []ID{3})
	decision, _ = m.Offer(start, 4, PriorityKeyed, start)
	c.Assert(decision, qt.Equals, DecisionRefuse)
}

// model checks every change against what it knows of the calls.
type model struct {
	draw    func(n int) int
	machine *Queue
	now     time.Time
	next    ID
	queued  map[ID]time.Time // until when each call is of use
	running int
}

func newModel(draw func(n int) int) *model {
	return &model{
		draw: draw, now: start, queued: make(map[ID]time.Time),
		machine: NewQueue(Settings{QueueLimit: 3, MaxWait: 100 * time.Millisecond}, 2),
	}
}

func (m *model) run(steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
		if m.running != m.machine.Running() {
			return fmt.Errorf("%d calls run, the machine counts %d", m.running, m.machine.Running())
		}
		if m.machine.Queued() != len(m.queued) || len(m.queued) > 3 {
			return fmt.Errorf("%d calls are queued, the machine counts %d", len(m.queued), m.machine.Queued())
		}
		if m.running > 2 {
			return fmt.Errorf("%d calls run in 2 slots", m.running)
		}
	}
	return nil
}

func (m *model) step() error {
	switch m.draw(5) {
	case 0, 1:
		return m.offer()
	case 2:
		if m.running == 0 {
			return nil
		}
		m.running--
		return m.apply(m.machine.Done(m.now, time.Duration(m.draw(50))*time.Millisecond))
	case 3:
		m.now = m.now.Add(time.Duration(m.draw(60)) * time.Millisecond)
		return m.apply(m.machine.Expire(m.now))
	}
	id := ID(m.draw(int(m.next) + 1))
	_, want := m.queued[id]
	if got := m.machine.Cancel(id); got != want {
		return fmt.Errorf("cancel of %d: %v, want %v", id, got, want)
	}
	delete(m.queued, id)
	return nil
}

func (m *model) offer() error {
	m.next++
	deadline := m.now.Add(time.Duration(m.draw(150)) * time.Millisecond)
	decision, change := m.machine.Offer(m.now, m.next, Priority(m.draw(2)), deadline)
	if err := m.apply(change); err != nil {
		return err
	}
	switch decision {
	case DecisionRun:
		m.running++
	case DecisionWait:
		m.queued[m.next] = deadline
	}
	return nil
}

func (m *model) apply(change Change) error {
	for _, id := range slices.Concat(change.Granted(), change.Refused()) {
		deadline, ok := m.queued[id]
		if !ok {
			return fmt.Errorf("call %d is not queued", id)
		}
		delete(m.queued, id)
		if !slices.Contains(change.Granted(), id) {
			continue
		}
		m.running++
		if !m.now.Before(deadline) {
			return fmt.Errorf("call %d was granted a slot after its deadline", id)
		}
	}
	return nil
}

func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		if err := m.run(300); err != nil {
			t.Fatal(err)
		}
	})
}

func TestQueueCatchesBrokenExpiry(t *testing.T) {
	for seed := range uint64(200) {
		m := newModel(rand.New(rand.NewPCG(seed, 1)).IntN)
		m.machine.expired = func(ticket, time.Time) bool { return false }
		if m.run(300) != nil {
			return
		}
	}
	t.Fatal("no seed shows the fault")
}

func TestGate(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewManual(start)
	g := New(Settings{QueueLimit: 4, MaxWait: time.Second}, 1, clock.Service())
	deadline := start.Add(10000 * time.Hour)
	c.Assert(g.Acquire(context.Background(), PriorityIdempotent, deadline), qt.IsNil)
	enter := func(ctx context.Context, p Priority) <-chan error {
		_, before := g.Load()
		result := make(chan error, 1)
		go func() { result <- g.Acquire(ctx, p, deadline) }()
		for queued := before; queued == before; _, queued = g.Load() {
			time.Sleep(time.Microsecond)
		}
		return result
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := enter(ctx, PriorityIdempotent)
	cancel()
	c.Assert(<-cancelled, qt.Equals, context.Canceled)
	browsing := enter(context.Background(), PriorityIdempotent)
	keyed := enter(context.Background(), PriorityKeyed)
	g.Release(time.Millisecond)
	c.Assert(<-keyed, qt.IsNil)
	for len(browsing) == 0 { // the alarm may not be set yet
		clock.Advance(time.Second)
	}
	c.Assert(<-browsing, qt.Equals, ErrRefused)
	waiting := enter(context.Background(), PriorityIdempotent)
	g.SetSlots(2)
	c.Assert(<-waiting, qt.IsNil)
	running, queued := g.Load()
	c.Assert([]int{running, queued}, qt.DeepEquals, []int{2, 0})
}
