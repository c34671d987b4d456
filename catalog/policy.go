package catalog

import (
	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// policy holds the steps and limits of applying entries that tests replace. Broken steps show that the property
// tests detect them, and small limits make short logs exceed them.
type policy struct {
	checkOrder   func(s *State, offset record.Offset) (skip bool, err error)
	decode       func(s *State, data []byte) (codec.DecodedEntry, error)
	chainHash    func(chain uint64, e record.Entry) uint64
	findOutcome  func(s *State, id record.PublishID) (record.Outcome, bool)
	rules        []rule
	commit       func(s *State, c record.ChangeSet, stamp codec.Stamp)
	raiseHorizon func(s *State, v record.Version)
	export       func(s *State) codec.Checkpoint
	isUsable     func(l *Loader, c codec.Chunk) bool

	maxOutcomes   int
	maxTombstones int
}

func defaultPolicy() policy {
	return policy{
		checkOrder:   (*State).checkOrder,
		decode:       (*State).decode,
		chainHash:    chainHash,
		findOutcome:  (*State).Outcome,
		rules:        defaultRules(),
		commit:       (*State).commit,
		raiseHorizon: (*State).raiseHorizon,
		export:       (*State).export,
		isUsable:     (*Loader).isUsable,

		maxOutcomes:   MaxOutcomes,
		maxTombstones: MaxTombstones,
	}
}
