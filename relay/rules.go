package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
)

// Rules are the decisions that the guarantees of the distribution depend on. Tests replace one at a time by a
// faulty one, to check that they detect the broken guarantee.
type Rules struct {
	// ReplacesState reports whether an offered state replaces the node's state.
	ReplacesState func(held, offered message.Digest) bool
	// ConsistentState reports whether a state with a greater head can be a continuation of the node's state.
	ConsistentState func(held, later *catalog.State) bool
	// ContinuesChain reports whether entries that follow the chain offered continue the node's chain held. known is
	// false if the node does not know its chain at that offset.
	ContinuesChain func(known bool, held, offered uint64) bool
	// ReachedLogEnd reports whether a node with the given head has caught up with a log whose next offset was next
	// as of age ago. known is false until the node has learned the end of the log.
	ReachedLogEnd func(known bool, head, next uint64, age, limit time.Duration) bool
	// ServesUnconfirmed reports whether a node may serve without confirmation from the log. enough says whether
	// enough serving peers are no further ahead.
	ServesUnconfirmed func(enough, logDown bool) bool
	// SendsState reports whether a node with head held sends its whole state to a peer with head asked that pulls. known
	// says whether the node's window of recent entries still reaches back to asked.
	SendsState func(asked, held uint64, known bool) bool
	// PullsWhenBehind reports whether a node pulls from a peer that is known to be ahead.
	PullsWhenBehind func() bool
	// RefusesBridge reports whether a node with head held refuses to bridge a gap because a member has head other.
	RefusesBridge func(held, other uint64) bool
}

// DefaultRules returns the rules that keep the guarantees.
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
		RefusesBridge:     func(held, other uint64) bool { return other > held },
	}
}

// SetRules replaces the rules. It is meant for tests.
func (m *Machine) SetRules(r Rules) {
	m.rules = r
	m.replica.replacesState = r.ReplacesState
	m.replica.consistentState = r.ConsistentState
}
