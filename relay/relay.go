// Package relay distributes the configuration: it decides who reads the platform's log, passes entries
// down a tree of nodes, repairs what the tree missed, and decides when a restarted node may serve.
// Nothing in it needs agreement: nodes that judge differently cost bytes, not correctness.
package relay

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Machine is the distribution state of one node. It is not safe for concurrent use.
type Machine struct {
	self      member.Member
	logRegion member.Region
	settings  Settings
	rnd       *rand.Rand
	started   time.Time
	plan      *plan
	spots     spots
	holding   *holding
	log       logReader
	known     knowledge
	tree      tree
	puller    puller
	server    stateServer
	join      joiner
	writer    writer
	further   []further
	counts    Counts
	rules     Rules
	retired   bool
	out       []message.Action
}

// Counts are the events that operators should see. They only rise.
type Counts struct {
	Conflicts            int // digests with an equal head and an unequal chain, entries and whole states that do not continue what is held
	StatesInstalled      int // whole states taken over
	Pushes               int // pushes sent as log reader
	UnreachableSpans     int // spans of which no member answered
	TransfersThrottled   int // whole states not sent because the rate was spent
	InvalidStates        int // whole states that could not be restored
	Checkpoints          int // checkpoints written to the log
	CheckpointMismatches int // checkpoints in the log that contradict what this node has folded
}

// New returns the machine of a node that holds state, or nothing if state is nil. The log stands in
// logRegion. Zero settings stand for Defaults.
func New(self member.Member, logRegion member.Region, state *catalog.State, settings Settings, rnd *rand.Rand) *Machine {
	settings = settings.orDefault()
	m := &Machine{
		self: self, logRegion: logRegion, settings: settings, rnd: rnd,
		holding: newHolding(state, self.NewestSchema(), settings),
		server:  newStateServer(settings),
		tree:    newTree(),
		join:    newJoiner(),
		spots:   make(spots),
	}
	m.SetRules(DefaultRules())
	return m
}

// Tick moves the machine on to now. It wants to be called every 100 ms.
func (m *Machine) Tick(now time.Time, view *member.View) []message.Action {
	m.enter(now, view)
	m.dropGap()
	m.decideReading(now)
	m.readLog(now)
	m.beat(now)
	m.retryPushes(now)
	m.reportLater(now)
	m.pull(now)
	m.checkpoint(now)
	m.decideJoin(now)
	return m.leave()
}

// Receive takes a peer message. Messages of other parts count only for the digest they may carry.
func (m *Machine) Receive(now time.Time, view *member.View, env message.Envelope) []message.Action {
	switch body := env.Body().(type) {
	case message.Push, message.Report, message.Pull, message.PullReply:
		m.enter(now, view)
		m.receive(now, env.Sender(), body)
		m.decideJoin(now)
	case digester:
		m.clock(now)
		m.observe(now, env.Sender().Peer(), body.Digest())
	}
	return m.leave()
}

func (m *Machine) receive(now time.Time, from member.Key, body message.PeerMessage) {
	switch body := body.(type) {
	case message.Push:
		m.receivePush(now, from, body)
	case message.Report:
		m.receiveReport(now, from, body)
	case message.Pull:
		m.receivePull(now, from, body)
	case message.PullReply:
		m.receiveAnswer(now, from, body)
	}
}

// digester is a message that carries the sender's digest.
type digester interface{ Digest() message.Digest }

// enter notes the time and the view with which the machine works until it returns.
func (m *Machine) enter(now time.Time, view *member.View) {
	m.clock(now)
	if key := view.Self(); key != m.self.Key() {
		m.self = member.New(key, m.self.Place(), m.self.NewestSchema())
	}
	level := m.holding.state.Level()
	if m.plan == nil || m.plan.view != view || m.plan.level != level {
		m.plan = newPlan(m.self, view, level, m.spots)
	}
}

func (m *Machine) clock(now time.Time) {
	if m.started.IsZero() {
		m.start(now)
	}
	m.known.notice(now)
}

func (m *Machine) start(now time.Time) {
	m.started = now
	m.known.heardAt = now
	m.log.notBefore = now.Add(m.jitter(m.settings.StartJitter))
	m.log.lone = m.settings.FallbackTimeout + m.jitter(m.settings.FallbackJitter)
	m.puller.notBefore = now.Add(m.jitter(m.settings.PullInterval))
	m.writer.at = now
}

func (m *Machine) leave() []message.Action {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) send(to netip.AddrPort, body message.PeerMessage) {
	m.out = append(m.out, message.NewSend(to, body))
}

// jitter returns a random duration below limit.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rnd.Int64N(int64(limit)))
}

func (m *Machine) blocked() bool { return m.holding.needLevel != 0 }

// Digest returns what the node has folded.
func (m *Machine) Digest() message.Digest { return m.holding.digest() }

// Config returns the configuration in force.
func (m *Machine) Config() *catalog.Snapshot { return m.holding.state.Snapshot() }

// Outcome returns the decision on a publish, if the node has folded it.
func (m *Machine) Outcome(id record.PublishID) (record.Outcome, bool) {
	return m.holding.state.Outcome(id)
}

// Level returns the newest schema that the fleet accepts.
func (m *Machine) Level() record.Schema { return m.holding.state.Level() }

// MissingLevel returns the schema that this binary lacks to go on folding, or zero.
func (m *Machine) MissingLevel() record.Schema { return m.holding.needLevel }

// Joined tells whether the node holds a configuration that it may serve from. It stays true.
func (m *Machine) Joined() bool { return m.join.done }

// Unconfirmed tells whether the node serves without having heard how long the log is.
func (m *Machine) Unconfirmed() bool { return m.join.done && m.join.unconfirmed }

// Counts returns the events counted so far.
func (m *Machine) Counts() Counts {
	c := m.counts
	c.Conflicts += m.holding.forks
	return c
}

// Census returns the versions held per region, as far as this node knows.
func (m *Machine) Census() []message.Census { return m.tree.censuses() }

// LogSeenAt returns when the log was last known to be readable, by any node, and zero if never.
func (m *Machine) LogSeenAt() time.Time { return m.known.upAt }

// Faults of the log that a status shows.
var (
	errLogSilent = errors.New("no node says that it can read the log")
	errLogGap    = errors.New("the log has trimmed entries that this node lacks")
)

// LogErr returns why the log cannot be read, or nil.
func (m *Machine) LogErr(now time.Time) error {
	if m.log.fault != nil && m.log.active {
		return m.log.fault
	}
	if m.log.gap || m.Gap().Exists() {
		return errLogGap
	}
	if m.logDown(now) {
		return errLogSilent
	}
	return nil
}

// Retire ends the node's service as log reader; it still passes on what it gets.
func (m *Machine) Retire() { m.retired = true }

// Roles returns the roles that the node takes.
func (m *Machine) Roles() []string {
	var roles []string
	if m.log.active {
		roles = append(roles, "log reader")
	}
	if m.plan != nil && !m.log.active && m.home() && m.place() == 1 {
		roles = append(roles, "standby log reader")
	}
	if len(m.tree.children) > 0 {
		roles = append(roles, "relay")
	}
	return roles
}

func (m *Machine) home() bool { return m.self.Place().Region() == m.logRegion }
