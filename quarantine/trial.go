package quarantine

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/member"
)

// TrialNode returns the node whose server runs the trials of a request. All nodes with the same view choose the same one,
// so that a trial is made once although each of them may receive the request.
func TrialNode(view *member.View, service string, content Content) (chosen member.Member, ok bool) {
	greatest := uint64(0)
	for _, m := range view.Service(service) {
		if m.Server().State() != member.ServerReady {
			continue
		}
		address := m.Key().Peer().Addr().As16()
		b := binary.BigEndian.AppendUint16(append(content[:], address[:]...), m.Key().Peer().Port())
		if rank := xxhash.Sum64(b); !ok || rank > greatest {
			chosen, greatest, ok = m, rank, true
		}
	}
	return chosen, ok
}

// Claims holds the trials that the server beside a node has run, so that each is run once. It is safe for concurrent use.
type Claims struct {
	mu      sync.Mutex
	numbers map[Content]int
}

// NewClaims returns claims without a trial.
func NewClaims() *Claims {
	return &Claims{numbers: make(map[Content]int)}
}

// Claim reports whether the caller may run a trial. It forgets the claims that the view contains.
func (t *Claims) Claim(view *View, content Content, number int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for known, claimed := range t.numbers {
		if view.LastTrial(known) >= claimed {
			delete(t.numbers, known)
		}
	}
	if number <= max(t.numbers[content], view.LastTrial(content)) {
		return false
	}
	t.numbers[content] = number
	return true
}
