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

// maxNesting is the number of levels of requests whose IDs are compared, as callers choose the length of an ID.
const maxNesting = 16

// IsNested reports whether the server on the VM made the request with the given ID while it was running another one. Only
// the node of that VM can tell, so that no caller elsewhere is preferred for an ID that looks like one of these.
func (o *Owner) IsNested(requestID string) bool {
	id, ok := requestID, true
	for range maxNesting {
		if id, ok = platform.ParentAttempt(id); !ok {
			return false
		}
		if o.running.contains(id) {
			return true
		}
	}
	return false
}
