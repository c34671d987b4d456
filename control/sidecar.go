package control

import (
	"math/rand/v2"
	"time"

	"github.com/bambooknot/bambooknot/feed"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quota"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/routing"
)

// SidecarSettings configures a Sidecar.
type SidecarSettings struct {
	Self     member.Member
	Fleet    fleet.Settings
	Feed     feed.Settings
	Gone     func(err error) bool // reports whether a read error means that the store does not have the requested offset; required
	Quota    QuotaSettings
	Rollouts RolloutSettings
}

// Sidecar is the control state of a node that takes the operator's document from the platform's store: membership,
// distribution of the document, the requests that crash servers and roll-outs of service versions. It is not safe for concurrent use, but its Snapshots are.
type Sidecar struct {
	*quarantineExchange
	quota         *quotaExchange // nil without a limiter
	fleet         *fleet.Machine
	feed          *feed.Machine
	rollouts      *rolloutExchange // nil if versions of servers are ignored
	isGone        func(error) bool
	snapshot      *routing.Snapshot
	readStartedAt time.Time // when the last ReadLog was issued
}

// NewSidecar returns the control state of a node without routes.
func NewSidecar(settings SidecarSettings, rnd *rand.Rand) *Sidecar {
	f := fleet.New(settings.Self, settings.Fleet, rnd)
	reader := feed.New(settings.Feed, rnd)
	c := &Sidecar{
		quarantineExchange: newQuarantineExchange(f, rnd),
		fleet:              f,
		feed:               reader,
		rollouts:           newRolloutExchange(settings.Rollouts, f, reader),
		isGone:             settings.Gone,
	}
	if limiter := settings.Quota.Limiter; limiter != nil {
		c.quota = newQuotaExchange(f, settings.Quota, func(s quota.Settings) *quota.Node {
			return quota.NewNode(settings.Self.Key().Peer(), limiter, s, rnd)
		})
	}
	return c
}

// Tick handles the timers that are due. It must be called every TickPeriod.
func (c *Sidecar) Tick(now time.Time) []message.Action {
	c.tick(now)
	out := c.fleet.Tick(now)
	if c.quota != nil {
		out = append(out, c.quota.tick(now)...)
	}
	out = append(out, c.feed.Tick(now, c.fleet.View())...)
	return c.update(now, append(out, c.rollouts.tick(now)...))
}

// Receive handles a message from another node.
func (c *Sidecar) Receive(now time.Time, env message.Envelope) []message.Action {
	out := append(c.fleet.Receive(now, env), c.receive(now, env)...)
	if c.quota != nil {
		out = append(out, c.quota.receive(now, env)...)
	}
	out = append(out, c.feed.Receive(now, c.fleet.View(), env)...)
	return c.update(now, append(out, c.rollouts.receive(now, env)...))
}

// ReceiveLogPage handles the result of a ReadLog. The document's reader learns from it how fast the store answers and
// which nodes announce themselves there, so that a starting node may read or request the document at once.
func (c *Sidecar) ReceiveLogPage(now time.Time, page message.LogPage) []message.Action {
	out := c.fleet.ReceiveLogPage(now, page)
	if page.Err() == nil {
		c.feed.ObserveStore(now.Sub(c.readStartedAt), c.fleet.Announced())
		out = append(out, c.feed.Tick(now, c.fleet.View())...)
	}
	return c.update(now, out)
}

// ReceiveAppendResult handles the result of an AppendLog.
func (c *Sidecar) ReceiveAppendResult(now time.Time, a message.AppendResult) []message.Action {
	return c.update(now, c.fleet.ReceiveAppendResult(now, a))
}

// ReceiveDocumentPage handles the result of a ReadDocument.
func (c *Sidecar) ReceiveDocumentPage(now time.Time, page message.DocumentPage) []message.Action {
	out := c.fleet.ObserveStoreEra(now, page.Era())
	out = append(out, c.feed.ReceivePage(now, page, page.Err() != nil && c.isGone(page.Err()))...)
	return c.update(now, append(out, c.rollouts.observeOrders(now, page.Orders())...))
}

// ReceiveRolloutResult handles the result of a RolloutAction.
func (c *Sidecar) ReceiveRolloutResult(now time.Time, r message.RolloutResult) []message.Action {
	return c.update(now, c.rollouts.receiveResult(now, r))
}

// HaltRollout handles the request of an operator to halt the roll-out of a service.
func (c *Sidecar) HaltRollout(now time.Time, h message.RolloutHalt) []message.Action {
	return c.update(now, c.rollouts.halt(now, h.Service()))
}

// SetServer sets the state of the local backend server, as this node judges it.
func (c *Sidecar) SetServer(now time.Time, server member.Server) []message.Action {
	return c.update(now, c.fleet.SetServer(now, server))
}

// Leave announces that the node leaves the fleet.
func (c *Sidecar) Leave(now time.Time) []message.Action { return c.fleet.Leave(now) }

// update refreshes the state that depends on an event and returns the actions of the event unchanged.
func (c *Sidecar) update(now time.Time, actions []message.Action) []message.Action {
	for _, a := range actions {
		if _, ok := a.(message.ReadLog); ok {
			c.readStartedAt = now
		}
	}
	c.fleet.SetDigest(message.NewDigest(c.feed.Version(), record.Offset(0), 0))
	table, view, plans := c.feed.Table(), c.fleet.View(), c.rollouts.update(now)
	if c.quota != nil {
		c.quota.setTable(now, table)
	}
	if table != nil && (c.snapshot == nil || c.snapshot.Table() != table || c.snapshot.View() != view || c.snapshot.Plans() != plans) {
		c.snapshot = routing.NewSnapshot(table, view).WithPlans(plans)
	}
	return actions
}

// Snapshot returns the routes in force, the view of the fleet and the plans of roll-outs, or nil while the node has no routes.
func (c *Sidecar) Snapshot() *routing.Snapshot { return c.snapshot }

// QuotaChanges returns the organisations that the node, as their owner, has started or stopped to limit since the last call.
func (c *Sidecar) QuotaChanges() []QuotaChange {
	if c.quota == nil {
		return nil
	}
	return c.quota.changes()
}

// Joined reports whether another node has answered a view comparison in full. Unlike with a Core, the only node of a
// fleet never joins.
func (c *Sidecar) Joined() bool { return c.fleet.Joined() }

// Self returns the node as it announces itself.
func (c *Sidecar) Self() member.Member { return c.fleet.Self() }

// Feed returns the distribution of the document. Callers may only read from it.
func (c *Sidecar) Feed() *feed.Machine { return c.feed }

// StoreEra returns the era of the store in its newest answer, or 0 before the first one.
func (c *Sidecar) StoreEra() record.Era { return c.fleet.StoreEra() }

// Members returns all members with a claim, including dead members and members that left.
func (c *Sidecar) Members() []member.Member { return c.fleet.Members() }
