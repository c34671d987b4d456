package rollout

// ServiceStatus is the state of the roll-out of a service at the node that leads.
type ServiceStatus struct {
	decision       Decision
	verdict        Verdict
	reason         string
	targetRequests uint64
	baseRequests   uint64
	guards         int
}

// Decision returns the last decision.
func (s ServiceStatus) Decision() Decision { return s.decision }

// Verdict returns the verdict so far.
func (s ServiceStatus) Verdict() Verdict { return s.verdict }

// Reason returns the reason of the verdict.
func (s ServiceStatus) Reason() string { return s.reason }

// TargetRequests returns the number of requests counted at the target version.
func (s ServiceStatus) TargetRequests() uint64 { return s.targetRequests }

// BaseRequests returns the number of requests counted at the base version.
func (s ServiceStatus) BaseRequests() uint64 { return s.baseRequests }

// Guards returns the number of nodes whose guard has stopped the target version. A few may be cut off from its servers; the
// verdict is that of the counts of all nodes.
func (s ServiceStatus) Guards() int { return s.guards }
