package rollout

import (
	"cmp"
	"time"
)

// FullShare is the share of all requests, in thousandths.
const FullShare = 1000

// DecisionFields are the fields of a Decision.
type DecisionFields struct {
	Service  string
	Target   string        // version that the order names
	Base     string        // version that the other requests go to
	Order    uint64        // number of the order
	Sequence uint64        // offset of the decision in the store + 1, 0 before it is appended
	Phase    Phase         // step of the roll-out
	Share    int           // thousandths of the service's requests that go to the target version
	Servers  int           // servers of the target version in use, 0 for all
	Halted   bool          // the share counts as 0
	Age      time.Duration // of the order
	Limit    time.Duration // time in which the roll-out has to end, counted from the order
	Reason   string        // of the step, for operators
}

// Decision is one step of a roll-out. The decisions of a service form one line in the store.
type Decision struct{ fields DecisionFields }

// NewDecision returns a decision.
func NewDecision(fields DecisionFields) Decision { return Decision{fields: fields} }

// Service returns the service.
func (d Decision) Service() string { return d.fields.Service }

// Target returns the version that the order names.
func (d Decision) Target() string { return d.fields.Target }

// Base returns the version that the other requests go to.
func (d Decision) Base() string { return d.fields.Base }

// Order returns the number of the order.
func (d Decision) Order() uint64 { return d.fields.Order }

// Sequence returns the offset of the decision in the store + 1, or 0 before it is appended.
func (d Decision) Sequence() uint64 { return d.fields.Sequence }

// Phase returns the step of the roll-out.
func (d Decision) Phase() Phase { return d.fields.Phase }

// Share returns the thousandths of requests that go to the target version, as decided.
func (d Decision) Share() int { return d.fields.Share }

// EffectiveShare returns the thousandths of requests that go to the target version, which is 0 if the decision is halted.
func (d Decision) EffectiveShare() int {
	if d.fields.Halted {
		return 0
	}
	return d.fields.Share
}

// Servers returns the number of servers of the target version in use, or 0 for all.
func (d Decision) Servers() int { return d.fields.Servers }

// Halted reports whether the share counts as 0 until the next decision.
func (d Decision) Halted() bool { return d.fields.Halted }

// Age returns the age of the order when the decision was made, sent or read.
func (d Decision) Age() time.Duration { return d.fields.Age }

// Limit returns the time in which the roll-out has to end, counted from the order.
func (d Decision) Limit() time.Duration { return d.fields.Limit }

// Reason returns the reason of the step, for operators.
func (d Decision) Reason() string { return d.fields.Reason }

// Final reports whether the roll-out has ended.
func (d Decision) Final() bool { return d.fields.Phase.Final() }

// Base version after the decision.
func (d Decision) nextBase() string {
	if d.fields.Phase == PhaseCompleted {
		return d.fields.Target
	}
	return d.fields.Base
}

// WithSequence returns the decision with its place in the store.
func (d Decision) WithSequence(sequence uint64) Decision {
	d.fields.Sequence = sequence
	return d
}

// WithHalt returns the decision as halted. A final decision is not changed, as it cannot be halted.
func (d Decision) WithHalt(reason string) Decision {
	if !d.Final() {
		d.fields.Halted, d.fields.Reason = true, reason
	}
	return d
}

// WithAge returns the decision with another age of the order.
func (d Decision) WithAge(age time.Duration) Decision {
	d.fields.Age = age
	return d
}

// Overrides reports whether the decision replaces another one of the same service: the greater sequence does, and at the
// same sequence the halted one.
func (d Decision) Overrides(current Decision) bool {
	if c := cmp.Compare(d.fields.Sequence, current.fields.Sequence); c != 0 {
		return c > 0
	}
	return d.fields.Halted && !current.fields.Halted
}
