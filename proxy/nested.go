package proxy

import (
	"sync"

	"github.com/bambooknot/bambooknot/platform"
)

// runningRequests holds the IDs of the requests that a server is running. It is safe for concurrent use.
type runningRequests struct {
	mu  sync.Mutex
	ids map[string]int // number of runs by ID
}

func newRunningRequests() *runningRequests { return &runningRequests{ids: make(map[string]int)} }

func (r *runningRequests) start(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id]++
}

func (r *runningRequests) finish(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids[id]--; r.ids[id] <= 0 {
		delete(r.ids, id)
	}
}

func (r *runningRequests) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id] > 0
}

// isNested reports whether a request was made by the server on the VM while it was running another one.
func (o *Owner) isNested(requestID string) bool {
	parent, ok := platform.ParentAttempt(requestID)
	return ok && o.running.contains(parent)
}
