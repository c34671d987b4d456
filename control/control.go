// Package control is the control core of a node: membership, distribution and the fold of the
// configuration as one deterministic machine. Events go in with the time, actions come out. The daemon
// drives it from one thread, and tests drive it alike.
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

// TickPeriod is the time between two calls of Tick.
const TickPeriod = 100 * time.Millisecond

// aloneWait is the time after which a node that has met no other counts as the first of its fleet.
const aloneWait = 10 * time.Second

// DefaultPublishWait is the time after which an undecided publish is reported as unknown.
const DefaultPublishWait = 10 * time.Second

// Settings of a Core.
type Settings struct {
	Self        member.Member        // the node itself
	LogRegion   member.Region        // region in which the platform's log stands
	Fleet       fleet.Settings       // membership
	Relay       relay.Settings       // distribution; zero stands for relay.Defaults
	PublishWait time.Duration        // zero stands for DefaultPublishWait
	NotApplied  func(err error) bool // whether the error of an append says that the log did not and never will take the entry
}

// Core is the control state of one node. It is not safe for concurrent use; Snapshots are.
type Core struct {
	fleet      *fleet.Machine
	relay      *relay.Machine
	publisher  publisher
	snapshot   *message.Snapshot
	notApplied func(err error) bool
	leaving    bool
	started    time.Time
	acquainted bool // knows the fleet, or is the first of it
}

// New returns the core of a node that holds nothing yet.
func New(settings Settings, rnd *rand.Rand) *Core {
	if settings.PublishWait <= 0 {
		settings.PublishWait = DefaultPublishWait
	}
	c := &Core{
		fleet:      fleet.New(settings.Self, settings.Fleet, rnd),
		relay:      relay.New(settings.Self, settings.LogRegion, nil, settings.Relay, rnd),
		publisher:  newPublisher(settings.PublishWait),
		notApplied: settings.NotApplied,
	}
	if c.notApplied == nil {
		c.notApplied = func(error) bool { return false }
	}
	c.refresh()
	return c
}

// Tick moves the core on to now. It wants to be called every TickPeriod.
func (c *Core) Tick(now time.Time) []message.Action {
	if c.started.IsZero() {
		c.started = now
	}
	out := c.fleet.Tick(now)
	out = append(out, c.relay.Tick(now, c.fleet.View())...)
	c.settle(now)
	return out
}

// Receive takes a message of another node.
func (c *Core) Receive(now time.Time, env message.Envelope) []message.Action {
	out := c.fleet.Receive(now, env)
	out = append(out, c.relay.Receive(now, c.fleet.View(), env)...)
	c.settle(now)
	return out
}

// LogPage takes the answer to a ReadLog.
func (c *Core) LogPage(now time.Time, page message.LogPage) []message.Action {
	if page.Stream() != message.StreamConfig {
		return c.fleet.ReceiveLogPage(now, page)
	}
	out := c.relay.ReceiveLogPage(now, c.fleet.View(), page)
	c.settle(now)
	return out
}

// LogAppended takes the answer to an AppendLog.
func (c *Core) LogAppended(now time.Time, a message.AppendResult) []message.Action {
	if a.Stream() != message.StreamConfig {
		return c.fleet.ReceiveAppendResult(now, a)
	}
	if relay.OwnsAppend(a) {
		return c.relay.ReceiveAppendResult(now, a, c.notApplied)
	}
	c.publisher.appended(a, c.notApplied)
	c.settle(now)
	return nil
}

// SetServer takes what the backend server beside the node announced.
func (c *Core) SetServer(now time.Time, server member.Server) []message.Action {
	out := c.fleet.SetServer(now, server)
	c.refresh()
	return out
}

// Leave announces that the node goes. It takes no further role but still passes on what it gets.
func (c *Core) Leave(now time.Time) []message.Action {
	c.leaving = true
	c.relay.Retire()
	return c.fleet.Leave(now)
}

// settle brings what others see up to date after an event.
func (c *Core) settle(now time.Time) {
	c.acquainted = c.acquainted || c.fleet.Joined() || now.Sub(c.started) >= aloneWait
	c.refresh()
	c.publisher.settle(now, c.relay.Digest().Head(), c.relay.Outcome)
}

func (c *Core) refresh() {
	c.fleet.SetDigest(c.relay.Digest())
	config, view := c.relay.Config(), c.fleet.View()
	if c.snapshot != nil && c.snapshot.Config() == config && c.snapshot.View() == view {
		return
	}
	c.snapshot = message.NewSnapshot(config, view)
}

// Snapshot returns the configuration in force with the view of the fleet. It stays the same until one
// of them changes.
func (c *Core) Snapshot() *message.Snapshot { return c.snapshot }

// Joined tells whether the node holds a configuration that it may serve from and knows the fleet that
// it would send calls to.
func (c *Core) Joined() bool { return c.relay.Joined() && c.acquainted }

// Counts returns the events of the distribution counted so far.
func (c *Core) Counts() relay.Counts { return c.relay.Counts() }

// FleetCounts returns the events of the membership counted so far.
func (c *Core) FleetCounts() fleet.Counts { return c.fleet.Counts() }

// Outcome returns the decision on a publish, if the node has folded it.
func (c *Core) Outcome(id record.PublishID) (record.Outcome, bool) { return c.relay.Outcome(id) }

// Status returns what an operator is told.
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

// Self returns the node as it announces itself. Its key names the sender of all messages; it changes if
// the address turns out to have been used with a newer incarnation.
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
