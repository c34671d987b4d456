package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

// ErrRefused is returned for a call that got no slot; it has not run.
var ErrRefused = errors.New("no slot in time")

// Controller is a Machine for concurrent use, at which calls wait.
type Controller struct {
	timers *timer.Service

	mu      sync.Mutex
	machine *Queue
	next    ID
	waiting map[ID]chan bool
}

// New returns a gate before a server of that many slots.
func New(settings Settings, slots int, timers *timer.Service) *Controller {
	return &Controller{
		timers:  timers,
		machine: NewQueue(settings, slots),
		waiting: make(map[ID]chan bool),
	}
}

// SetSlots changes the number of slots.
func (g *Controller) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine.Slots() == slots {
		return
	}
	g.machine.SetSlots(slots)
	g.tell(g.machine.Expire(g.timers.Now()))
}

// Slots returns the number of slots.
func (g *Controller) Slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Slots()
}

// AverageRunTime returns how long a call runs on the average, or zero before the first one has ended.
func (g *Controller) AverageRunTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.average
}

// Load returns the numbers of running and of queued calls.
func (g *Controller) Load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Running(), g.machine.Queued()
}

// Acquire waits for a slot. It returns ErrRefused, or the error of the context; Leave must follow only
// when it returns nil.
func (g *Controller) Acquire(ctx context.Context, priority Priority, deadline time.Time) error {
	id, granted, err := g.offer(priority, deadline)
	if err != nil || granted == nil {
		return err
	}
	wait := min(deadline.Sub(g.timers.Now()), g.machine.settings.MaxWait)
	alarm := g.timers.After(wait, g.expire)
	defer alarm.Close()
	select {
	case ok := <-granted:
		return grantError(ok)
	case <-ctx.Done():
		return g.cancel(ctx, id, granted)
	}
}

func grantError(ok bool) error {
	if !ok {
		return ErrRefused
	}
	return nil
}

// offer returns a nil channel when the call has its slot.
func (g *Controller) offer(priority Priority, deadline time.Time) (ID, <-chan bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	id := g.next
	decision, change := g.machine.Offer(g.timers.Now(), id, priority, deadline)
	g.tell(change)
	switch decision {
	case DecisionRun:
		return id, nil, nil
	case DecisionWait:
		granted := make(chan bool, 1)
		g.waiting[id] = granted
		return id, granted, nil
	}
	return id, nil, ErrRefused
}

func (g *Controller) cancel(ctx context.Context, id ID, granted <-chan bool) error {
	g.mu.Lock()
	removed := g.machine.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if !removed && <-granted {
		g.Release(0)
	}
	return ctx.Err()
}

// Release frees the slot of a call that took that long.
func (g *Controller) Release(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.machine.Done(g.timers.Now(), took))
}

func (g *Controller) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.machine.Expire(now))
}

func (g *Controller) tell(change Change) {
	for _, id := range change.Granted() {
		g.answer(id, true)
	}
	for _, id := range change.Refused() {
		g.answer(id, false)
	}
}

func (g *Controller) answer(id ID, ok bool) {
	if granted, found := g.waiting[id]; found {
		delete(g.waiting, id)
		granted <- ok
	}
}
