package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

// ErrRefused is returned for a call that got no slot and has not run.
var ErrRefused = errors.New("no slot in time")

// Controller is a Queue for concurrent use, in which calls block until they hold a slot.
type Controller struct {
	timers *timer.Service

	mu      sync.Mutex
	queue   *Queue
	lastID  ID
	waiters map[ID]chan bool    // receive true when the call gets a slot, false when it is refused
	wake    *timer.Subscription // for the next call that the rate permits; may be over
	wakeAt  time.Time
}

// New returns a controller for a server with the given number of slots.
func New(settings Settings, slots int, timers *timer.Service) *Controller {
	return &Controller{
		timers:  timers,
		queue:   NewQueue(settings, slots),
		waiters: make(map[ID]chan bool),
	}
}

// SetSlots changes the number of slots and grants new ones to queued calls.
func (c *Controller) SetSlots(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Slots() == slots {
		return
	}
	c.queue.SetSlots(slots)
	c.notify(c.queue.Expire(c.timers.Now()))
}

// SetRate limits the calls that get a slot to a number per second, see Queue.SetRate.
func (c *Controller) SetRate(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify(c.queue.SetRate(c.timers.Now(), perSecond))
}

// RateWait returns the time until the limit set with SetRate permits a further call.
func (c *Controller) RateWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.RateWait(c.timers.Now())
}

// Slots returns the number of slots.
func (c *Controller) Slots() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Slots()
}

// AverageRunTime returns the average time for which a call holds its slot, also before the first call has ended.
func (c *Controller) AverageRunTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.averageRunTime(c.timers.Now())
}

// Load returns the numbers of running and of queued calls.
func (c *Controller) Load() (running, queued int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Running(), c.queue.Queued()
}

// Acquire waits for a slot for a call without a flow, see AcquireFlow.
func (c *Controller) Acquire(ctx context.Context, priority Priority, deadline time.Time) error {
	return c.AcquireFlow(ctx, "", priority, deadline)
}

// AcquireFlow waits for a slot for a call of a flow until the deadline, but for Settings.MaxWait at most. It returns
// ErrRefused if the call is refused, or the error of the context. Release must be called if and only if it returns nil.
func (c *Controller) AcquireFlow(ctx context.Context, flow Flow, priority Priority, deadline time.Time) error {
	id, granted, err := c.offer(flow, priority, deadline)
	if err != nil || granted == nil {
		return err
	}
	wait := min(deadline.Sub(c.timers.Now()), c.queue.settings.MaxWait)
	expiry := c.timers.After(wait, c.expire)
	defer expiry.Close()
	select {
	case ok := <-granted:
		return grantError(ok)
	case <-ctx.Done():
		return c.cancel(ctx, id, granted)
	}
}

func grantError(ok bool) error {
	if !ok {
		return ErrRefused
	}
	return nil
}

// offer returns a nil channel if the call holds a slot already.
func (c *Controller) offer(flow Flow, priority Priority, deadline time.Time) (ID, <-chan bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	id := c.lastID
	decision, change := c.queue.OfferFlow(c.timers.Now(), id, flow, priority, deadline)
	c.notify(change)
	switch decision {
	case DecisionRun:
		return id, nil, nil
	case DecisionWait:
		granted := make(chan bool, 1)
		c.waiters[id] = granted
		return id, granted, nil
	}
	return id, nil, ErrRefused
}

// cancel removes a call from the queue. If the call was granted a slot in the meantime, it frees the slot.
func (c *Controller) cancel(ctx context.Context, id ID, granted <-chan bool) error {
	c.mu.Lock()
	removed := c.queue.Cancel(id)
	delete(c.waiters, id)
	c.mu.Unlock()
	if !removed && <-granted {
		c.Release()
	}
	return ctx.Err()
}

// Release frees the slot of a call.
func (c *Controller) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify(c.queue.Release(c.timers.Now()))
}

func (c *Controller) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify(c.queue.Expire(now))
}

// notify wakes the calls that left the queue. The caller holds mu.
func (c *Controller) notify(change Change) {
	for _, id := range change.Granted() {
		c.resolve(id, true)
	}
	for _, id := range change.Refused() {
		c.resolve(id, false)
	}
	c.scheduleGrant()
}

// scheduleGrant has the queue grant the next slot once the rate permits it. The caller holds mu.
func (c *Controller) scheduleGrant() {
	now := c.timers.Now()
	wait, ok := c.queue.NextGrant(now)
	at := now.Add(wait)
	if !ok || c.wakeAt.After(now) && !at.Before(c.wakeAt) {
		return
	}
	c.wakeAt = at
	c.wake = c.timers.After(wait, c.expire)
}

// Close waits until no scheduled grant is running. No further call may be made.
func (c *Controller) Close() {
	c.mu.Lock()
	wake := c.wake
	c.mu.Unlock()
	if wake != nil {
		wake.Close()
	}
}

func (c *Controller) resolve(id ID, ok bool) {
	if granted, found := c.waiters[id]; found {
		delete(c.waiters, id)
		granted <- ok
	}
}
