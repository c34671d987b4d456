// Package control is the control core of a node: it combines membership, distribution and the configuration state in one
// deterministic state machine. Its methods take an event and the current time and return the actions to execute. The
// daemon calls it from a single goroutine, and tests call it in the same way.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
)

// TickPeriod is the interval between calls of Tick.
const TickPeriod = 100 * time.Millisecond

// bootstrapDelay is the time after its start at which a node that has reached no other node considers itself the first
// of its fleet.
const bootstrapDelay = 10 * time.Second

// DefaultPublishTimeout is the default time after which a publish without a decision is reported as unknown.
const DefaultPublishTimeout = 10 * time.Second

// Settings configures a Core.
type Settings struct {
	Self           member.Member        // the node itself
	LogRegion      member.Region        // region of the platform's log
	Fleet          fleet.Settings       // membership
	Relay          relay.Settings       // distribution; the zero value selects relay.Defaults
	PublishTimeout time.Duration        // time to wait for a decision; zero selects DefaultPublishTimeout
	NotApplied     func(err error) bool // reports whether an append error means that the log did not take the entry and never will; if nil, no error does
}

// Core is the control state of one node. It is not safe for concurrent use, but its Snapshots are.
type Core struct {
	*quarantineExchange
	fleet      *fleet.Machine
	relay      *relay.Machine
	publisher  publisher
	snapshot   *message.Snapshot
	notApplied func(err error) bool
	leaving    bool
	startedAt  time.Time
	fleetKnown bool // the node knows its fleet or is the first node of it
}

// New returns the core of a node without a configuration.
func New(settings Settings, rnd *rand.Rand) *Core {
	if settings.PublishTimeout <= 0 {
		settings.PublishTimeout = DefaultPublishTimeout
	}
	f := fleet.New(settings.Self, settings.Fleet, rnd)
	c := &Core{
		quarantineExchange: newQuarantineExchange(f, rnd),

		fleet:      f,
		relay:      relay.New(settings.Self, settings.LogRegion, nil, settings.Relay, rnd),
		publisher:  newPublisher(settings.PublishTimeout),
		notApplied: settings.NotApplied,
	}
	if c.notApplied == nil {
		c.notApplied = func(error) bool { return false }
	}
	c.updateSnapshot()
	return c
}

// Tick handles the timers that are due. It must be called every TickPeriod.
func (c *Core) Tick(now time.Time) []message.Action {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.tick(now)
	out := c.fleet.Tick(now)
	out = append(out, c.relay.Tick(now, c.fleet.View())...)
	c.update(now)
	return out
}

// Receive handles a message from another node.
func (c *Core) Receive(now time.Time, env message.Envelope) []message.Action {
	out := append(c.fleet.Receive(now, env), c.receive(now, env)...)
	out = append(out, c.relay.Receive(now, c.fleet.View(), env)...)
	c.update(now)
	return out
}

// ReceiveLogPage handles the result of a ReadLog.
func (c *Core) ReceiveLogPage(now time.Time, page message.LogPage) []message.Action {
	if page.Stream() != message.StreamConfig {
		return c.fleet.ReceiveLogPage(now, page)
	}
	out := c.relay.ReceiveLogPage(now, c.fleet.View(), page)
	c.update(now)
	return out
}

// ReceiveAppendResult handles the result of an AppendLog.
func (c *Core) ReceiveAppendResult(now time.Time, a message.AppendResult) []message.Action {
	if a.Stream() != message.StreamConfig {
		return c.fleet.ReceiveAppendResult(now, a)
	}
	if relay.OwnsAppend(a) {
		return c.relay.ReceiveAppendResult(now, a, c.notApplied)
	}
	c.publisher.receiveAppendResult(a, c.notApplied)
	c.update(now)
	return nil
}

// SetServer sets the state of the local backend server, as the server announced it.
func (c *Core) SetServer(now time.Time, server member.Server) []message.Action {
	out := c.fleet.SetServer(now, server)
	c.updateSnapshot()
	return out
}

// Leave announces that the node leaves the fleet. The node stops reading the log but still forwards pushes.
func (c *Core) Leave(now time.Time) []message.Action {
	c.leaving = true
	c.relay.Retire()
	return c.fleet.Leave(now)
}

// update refreshes the state that depends on an event and delivers the receipts that are due.
func (c *Core) update(now time.Time) {
	c.fleetKnown = c.fleetKnown || c.fleet.Joined() || now.Sub(c.startedAt) >= bootstrapDelay
	c.updateSnapshot()
	c.publisher.deliverReceipts(now, c.relay.Digest().Head(), c.relay.Outcome)
}

// updateSnapshot sets the digest that membership messages carry, and replaces the snapshot if it has changed.
func (c *Core) updateSnapshot() {
	c.fleet.SetDigest(c.relay.Digest())
	config, view := c.relay.Config(), c.fleet.View()
	if c.snapshot != nil && c.snapshot.Config() == config && c.snapshot.View() == view {
		return
	}
	c.snapshot = message.NewSnapshot(config, view)
}

// Snapshot returns the configuration in force and the view of the fleet. The pointer stays the same until one of them
// changes.
func (c *Core) Snapshot() *message.Snapshot { return c.snapshot }

// Joined reports whether the node holds a configuration that it may serve from and knows the fleet to which it would
// send calls. A node that has reached no other node within bootstrapDelay counts as the first of its fleet.
func (c *Core) Joined() bool { return c.relay.Joined() && c.fleetKnown }

// RelayCounts returns the event counters of the distribution.
func (c *Core) RelayCounts() relay.Counts { return c.relay.Counts() }

// FleetCounts returns the event counters of the membership.
func (c *Core) FleetCounts() fleet.Counts { return c.fleet.Counts() }

// Outcome returns the decision on a publish, if the node has applied its entry and still remembers the decision.
func (c *Core) Outcome(id record.PublishID) (record.Outcome, bool) { return c.relay.Outcome(id) }

// Status returns the state of the node for operators.
func (c *Core) Status(now time.Time) message.Status {
	return message.NewStatus(message.StatusFields{
		Stage:        c.stage(),
		Self:         c.Self(),
		Digest:       c.relay.Digest(),
		Level:        c.relay.Level(),
		LogErr:       c.relay.LogErr(now),
		LogSeenAt:    c.relay.LogSeenAt(),
		Roles:        c.relay.Roles(),
		Members:      c.fleet.Members(),
		Census:       c.relay.Census(),
		MissingLevel: c.relay.MissingLevel(),
		Unconfirmed:  c.relay.Unconfirmed(),
		Conflicts:    c.relay.Counts().Conflicts + c.relay.Counts().CheckpointMismatches,
		Gap:          c.relay.Gap(),
	})
}

// Self returns the node as it announces itself. Its key names the sender of all messages. The key changes if the
// address turns out to have been used with a newer incarnation.
func (c *Core) Self() member.Member { return c.fleet.Self() }

func (c *Core) stage() message.Stage {
	if c.leaving {
		return message.StageDraining
	}
	if c.Joined() {
		return message.StageServing
	}
	return message.StageJoining
}
