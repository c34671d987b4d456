package control

import (
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/rollout"
)

// verifyInterval is the time between two reads of the decisions by the node that decides. Of two parts of the fleet that do
// not reach each other, each may have such a node, and one does not hear of the other's decisions.
const verifyInterval = time.Second

// verification is a read of the decisions that the decider has not asked for.
type verification struct {
	rollout.ReadDecisions
	startedAt time.Time
}

// verify reads the decisions again if the node decides and a roll-out is running.
func (x *rolloutExchange) verify(now time.Time) []message.Action {
	if !x.decider.Leads() || now.Before(x.nextVerifyAt) || !x.running(now) {
		return nil
	}
	x.nextVerifyAt = now.Add(verifyInterval)
	return []message.Action{message.NewRolloutAction(verification{startedAt: now})}
}

func (x *rolloutExchange) running(now time.Time) bool {
	for _, d := range x.record.All(now) {
		if !d.Final() {
			return true
		}
	}
	return false
}

// receiveVerification passes the decisions on to the decider, unless an append has ended since. Only those that are news to the
// node are announced.
func (x *rolloutExchange) receiveVerification(now time.Time, v verification, r message.RolloutResult) []message.Action {
	if r.Err() != nil || x.appendedAt.After(v.startedAt) || !x.decider.Leads() {
		return nil
	}
	var wanted []rollout.Action
	for _, a := range x.decider.ObserveDecisions(now, r.Decisions(), r.End()) {
		if announce, ok := a.(rollout.Announce); ok {
			if current, known := x.record.Get(now, announce.Decision().Service()); known && !announce.Decision().Overrides(current) {
				continue
			}
		}
		wanted = append(wanted, a)
	}
	return x.run(now, wanted)
}
