package rollout

// Action is what a Decider wants done: AppendDecision, ReadDecisions, Announce or WriteStatus.
type Action interface{ isRolloutAction() }

// AppendDecision appends a decision to the topic if it still ends at an offset. The result goes to Decider.ObserveAppend.
type AppendDecision struct {
	decision Decision
	end      uint64
}

// Decision returns the decision. Its sequence is End + 1.
func (a AppendDecision) Decision() Decision { return a.decision }

// End returns the offset at which the topic must end.
func (a AppendDecision) End() uint64 { return a.end }

// ReadDecisions reads the topic from an offset to its end. The result goes to Decider.ObserveDecisions, or to
// Decider.ObserveReadFailure.
type ReadDecisions struct{ from uint64 }

// From returns the offset at which to begin.
func (r ReadDecisions) From() uint64 { return r.from }

// Announce sends a decision to all members, and to the node's own Record.
type Announce struct{ decision Decision }

// Decision returns the decision.
func (a Announce) Decision() Decision { return a.decision }

// WriteStatus writes the operator's status record of a decision, with its sequence as epoch. The result goes to
// Decider.ObserveStatus.
type WriteStatus struct{ decision Decision }

// Decision returns the decision: service, target version, the state of its phase, and its sequence.
func (w WriteStatus) Decision() Decision { return w.decision }

func (AppendDecision) isRolloutAction() {}
func (ReadDecisions) isRolloutAction()  {}
func (Announce) isRolloutAction()       {}
func (WriteStatus) isRolloutAction()    {}

// StoreResult is the result of a write to the store.
type StoreResult uint8

// Results of a write.
const (
	// StoreDone means that the write was acknowledged.
	StoreDone StoreResult = iota
	// StoreRejected means that the topic ends elsewhere (412), or that a newer status has been written (409).
	StoreRejected
	// StoreUnknown means that the write may have been done or not.
	StoreUnknown
)
