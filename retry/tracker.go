package retry

import "time"

const (
	maxTrackedRequests = 8192        // bounds the memory of a Tracker
	minSweepInterval   = time.Second // bounds the work of a full Tracker
)

// Tracker recognises that a request is a caller's retry of one that failed before, so that it is not treated as if its
// caller had just begun to wait. It answers the load of refused callers who come back: to them, the target latency
// counts from their first attempt. Requests are compared by a fingerprint of what they ask for; equal requests of
// several callers are matched in the order in which they failed. It is not safe for concurrent use.
type Tracker struct {
	failed  map[uint64][]failedRequest
	size    int
	sweptAt time.Time
}

// failedRequest is a request that ended without success and may be retried by its caller.
type failedRequest struct {
	firstReceivedAt time.Time // of the caller's first attempt
	expiresAt       time.Time // end of the caller's time
}

// NewTracker returns a tracker without failed requests.
func NewTracker() *Tracker { return &Tracker{failed: make(map[uint64][]failedRequest)} }

// Empty reports whether there are no failed requests, so that no fingerprint has to be computed.
func (t *Tracker) Empty() bool { return t.size == 0 }

// RecordFailure records that a request ended without success. Its caller may retry it until expiresAt.
func (t *Tracker) RecordFailure(now time.Time, fingerprint uint64, firstReceivedAt, expiresAt time.Time) {
	if !now.Before(expiresAt) {
		return
	}
	if t.size >= maxTrackedRequests && now.Sub(t.sweptAt) >= minSweepInterval {
		t.sweptAt = now
		t.removeExpired(now)
	}
	if t.size >= maxTrackedRequests {
		return
	}
	t.failed[fingerprint] = append(t.failed[fingerprint], failedRequest{firstReceivedAt: firstReceivedAt, expiresAt: expiresAt})
	t.size++
}

// Match returns when the first attempt of a request was received, if the request is a retry. Each failure is matched once.
func (t *Tracker) Match(now time.Time, fingerprint uint64) (firstReceivedAt time.Time, ok bool) {
	candidates := t.failed[fingerprint]
	for len(candidates) > 0 && !ok {
		firstReceivedAt, ok = candidates[0].firstReceivedAt, now.Before(candidates[0].expiresAt)
		candidates = candidates[1:]
		t.size--
	}
	if len(candidates) == 0 {
		delete(t.failed, fingerprint)
	} else {
		t.failed[fingerprint] = candidates
	}
	return firstReceivedAt, ok
}

// removeExpired forgets the requests whose callers do not wait any longer.
func (t *Tracker) removeExpired(now time.Time) {
	for fingerprint, candidates := range t.failed {
		kept := candidates[:0]
		for _, c := range candidates {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			}
		}
		t.size -= len(candidates) - len(kept)
		if len(kept) == 0 {
			delete(t.failed, fingerprint)
			continue
		}
		t.failed[fingerprint] = kept
	}
}
