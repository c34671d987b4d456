package call

import "sync"

// flight counts calls in flight and waits for their end.
type flight struct {
	mu    sync.Mutex
	ended sync.Cond
	count int
}

func newFlight() *flight {
	f := &flight{}
	f.ended.L = &f.mu
	return f
}

func (f *flight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *flight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 {
		f.ended.Broadcast()
	}
}

// wait returns when no call is in flight.
func (f *flight) wait() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.count > 0 {
		f.ended.Wait()
	}
}
