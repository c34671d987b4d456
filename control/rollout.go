package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/feed"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/rollout"
)

const (
	// rolloutSyncInterval is the least time between two repairs of a difference between records of decisions.
	rolloutSyncInterval = 200 * time.Millisecond
	// planInterval is the time after which the plans are made again without a change that is known: base versions that have no
	// servers any more are replaced.
	planInterval = 500 * time.Millisecond
	// guardInterval is the time between two looks of the node's own guard at its counts.
	guardInterval = 250 * time.Millisecond
	// operatorHalt is the reason of a halt that an operator asks for.
	operatorHalt = "halted by an operator"
)

// RolloutSettings configures how a node takes part in roll-outs of service versions.
type RolloutSettings struct {
	Bounds rollout.Settings // without a share, versions of servers are ignored
	// Counts returns what the node's traffic has counted of the roll-out of a decision.
	Counts func(d rollout.Decision, guarded bool) rollout.Counts
}

// rolloutExchange runs roll-outs at one node: it keeps the decisions, exchanges them and the counts with the other nodes,
// and decides at the node that leads reading the store. A nil rolloutExchange does nothing.
type rolloutExchange struct {
	fleet        *fleet.Machine
	feed         *feed.Machine
	counts       func(d rollout.Decision, guarded bool) rollout.Counts
	record       *rollout.Record
	planner      *rollout.Planner
	decider      *rollout.Decider
	guard        *rollout.Guard
	peers        map[string]decidingPeer // by service
	reports      map[string]sentReport   // by service
	plans        *rollout.Plans
	view         *member.View // that the plans and the decider have
	stale        bool         // the plans may have changed
	heardAt      time.Time    // when counts of another node arrived last
	appendedAt   time.Time    // when an append ended last
	nextVerifyAt time.Time
	nextSyncAt   time.Time
	nextPlanAt   time.Time
	nextGuardAt  time.Time
	nextReportAt time.Time
}

// decidingPeer is the node that last sent a decision of a service as the one that decides.
type decidingPeer struct {
	key     member.Key
	heardAt time.Time
}

// sentReport is the last report of a service's counts.
type sentReport struct {
	counts rollout.Counts
	sentAt time.Time
}

// newRolloutExchange returns nil if versions of servers are ignored.
func newRolloutExchange(s RolloutSettings, f *fleet.Machine, reader *feed.Machine) *rolloutExchange {
	if s.Bounds.ExposureShare <= 0 {
		return nil
	}
	return &rolloutExchange{
		fleet: f, feed: reader, counts: s.Counts, record: rollout.NewRecord(), planner: rollout.NewPlanner(), decider: rollout.NewDecider(s.Bounds),
		guard: rollout.NewGuard(), peers: make(map[string]decidingPeer), reports: make(map[string]sentReport),
	}
}

// tick decides, guards and reports what is due.
func (x *rolloutExchange) tick(now time.Time) []message.Action {
	if x == nil {
		return nil
	}
	if !now.Before(x.nextPlanAt) {
		x.nextPlanAt, x.stale = now.Add(planInterval), true
	}
	x.observeView(now)
	out := x.run(now, x.decider.Lead(now, x.feed.Leads()))
	out = append(out, x.run(now, x.decider.Tick(now))...)
	out = append(out, x.verify(now)...)
	if !now.Before(x.nextGuardAt) {
		x.nextGuardAt = now.Add(guardInterval)
		x.observeOwnCounts(now)
	}
	if !now.Before(x.nextReportAt) {
		x.nextReportAt = now.Add(rollout.ReportInterval(len(x.fleet.View().Members())))
		out = append(out, x.report(now)...)
	}
	return out
}

func (x *rolloutExchange) observeView(now time.Time) {
	if view := x.fleet.View(); view != x.view {
		x.view, x.stale = view, true
		x.decider.ObserveMembers(now, view)
	}
}

// observeOrders takes in the orders that were read with the operator's document.
func (x *rolloutExchange) observeOrders(now time.Time, orders []rollout.Order) []message.Action {
	if x == nil {
		return nil
	}
	x.observeView(now)
	var out []message.Action
	for _, o := range orders {
		seen := rollout.NewOrder(o.Service(), o.Target(), o.Limit(), o.Number(), now)
		out = append(out, x.run(now, x.decider.ObserveOrder(now, seen))...)
	}
	return out
}

// receiveResult handles the result of a RolloutAction.
func (x *rolloutExchange) receiveResult(now time.Time, r message.RolloutResult) []message.Action {
	if x == nil {
		return nil
	}
	switch request := r.Request().(type) {
	case verification:
		return x.receiveVerification(now, request, r)
	case rollout.AppendDecision:
		x.appendedAt = now
		return x.run(now, x.decider.ObserveAppend(now, request, r.Result()))
	case rollout.WriteStatus:
		return x.run(now, x.decider.ObserveStatus(now, request, r.Result()))
	case rollout.ReadDecisions:
		if r.Err() != nil {
			return x.run(now, x.decider.ObserveReadFailure(now))
		}
		return x.run(now, x.decider.ObserveDecisions(now, r.Decisions(), r.End()))
	}
	return nil
}

// run carries out what the decider wants done.
func (x *rolloutExchange) run(now time.Time, actions []rollout.Action) []message.Action {
	var out []message.Action
	for _, a := range actions {
		if announce, ok := a.(rollout.Announce); ok {
			out = append(out, x.announce(now, announce.Decision())...)
			continue
		}
		out = append(out, message.NewRolloutAction(a))
	}
	return out
}

// announce sends a decision of this node to all members.
func (x *rolloutExchange) announce(now time.Time, d rollout.Decision) []message.Action {
	x.peers[d.Service()] = decidingPeer{key: x.fleet.Self().Key(), heardAt: now}
	out := x.merge(now, d)
	x.confirmOwn(now, d)
	return append(out, x.sendToAll(message.NewRolloutDecision(d, true))...)
}

// confirmOwn notes that the node itself decides, unless it is cut off from the others: one of these may have decided since.
func (x *rolloutExchange) confirmOwn(now time.Time, d rollout.Decision) {
	if now.Sub(x.heardAt) < rollout.TrustPeriod {
		x.record.Confirm(now, d.Service(), d.Sequence())
	}
}

func (x *rolloutExchange) sendToAll(body message.RolloutDecision) []message.Action {
	var out []message.Action
	for _, m := range x.fleet.View().Members() {
		if m.Key().Peer() != x.fleet.Self().Key().Peer() {
			out = append(out, message.NewSend(m.Key().Peer(), body))
		}
	}
	return out
}

// receive handles decisions and counts of other nodes, and the hash of their records.
func (x *rolloutExchange) receive(now time.Time, env message.Envelope) []message.Action {
	if x == nil {
		return nil
	}
	switch body := env.Body().(type) {
	case message.RolloutDecision:
		return x.receiveDecision(now, env.Sender(), body)
	case message.RolloutCounts:
		return x.receiveCounts(now, env.Sender(), body.Counts())
	case message.Ping:
		return x.repair(now, env.Sender(), body.Summary())
	case message.Ack:
		return x.repair(now, env.Sender(), body.Summary())
	case message.SyncReq:
		if body.Mode() == message.SyncJoin {
			return x.sendRecord(now, env.Sender())
		}
	}
	return nil
}

func (x *rolloutExchange) receiveDecision(now time.Time, from member.Key, body message.RolloutDecision) []message.Action {
	d := body.Decision()
	current, known := x.record.Get(now, d.Service())
	contact := body.Confirmed() && (!known || d.Sequence() >= current.Sequence())
	if contact {
		if x.peers[d.Service()].key != from {
			delete(x.reports, d.Service()) // the new decider has no counts of this node
		}
		x.peers[d.Service()] = decidingPeer{key: from, heardAt: now}
	}
	out := x.merge(now, d)
	if contact {
		x.record.Confirm(now, d.Service(), d.Sequence())
		x.stale = true
	}
	return append(out, x.run(now, x.decider.ObserveAnnouncement(now, d))...)
}

// receiveCounts answers with the decision in force if this node decides.
func (x *rolloutExchange) receiveCounts(now time.Time, from member.Key, c rollout.Counts) []message.Action {
	x.heardAt = now
	out := x.run(now, x.decider.ObserveCounts(now, from, c))
	if d, ok := x.decider.Decision(now, c.Service()); ok {
		out = append(out, message.NewSend(from.Peer(), message.NewRolloutDecision(d, true)))
	}
	return out
}

// merge adds a decision to the record. If it is new, the node reports its counts before it acts on the decision: a report over
// two shares would compare the versions over different times.
func (x *rolloutExchange) merge(now time.Time, d rollout.Decision) []message.Action {
	if !x.record.Merge(now, d) {
		return nil
	}
	x.stale = true
	x.fleet.SetRolloutDigest(x.record.Digest())
	if d.Final() {
		return nil
	}
	return x.reportService(now, d)
}

// repair sends the decisions to a node whose record differs.
func (x *rolloutExchange) repair(now time.Time, to member.Key, s message.Summary) []message.Action {
	if s.Rollouts() == x.record.Digest() || now.Before(x.nextSyncAt) {
		return nil
	}
	x.nextSyncAt = now.Add(rolloutSyncInterval)
	return x.sendRecord(now, to)
}

func (x *rolloutExchange) sendRecord(now time.Time, to member.Key) []message.Action {
	var out []message.Action
	for _, d := range x.record.All(now) {
		out = append(out, message.NewSend(to.Peer(), message.NewRolloutDecision(d, false)))
	}
	return out
}

// halt stops the roll-out of a service for an operator. Every node may halt, and the one that decides takes it over.
func (x *rolloutExchange) halt(now time.Time, service string) []message.Action {
	if x == nil {
		return nil
	}
	if actions, ok := x.decider.Halt(now, service, operatorHalt); ok {
		return x.run(now, actions)
	}
	d, ok := x.record.Get(now, service)
	if !ok || d.Final() {
		return nil
	}
	halted := d.WithHalt(operatorHalt)
	out := x.merge(now, halted)
	out = append(out, x.run(now, x.decider.ObserveAnnouncement(now, halted))...)
	return append(out, x.sendToAll(message.NewRolloutDecision(halted, false))...)
}

// observeOwnCounts shows the node's own counts to its guard.
func (x *rolloutExchange) observeOwnCounts(now time.Time) {
	for _, d := range x.record.All(now) {
		if d.Final() {
			x.guard.Forget(d.Service())
			delete(x.reports, d.Service())
			continue
		}
		if x.guard.Observe(now, x.counts(d, false)) {
			x.nextReportAt, x.stale = now, true
		}
	}
}

// report sends the counts of each running roll-out to the node that decides.
func (x *rolloutExchange) report(now time.Time) []message.Action {
	var out []message.Action
	for _, d := range x.record.All(now) {
		if d.Final() {
			continue
		}
		out = append(out, x.reportService(now, d)...)
		if x.decider.Leads() {
			x.confirmOwn(now, d)
		}
	}
	return out
}

// reportService sends the counts of the roll-out of a decision, if they have changed or were not answered.
func (x *rolloutExchange) reportService(now time.Time, d rollout.Decision) []message.Action {
	c := x.counts(d, x.guard.Stopped(d.Service()))
	if x.decider.Leads() {
		return x.run(now, x.decider.ObserveCounts(now, x.fleet.Self().Key(), c))
	}
	last, reported := x.reports[d.Service()]
	answered := x.peers[d.Service()].heardAt.After(last.sentAt)
	to, known := x.decidingNode(d.Service(), answered)
	if !known || reported && answered && sameCounts(last.counts, c) {
		return nil
	}
	x.reports[d.Service()] = sentReport{counts: c, sentAt: now}
	return sendCounts(to, c)
}

// decidingNode returns the node that decided last, or if it did not answer the last report, the one that leads reading.
func (x *rolloutExchange) decidingNode(service string, answered bool) (netip.AddrPort, bool) {
	peer := x.peers[service].key.Peer()
	if leader, known := x.feed.Leader(); known && !answered {
		return leader, true
	}
	return peer, peer.IsValid() && peer != x.fleet.Self().Key().Peer()
}

// sendCounts sends counts in as many messages as their routes need.
func sendCounts(to netip.AddrPort, c rollout.Counts) []message.Action {
	var out []message.Action
	for routes := c.Routes(); ; routes = routes[message.MaxCountedRoutes:] {
		part := rollout.NewCounts(rollout.CountsFields{
			Service: c.Service(), Order: c.Order(), Sequence: c.Sequence(), Routes: routes[:min(message.MaxCountedRoutes, len(routes))],
			InFlightBase: c.InFlightBase(), InFlightTarget: c.InFlightTarget(), Guarded: c.Guarded(),
		})
		out = append(out, message.NewSend(to, message.NewRolloutCounts(part)))
		if len(routes) <= message.MaxCountedRoutes {
			return out
		}
	}
}

func sameCounts(a, b rollout.Counts) bool {
	return a.Order() == b.Order() && a.Sequence() == b.Sequence() && a.Guarded() == b.Guarded() && a.InFlightBase() == b.InFlightBase() &&
		a.InFlightTarget() == b.InFlightTarget() && slices.Equal(a.Routes(), b.Routes())
}

// update refreshes the plans after an event and returns them, nil if versions of servers are ignored.
func (x *rolloutExchange) update(now time.Time) *rollout.Plans {
	if x == nil {
		return nil
	}
	x.observeView(now)
	if x.stale {
		x.stale = false
		x.plans = x.planner.Update(now, x.view, x.record, x.guard.Stopped)
	}
	return x.plans
}
