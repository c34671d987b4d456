package rollout

// Phase is a step of a roll-out.
type Phase uint8

// Phases in their order. PhaseCompleted and PhaseRolledBack are final.
const (
	// PhaseCanary sends a small share to a few servers of the target version, or none while they are not ready.
	PhaseCanary Phase = iota + 1
	// PhaseRaised sends a larger share to as many servers as carry it like the old ones.
	PhaseRaised
	// PhaseShifting sends all requests to the target version, while requests to the base version end.
	PhaseShifting
	// PhaseCompleted makes the target version the base version.
	PhaseCompleted
	// PhaseRolledBack sends nothing to the target version.
	PhaseRolledBack
)

// Final reports whether no other phase of the same order follows.
func (p Phase) Final() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// String returns the word that decisions in the store and status output use.
func (p Phase) String() string {
	names := [...]string{"unknown", "canary", "raised", "shifting", "completed", "rolled_back"}
	if int(p) >= len(names) {
		return names[0]
	}
	return names[p]
}

// ParsePhase returns the phase with the given name.
func ParsePhase(name string) (Phase, bool) {
	for p := PhaseCanary; p <= PhaseRolledBack; p++ {
		if p.String() == name {
			return p, true
		}
	}
	return 0, false
}

// State returns the state of the roll-out in the operator's status record.
func (p Phase) State() string {
	if p.Final() {
		return p.String()
	}
	return "running"
}
