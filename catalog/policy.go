package catalog

import (
	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// policy holds the steps and bounds of the fold that tests replace: by broken steps, to see that the
// properties notice, and by small bounds.
type policy struct {
	order  func(s *State, offset record.Offset) (skip bool, err error)
	decode func(s *State, data []byte) (codec.Item, error)
	link   func(chain uint64, e record.Entry) uint64
	recall func(s *State, id record.PublishID) (record.Outcome, bool)
	rules  []rule
	commit func(s *State, c record.ChangeSet, stamp codec.Stamp)
	forget func(s *State, v record.Version)
	export func(s *State) codec.Checkpoint
	usable func(l *Loader, c codec.Chunk) bool

	outcomes   int
	tombstones int
}

func defaultPolicy() policy {
	return policy{
		order:  (*State).checkOrder,
		decode: (*State).decode,
		link:   linkEntry,
		recall: (*State).Outcome,
		rules:  defaultRules(),
		commit: (*State).commit,
		forget: (*State).forget,
		export: (*State).export,
		usable: (*Loader).usable,

		outcomes:   MaxOutcomes,
		tombstones: MaxTombstones,
	}
}
