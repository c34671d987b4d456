package control

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/rollout"
)

// RolloutStatus is the state of the roll-out of a service as one node knows it.
type RolloutStatus struct {
	decision       rollout.Decision
	decider        netip.AddrPort
	verdict        rollout.Verdict
	verdictReason  string
	baseRequests   uint64
	targetRequests uint64
	guards         int
	stopped        bool
}

// Decision returns the last decision, with the age of the order.
func (s RolloutStatus) Decision() rollout.Decision { return s.decision }

// Decider returns the node that was last known to decide, or the zero value if none is known.
func (s RolloutStatus) Decider() netip.AddrPort { return s.decider }

// Verdict returns the verdict so far and its reason. Only the node that decides knows it; others return
// rollout.VerdictUndecided.
func (s RolloutStatus) Verdict() (rollout.Verdict, string) { return s.verdict, s.verdictReason }

// BaseRequests returns the requests counted at the base version: of all nodes at the node that decides, else its own.
func (s RolloutStatus) BaseRequests() uint64 { return s.baseRequests }

// TargetRequests returns the same for the target version.
func (s RolloutStatus) TargetRequests() uint64 { return s.targetRequests }

// Guards returns the number of nodes whose guard has stopped the target version, as the node that decides knows it, else 0.
func (s RolloutStatus) Guards() int { return s.guards }

// Stopped reports whether the node's own guard has stopped the target version.
func (s RolloutStatus) Stopped() bool { return s.stopped }

// Rollouts returns the state of each service's last roll-out.
func (c *Sidecar) Rollouts(now time.Time) []RolloutStatus { return c.rollouts.statuses(now) }

// RolloutDigest returns the hash over the decisions about roll-outs, 0 if there are none.
func (c *Sidecar) RolloutDigest() uint64 {
	if c.rollouts == nil {
		return 0
	}
	return c.rollouts.record.Digest()
}

func (x *rolloutExchange) statuses(now time.Time) []RolloutStatus {
	if x == nil {
		return nil
	}
	decided := make(map[string]rollout.ServiceStatus)
	if x.decider.Leads() {
		for _, s := range x.decider.Statuses(now) {
			decided[s.Decision().Service()] = s
		}
	}
	var all []RolloutStatus
	for _, d := range x.record.All(now) {
		s := RolloutStatus{decision: d, decider: x.peers[d.Service()].key.Peer(), stopped: x.guard.Stopped(d.Service())}
		if own, ok := decided[d.Service()]; ok {
			s.verdict, s.verdictReason = own.Verdict(), own.Reason()
			s.baseRequests, s.targetRequests = own.BaseRequests(), own.TargetRequests()
			s.guards = own.Guards()
		} else {
			s.baseRequests, s.targetRequests = totalRequests(x.counts(d, false))
		}
		all = append(all, s)
	}
	return all
}

func totalRequests(c rollout.Counts) (base, target uint64) {
	for _, r := range c.Routes() {
		base += r.Base().Requests()
		for _, t := range r.Target() {
			target += t.Requests()
		}
	}
	return base, target
}
