// Package timer is the only source of time: other packages read the clock of a Service and subscribe to it
// instead of calling package time, so that tests can run them on a Manual clock.
package timer

import (
	"sync"
	"time"
)

// Service provides the current time and calls functions at later times.
type Service struct {
	now      func() time.Time
	schedule func(d time.Duration, fn func()) (stop func())
}

// New returns a Service on the system clock.
func New() *Service {
	return &Service{now: time.Now, schedule: scheduleSystem}
}

// NewWithClock returns a Service that reads the time from now and schedules calls by the system clock. It is for
// VMs whose clock is corrected, and for tests of clock skew.
func NewWithClock(now func() time.Time) *Service {
	return &Service{now: now, schedule: scheduleSystem}
}

func scheduleSystem(d time.Duration, fn func()) func() {
	t := time.AfterFunc(d, fn)
	return func() { t.Stop() }
}

// Now returns the current time.
func (s *Service) Now() time.Time { return s.now() }

// After calls fn once, after the duration d.
func (s *Service) After(d time.Duration, fn func(now time.Time)) *Subscription {
	return s.subscribe(d, false, fn)
}

// Every calls fn periodically until the subscription is closed. Calls never overlap: the next period starts
// when fn has returned.
func (s *Service) Every(period time.Duration, fn func(now time.Time)) *Subscription {
	return s.subscribe(period, true, fn)
}

func (s *Service) subscribe(d time.Duration, repeat bool, fn func(now time.Time)) *Subscription {
	sub := &Subscription{service: s, period: d, repeat: repeat, fn: fn}
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.stop = s.schedule(d, sub.fire)
	return sub
}

// Subscription is a single or periodic call registered with a Service.
type Subscription struct {
	service *Service
	period  time.Duration
	repeat  bool
	fn      func(now time.Time)

	mu     sync.Mutex
	closed bool
	stop   func()
	callMu sync.Mutex // held while fn runs
}

func (s *Subscription) fire() {
	s.callMu.Lock()
	defer s.callMu.Unlock()
	if s.isClosed() {
		return
	}
	s.fn(s.service.Now())
	s.scheduleNext()
}

func (s *Subscription) scheduleNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.repeat {
		return
	}
	s.stop = s.service.schedule(s.period, s.fire)
}

func (s *Subscription) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close cancels the subscription and waits for a running call to return. Calling it from within that call
// deadlocks.
func (s *Subscription) Close() {
	s.mu.Lock()
	s.closed = true
	s.stop()
	s.mu.Unlock()
	s.callMu.Lock()
	defer s.callMu.Unlock()
}
