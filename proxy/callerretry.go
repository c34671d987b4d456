package proxy

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/exchange"
)

// matchRetry recognises a request that a caller sends again after an attempt that failed at this node. Callers retry at
// the node of their VM.
func (in *Ingress) matchRetry(q *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.retries.Empty() {
		return
	}
	if first, ok := in.retries.Match(in.settings.Timers.Now(), fingerprint(q)); ok {
		q.firstReceivedAt = first
	}
}

// trackFailure records a request that its caller may retry.
func (in *Ingress) trackFailure(q *request, response *exchange.Response) {
	if response.Status() < http.StatusInternalServerError || q.callerTimeout == 0 {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.retries.RecordFailure(in.settings.Timers.Now(), fingerprint(q), q.firstReceivedAt, q.receivedAt.Add(q.callerTimeout))
}

// fingerprint returns a hash of what a request asks for and of the organisation that sent it, as another organisation may
// ask for the same. It does not include headers, as a retry has another ID.
func fingerprint(q *request) uint64 {
	r, d := q.original, xxhash.New()
	for _, part := range []string{q.organisation.name, r.Method(), r.Host(), r.Target()} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body())
	return d.Sum64()
}
