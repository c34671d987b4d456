package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
)

// Rules are the decisions on which the promises of the distribution rest. Tests replace one at a time
// by a broken one, to see that the loss of the promise is noticed.
type Rules struct {
	// ReplacesState tells whether a whole state that is offered takes the place of what is held.
	ReplacesState func(held, offered message.Digest) bool
	// ConsistentState tells whether a whole state with a greater head may stem from what is held.
	ConsistentState func(held, later *catalog.State) bool
	// ContinuesChain tells whether entries after the chain offered continue what is held.
	ContinuesChain func(known bool, held, offered uint64) bool
	// ReachedLogEnd tells whether a node that has folded up to head may serve, when the log ended at next a
	// time ago. known is false while the node has not heard where the log ends.
	ReachedLogEnd func(known bool, head, next uint64, age, limit time.Duration) bool
	// ServesUnconfirmed tells whether what peers offer suffices to serve without the log.
	ServesUnconfirmed func(enough, logDown bool) bool
	// SendsState tells whether a peer with head asked gets the whole state of one with head held.
	SendsState func(asked, held uint64, known bool) bool
	// PullsWhenBehind tells whether a node pulls from a peer that it knows to be ahead.
	PullsWhenBehind func() bool
	// RefusesBridge tells whether a node with head held refuses to bridge a gap because a member has another head.
	RefusesBridge func(held, other uint64) bool
}

// DefaultRules returns the rules that keep the promises.
func DefaultRules() Rules {
	return Rules{
		ReplacesState: func(held, offered message.Digest) bool {
			return offered.Head() > held.Head() && offered.Version() >= held.Version()
		},
		ConsistentState: (*catalog.State).ConsistentWith,
		ContinuesChain:  func(known bool, held, offered uint64) bool { return known && held == offered },
		ReachedLogEnd: func(known bool, head, next uint64, age, limit time.Duration) bool {
			return known && age <= limit && head >= next
		},
		ServesUnconfirmed: func(enough, logDown bool) bool { return enough && logDown },
		SendsState:        func(asked, held uint64, known bool) bool { return asked < held && !known },
		PullsWhenBehind:   func() bool { return true },

		RefusesBridge: func(held, other uint64) bool { return other > held },
	}
}

// SetRules replaces the rules. It is for tests.
func (m *Machine) SetRules(r Rules) {
	m.rules = r
	m.replica.replacesState = r.ReplacesState
	m.replica.consistentState = r.ConsistentState
}
