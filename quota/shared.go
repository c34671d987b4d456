package quota

import (
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/routing"
)

// Shared is a Limiter for concurrent use by the traffic and the control loop.
type Shared struct {
	mu      sync.Mutex
	limiter *Limiter
}

// NewShared returns a wrapper of a limiter, which must not be used otherwise.
func NewShared(limiter *Limiter) *Shared { return &Shared{limiter: limiter} }

// Admit decides on a request and counts it.
func (s *Shared) Admit(now time.Time, organisation routing.Organisation) (admitted bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Admit(now, organisation)
}

// With calls f with the limiter. f must not block.
func (s *Shared) With(f func(*Limiter)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.limiter)
}
