package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/rollout"
)

// Codes of the messages about roll-outs.
const (
	codeRolloutDecision Code = 51
	codeRolloutCounts   Code = 52
)

const (
	// maxReasonBytes is the size to which the reason of a decision is cut.
	maxReasonBytes = 200
	// maxOrderAge bounds the age and the time limit of an order on the wire.
	maxOrderAge = 30 * 24 * time.Hour
	// maxServersInUse bounds the servers of the target version in a decision on the wire.
	maxServersInUse = 1 << 16
)

func rolloutCodecs() []codec {
	return []codec{
		{code: codeRolloutDecision, sample: message.RolloutDecision{}, maxSize: MaxDatagram, encode: encodeRolloutDecision, decode: decodeRolloutDecision},
		{code: codeRolloutCounts, sample: message.RolloutCounts{}, maxSize: MaxDatagram, encode: encodeRolloutCounts, decode: decodeRolloutCounts},
	}
}

// decisionWire is the form of a decision between nodes and in the store.
type decisionWire struct {
	Service     string `cbor:"1,keyasint"`
	Target      string `cbor:"2,keyasint"`
	Base        string `cbor:"3,keyasint,omitempty"`
	Order       uint64 `cbor:"4,keyasint"`
	Sequence    uint64 `cbor:"5,keyasint"`
	Phase       string `cbor:"6,keyasint"`
	Share       uint16 `cbor:"7,keyasint,omitempty"`
	Servers     uint32 `cbor:"8,keyasint,omitempty"`
	Halted      bool   `cbor:"9,keyasint,omitempty"`
	AgeMillis   uint32 `cbor:"10,keyasint"`
	LimitMillis uint32 `cbor:"11,keyasint"`
	Reason      string `cbor:"12,keyasint,omitempty"`
	Confirmed   bool   `cbor:"13,keyasint,omitempty"` // not in the store
}

func toDecision(d rollout.Decision) (decisionWire, error) {
	if max(len(d.Service()), len(d.Target()), len(d.Base())) > message.MaxNameBytes {
		return decisionWire{}, errFieldRange
	}
	return decisionWire{
		Service: d.Service(), Target: d.Target(), Base: d.Base(), Order: d.Order(), Sequence: d.Sequence(), Phase: d.Phase().String(),
		Share: uint16(d.Share()), Servers: uint32(d.Servers()), Halted: d.Halted(), AgeMillis: orderMillis(d.Age()), LimitMillis: orderMillis(d.Limit()),
		Reason: d.Reason()[:min(len(d.Reason()), maxReasonBytes)],
	}, nil
}

func orderMillis(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxOrderAge).Milliseconds())
}

func (w decisionWire) decision() (rollout.Decision, error) {
	phase, known := rollout.ParsePhase(w.Phase)
	age, limit := time.Duration(w.AgeMillis)*time.Millisecond, time.Duration(w.LimitMillis)*time.Millisecond
	inRange := max(len(w.Service), len(w.Target), len(w.Base)) <= message.MaxNameBytes && len(w.Reason) <= maxReasonBytes &&
		w.Share <= rollout.FullShare && w.Servers <= maxServersInUse && max(age, limit) <= maxOrderAge
	if !known || !inRange || w.Service == "" || w.Target == "" {
		return rollout.Decision{}, errFieldRange
	}
	return rollout.NewDecision(rollout.DecisionFields{
		Service: w.Service, Target: w.Target, Base: w.Base, Order: w.Order, Sequence: w.Sequence, Phase: phase,
		Share: int(w.Share), Servers: int(w.Servers), Halted: w.Halted, Age: age, Limit: limit, Reason: w.Reason,
	}), nil
}

// EncodeDecision returns a decision in the form in which the store keeps it.
func EncodeDecision(d rollout.Decision) ([]byte, error) {
	w, err := toDecision(d)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(w)
}

// DecodeDecision decodes a decision that the store kept.
func DecodeDecision(data []byte) (rollout.Decision, error) {
	var w decisionWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return rollout.Decision{}, err
	}
	return w.decision()
}

func encodeRolloutDecision(body message.PeerMessage) ([]byte, error) {
	m := body.(message.RolloutDecision)
	w, err := toDecision(m.Decision())
	if err != nil {
		return nil, err
	}
	w.Confirmed = m.Confirmed()
	return cbor.Marshal(w)
}

func decodeRolloutDecision(data []byte) (message.PeerMessage, error) {
	var w decisionWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	d, err := w.decision()
	return message.NewRolloutDecision(d, w.Confirmed), err
}
