package rollout

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Settings configures a Decider.
type Settings struct {
	ExposureShare float64       // greatest share of a service's requests that may reach a bad version
	ExposureSlack int           // requests that may reach it in addition
	RollbackTime  time.Duration // time from the evidence against a version after which it gets nothing
}

// Decider is the state machine of the roll-outs of all services at the node that leads: the one that reads the operator's
// document first. At other nodes it only keeps what it may need to take over. It is not safe for concurrent use.
type Decider struct{}

// NewDecider returns a decider that does not lead.
func NewDecider(settings Settings) *Decider { return &Decider{} }

// Lead says whether the node reads the operator's document first.
func (d *Decider) Lead(now time.Time, leads bool) []Action { panic("rollout: not built yet") }

// Leads reports whether the node decides.
func (d *Decider) Leads() bool { panic("rollout: not built yet") }

// ObserveOrder takes in an order. An order that is known already, or older than the known one, has no effect.
func (d *Decider) ObserveOrder(now time.Time, o Order) []Action { panic("rollout: not built yet") }

// ObserveDecisions takes in the decisions that a ReadDecisions found, in their order, and where the topic ends.
func (d *Decider) ObserveDecisions(now time.Time, decisions []Decision, end uint64) []Action {
	panic("rollout: not built yet")
}

// ObserveReadFailure takes in that a ReadDecisions failed.
func (d *Decider) ObserveReadFailure(now time.Time) []Action { panic("rollout: not built yet") }

// ObserveAnnouncement takes in a decision that another node sent.
func (d *Decider) ObserveAnnouncement(now time.Time, decision Decision) []Action {
	panic("rollout: not built yet")
}

// ObserveMembers takes in a view of the fleet.
func (d *Decider) ObserveMembers(now time.Time, view *member.View) []Action {
	panic("rollout: not built yet")
}

// ObserveCounts takes in the counts of a reporter, the node itself included.
func (d *Decider) ObserveCounts(now time.Time, reporter member.Key, c Counts) []Action {
	panic("rollout: not built yet")
}

// ObserveAppend takes in the result of an AppendDecision.
func (d *Decider) ObserveAppend(now time.Time, a AppendDecision, result StoreResult) []Action {
	panic("rollout: not built yet")
}

// ObserveStatus takes in the result of a WriteStatus.
func (d *Decider) ObserveStatus(now time.Time, w WriteStatus, result StoreResult) []Action {
	panic("rollout: not built yet")
}

// Halt stops the roll-out of a service, as an operator asks for: nothing more goes to the target version, and the
// roll-out is rolled back. It reports false if the node does not lead or no roll-out of the service is running.
func (d *Decider) Halt(now time.Time, service, reason string) ([]Action, bool) {
	panic("rollout: not built yet")
}

// Tick handles what is due. It must be called several times a second while Active.
func (d *Decider) Tick(now time.Time) []Action { panic("rollout: not built yet") }

// Active reports whether there is an order that has no final decision yet.
func (d *Decider) Active() bool { panic("rollout: not built yet") }

// Statuses returns the state of each service's roll-out, for operators.
func (d *Decider) Statuses(now time.Time) []ServiceStatus { panic("rollout: not built yet") }

// ServiceStatus is the state of the roll-out of a service at the node that leads.
type ServiceStatus struct {
	decision       Decision
	verdict        Verdict
	reason         string
	targetRequests uint64
	baseRequests   uint64
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
