package call

import "sync"

// inFlightCalls counts calls in inFlightCalls and waits for their end.
type inFlightCalls struct {
	mu    sync.Mutex
	idle  sync.Cond
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

// wait returns when no call is in flight.
func (f *inFlightCalls) wait() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.count > 0 {
		f.idle.Wait()
	}
}
