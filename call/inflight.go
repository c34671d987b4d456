package call

import "sync"

// inFlightCalls counts calls in flight. Close uses it to wait until none is left.
type inFlightCalls struct {
	mu    sync.Mutex
	idle  sync.Cond // signals that count has dropped to zero
	count int
}

func newInFlightCalls() *inFlightCalls {
	f := &inFlightCalls{}
	f.idle.L = &f.mu
	return f
}

func (f *inFlightCalls) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inFlightCalls) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 {
		f.idle.Broadcast()
	}
}

// wait blocks until no call is in flight.
func (f *inFlightCalls) wait() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.count > 0 {
		f.idle.Wait()
	}
}
