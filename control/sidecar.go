package control

import (
	"math/rand/v2"
	"time"

	"github.com/bambooknot/bambooknot/feed"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/routing"
)

// SidecarSettings of a Sidecar.
type SidecarSettings struct {
	Self    member.Member
	Fleet   fleet.Settings
	Feed    feed.Settings
	Trimmed func(err error) bool // whether the error of a read says that entries are no longer kept
}

// Sidecar is the control state of a node that takes the operator's document from the platform: membership and
// the document's distribution. It is not safe for concurrent use; Snapshots are.
type Sidecar struct {
	fleet    *fleet.Machine
	feed     *feed.Machine
	trimmed  func(error) bool
	snapshot *routing.Snapshot
	asked    time.Time // when the read of a stream that is under way was ordered
}

// NewSidecar returns the core of a node that holds nothing yet.
func NewSidecar(settings SidecarSettings, rnd *rand.Rand) *Sidecar {
	return &Sidecar{
		fleet:   fleet.New(settings.Self, settings.Fleet, rnd),
		feed:    feed.New(settings.Feed, rnd),
		trimmed: settings.Trimmed,
	}
}

// Tick moves the core on to now. It wants to be called every TickPeriod.
func (c *Sidecar) Tick(now time.Time) []message.Action {
	out := c.fleet.Tick(now)
	return c.settle(now, append(out, c.feed.Tick(now, c.fleet.View())...))
}

// Receive takes a message of another node.
func (c *Sidecar) Receive(now time.Time, env message.Envelope) []message.Action {
	out := c.fleet.Receive(now, env)
	return c.settle(now, append(out, c.feed.Receive(now, c.fleet.View(), env)...))
}

// LogPage takes the answer to a ReadLog.
func (c *Sidecar) LogPage(now time.Time, page message.LogPage) []message.Action {
	if page.Err() == nil {
		c.feed.ObserveStore(now.Sub(c.asked), len(page.Entries()))
	}
	return c.settle(now, c.fleet.ReceiveLogPage(now, page))
}

// LogAppended takes the answer to an AppendLog.
func (c *Sidecar) LogAppended(now time.Time, a message.AppendResult) []message.Action {
	return c.settle(now, c.fleet.ReceiveAppendResult(now, a))
}

// DocumentPage takes the answer to a ReadDocument.
func (c *Sidecar) DocumentPage(now time.Time, page message.DocumentPage) []message.Action {
	return c.settle(now, c.feed.ReceivePage(now, page, page.Err() != nil && c.trimmed(page.Err())))
}

// SetServer takes what the node believes of the backend server beside it.
func (c *Sidecar) SetServer(now time.Time, server member.Server) []message.Action {
	return c.settle(now, c.fleet.SetServer(now, server))
}

// Leave announces that the node goes.
func (c *Sidecar) Leave(now time.Time) []message.Action { return c.fleet.Leave(now) }

func (c *Sidecar) settle(now time.Time, out []message.Action) []message.Action {
	for _, a := range out {
		if _, reads := a.(message.ReadLog); reads {
			c.asked = now
		}
	}
	c.fleet.SetDigest(message.NewDigest(c.feed.Version(), record.Offset(0), 0))
	table, view := c.feed.Table(), c.fleet.View()
	if table != nil && (c.snapshot == nil || c.snapshot.Table() != table || c.snapshot.View() != view) {
		c.snapshot = routing.NewSnapshot(table, view)
	}
	return out
}

// Snapshot returns the routes in force with the view of the fleet, or nil while there are no routes.
func (c *Sidecar) Snapshot() *routing.Snapshot { return c.snapshot }

// Joined tells whether the node knows the fleet.
func (c *Sidecar) Joined() bool { return c.fleet.Joined() }

// Self returns the node as it announces itself.
func (c *Sidecar) Self() member.Member { return c.fleet.Self() }

// Feed returns the distribution of the document, to look at.
func (c *Sidecar) Feed() *feed.Machine { return c.feed }

// Members returns all members that claims are held of.
func (c *Sidecar) Members() []member.Member { return c.fleet.Members() }
