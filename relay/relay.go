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
	self       member.Member
	logRegion  member.Region
	settings   Settings
	rnd        *rand.Rand
	startedAt  time.Time
	topology   *topology
	hashes     hashCache
	replica    *replica
	reader     logReader
	logHealth  logHealth
	tree       tree
	puller     puller
	transfers  transferLimiter
	join       joiner
	writer     checkpointWriter
	peersAhead []peerHead
	counts     Counts
	rules      Rules
	retired    bool
	actions    []message.Action
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
		replica:   newReplica(state, self.NewestSchema(), settings),
		transfers: newTransferLimiter(settings),
		tree:      newTree(),
		join:      newJoiner(),
		hashes:    make(hashCache),
	}
	m.SetRules(DefaultRules())
	return m
}

// Tick moves the machine on to now. It wants to be called every 100 ms.
func (m *Machine) Tick(now time.Time, view *member.View) []message.Action {
	m.begin(now, view)
	m.clearClosedGap()
	m.updateReaderRole(now)
	m.requestRead(now)
	m.sendHeartbeat(now)
	m.retryPushes(now)
	m.sendPendingReport(now)
	m.pull(now)
	m.writeCheckpoint(now)
	m.updateJoin(now)
	return m.takeActions()
}

// Receive takes a peer message. Messages of other parts count only for the digest they may carry.
func (m *Machine) Receive(now time.Time, view *member.View, env message.Envelope) []message.Action {
	switch body := env.Body().(type) {
	case message.Push, message.Report, message.Pull, message.PullReply:
		m.begin(now, view)
		m.receive(now, env.Sender(), body)
		m.updateJoin(now)
	case digester:
		m.advanceTo(now)
		m.observeDigest(now, env.Sender().Peer(), body.Digest())
	}
	return m.takeActions()
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
		m.receivePullReply(now, from, body)
	}
}

// digester is a message that carries the sender's digest.
type digester interface{ Digest() message.Digest }

// begin notes the time and the view with which the machine works until it returns.
func (m *Machine) begin(now time.Time, view *member.View) {
	m.advanceTo(now)
	if key := view.Self(); key != m.self.Key() {
		m.self = member.New(key, m.self.Place(), m.self.NewestSchema())
	}
	level := m.replica.state.Level()
	if m.topology == nil || m.topology.view != view || m.topology.level != level {
		m.topology = newTopology(m.self, view, level, m.hashes)
	}
}

func (m *Machine) advanceTo(now time.Time) {
	if m.startedAt.IsZero() {
		m.initialize(now)
	}
	m.logHealth.detectPause(now)
}

func (m *Machine) initialize(now time.Time) {
	m.startedAt = now
	m.logHealth.lastHeartbeatAt = now
	m.reader.nextReadAt = now.Add(m.jitter(m.settings.StartJitter))
	m.reader.fallbackTimeout = m.settings.FallbackTimeout + m.jitter(m.settings.FallbackJitter)
	m.puller.nextPullAt = now.Add(m.jitter(m.settings.PullInterval))
	m.writer.lastSeenAt = now
}

func (m *Machine) takeActions() []message.Action {
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) send(to netip.AddrPort, body message.PeerMessage) {
	m.actions = append(m.actions, message.NewSend(to, body))
}

// jitter returns a random duration below limit.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rnd.Int64N(int64(limit)))
}

func (m *Machine) needsNewerSchema() bool { return m.replica.missingLevel != 0 }

// Digest returns what the node has folded.
func (m *Machine) Digest() message.Digest { return m.replica.digest() }

// Config returns the configuration in force.
func (m *Machine) Config() *catalog.Snapshot { return m.replica.state.Snapshot() }

// Outcome returns the decision on a publish, if the node has folded it.
func (m *Machine) Outcome(id record.PublishID) (record.Outcome, bool) {
	return m.replica.state.Outcome(id)
}

// Level returns the newest schema that the fleet accepts.
func (m *Machine) Level() record.Schema { return m.replica.state.Level() }

// MissingLevel returns the schema that this binary lacks to go on folding, or zero.
func (m *Machine) MissingLevel() record.Schema { return m.replica.missingLevel }

// Joined tells whether the node holds a configuration that it may serve from. It stays true.
func (m *Machine) Joined() bool { return m.join.joined }

// Unconfirmed tells whether the node serves without having heard how long the log is.
func (m *Machine) Unconfirmed() bool { return m.join.joined && m.join.unconfirmed }

// Counts returns the events counted so far.
func (m *Machine) Counts() Counts {
	c := m.counts
	c.Conflicts += m.replica.conflicts
	return c
}

// Census returns the versions held per region, as far as this node knows.
func (m *Machine) Census() []message.Census { return m.tree.censuses() }

// LogSeenAt returns when the log was last known to be readable, by any node, and zero if never.
func (m *Machine) LogSeenAt() time.Time { return m.logHealth.reachableAt }

// Faults of the log that a status shows.
var (
	errLogUnreachable = errors.New("no node says that it can read the log")
	errLogGap         = errors.New("the log has trimmed entries that this node lacks")
)

// LogErr returns why the log cannot be read, or nil.
func (m *Machine) LogErr(now time.Time) error {
	if m.reader.lastErr != nil && m.reader.active {
		return m.reader.lastErr
	}
	if m.reader.behindTrim || m.Gap().Exists() {
		return errLogGap
	}
	if m.logUnreachable(now) {
		return errLogUnreachable
	}
	return nil
}

// Retire ends the node's service as log reader; it still passes on what it gets.
func (m *Machine) Retire() { m.retired = true }

// Roles returns the roles that the node takes.
func (m *Machine) Roles() []string {
	var roles []string
	if m.reader.active {
		roles = append(roles, "log reader")
	}
	if m.topology != nil && !m.reader.active && m.inLogRegion() && m.readerRank() == 1 {
		roles = append(roles, "standby log reader")
	}
	if len(m.tree.children) > 0 {
		roles = append(roles, "relay")
	}
	return roles
}

func (m *Machine) inLogRegion() bool { return m.self.Place().Region() == m.logRegion }
