package proxy

import (
	"strings"
	"sync"
)

// parents counts the requests that the server on the VM is running for organisations, by the IDs of their attempts. The
// server's own calls carry IDs that begin with that of the attempt that makes them and a dot, and no key. The node of the
// VM, which receives them, recognises them by that, so that a caller elsewhere cannot make up an ID to be preferred. It is
// safe for concurrent use.
type parents struct {
	mu      sync.Mutex
	running map[string]int
}

func newParents() *parents { return &parents{running: make(map[string]int)} }

// start records that an attempt begins to run, and returns a function that records its end. Attempts that were not sent
// under a table with organisations are not recorded.
func (p *parents) start(c Call) (end func()) {
	if c.organisation == (organisation{}) {
		return func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[c.requestID]++
	return func() { p.end(c.requestID) }
}

func (p *parents) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[id]--; p.running[id] == 0 {
		delete(p.running, id)
	}
}

// has reports whether an attempt was made by one that is running.
func (p *parents) has(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for end := strings.LastIndexByte(id, '.'); end > 0; end = strings.LastIndexByte(id[:end], '.') {
		if p.running[id[:end]] > 0 {
			return true
		}
	}
	return false
}

// CalledByRunning reports whether an attempt is a call that a request makes which the server on the VM runs for an
// organisation.
func (o *Owner) CalledByRunning(id string) bool { return o.parents.has(id) }
