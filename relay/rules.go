package relay

import (
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
)

// Rules are the decisions on which the promises of the distribution rest. Tests replace one at a time
// by a broken one, to see that the loss of the promise is noticed.
type Rules struct {
	// Replaces tells whether a whole state that is offered takes the place of what is held.
	Replaces func(held, offered message.Digest) bool
	// Continued tells whether a whole state with a greater head may stem from what is held.
	Continued func(held, later *catalog.State) bool
	// Continues tells whether entries after the chain offered continue what is held.
	Continues func(known bool, held, offered uint64) bool
	// Confirms tells whether a node that has folded up to head may serve, when the log ended at next a
	// time ago. known is false while the node has not heard where the log ends.
	Confirms func(known bool, head, next uint64, age, limit time.Duration) bool
	// Offers tells whether what peers offer suffices to serve without the log.
	Offers func(enough, logDown bool) bool
	// States tells whether a peer with head asked gets the whole state of one with head held.
	States func(asked, held uint64, known bool) bool
	// Repairs tells whether a node pulls from a peer that it knows to be ahead.
	Repairs func() bool
	// Withholds tells whether a node with head held refuses to bridge a gap because a member has another head.
	Withholds func(held, other uint64) bool
}

// DefaultRules returns the rules that keep the promises.
func DefaultRules() Rules {
	return Rules{
		Replaces: func(held, offered message.Digest) bool {
			return offered.Head() > held.Head() && offered.Version() >= held.Version()
		},
		Continued: (*catalog.State).ConsistentWith,
		Continues: func(known bool, held, offered uint64) bool { return known && held == offered },
		Confirms: func(known bool, head, next uint64, age, limit time.Duration) bool {
			return known && age <= limit && head >= next
		},
		Offers:  func(enough, logDown bool) bool { return enough && logDown },
		States:  func(asked, held uint64, known bool) bool { return asked < held && !known },
		Repairs: func() bool { return true },

		Withholds: func(held, other uint64) bool { return other > held },
	}
}

// SetRules replaces the rules. It is for tests.
func (m *Machine) SetRules(r Rules) {
	m.rules = r
	m.holding.replaces = r.Replaces
	m.holding.continued = r.Continued
}
