// Package relay distributes the configuration to the nodes of the fleet: it selects the nodes that read the
// platform's log, forwards entries down a fan-out tree, repairs missed entries by anti-entropy pulls, and decides
// when a restarted node may serve. It needs no consensus: nodes with different views of the fleet send redundant
// messages, but still arrive at the same configuration.
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

// Machine is the state machine of the distribution on one node. It does no I/O: it returns the actions that the
// caller carries out. It is not safe for concurrent use.
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

// Counts are cumulative event counters for operators.
type Counts struct {
	Conflicts            int // digests, entries and states that contradict the node's state
	StatesInstalled      int // states installed from a peer or from a checkpoint in the log
	Pushes               int // pushes originated as log reader
	UnreachableSpans     int // spans in which no candidate answered a push
	TransfersThrottled   int // states not sent because of the rate limit
	InvalidStates        int // states that could not be restored or encoded
	Checkpoints          int // complete checkpoints appended to the log
	CheckpointMismatches int // checkpoint chunks in the log that contradict the node's state
}

// New returns the machine of a node that starts with the given state, or with an empty one if state is nil.
// logRegion is the region of the log. The zero Settings selects Defaults.
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

// Tick runs the timers that are due at now. The caller invokes it every 100 ms.
func (m *Machine) Tick(now time.Time, view *member.View) []message.Action {
	m.begin(now, view)
	m.endNeedlessLoading()
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

// Receive handles a message from a peer. Of messages that belong to other packages it only uses the digest, if
// they carry one.
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

// digester is a message that carries the sender's digest, such as a membership probe.
type digester interface{ Digest() message.Digest }

// begin prepares an event: it takes over the time and the view, and rebuilds the topology if the view or the
// schema level has changed.
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
	m.writer.lastCheckpointAt = now
}

func (m *Machine) takeActions() []message.Action {
	actions := m.actions
	m.actions = nil
	return actions
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

// needsNewerSchema reports whether the next entry needs a schema that this binary does not understand.
func (m *Machine) needsNewerSchema() bool { return m.replica.missingLevel != 0 }

// Digest returns the digest of the node's state.
func (m *Machine) Digest() message.Digest { return m.replica.digest() }

// Config returns the configuration in force.
func (m *Machine) Config() *catalog.Snapshot { return m.replica.state.Snapshot() }

// Outcome returns the decision on a publish. It returns false if the node has not applied the publish or no longer
// remembers its outcome.
func (m *Machine) Outcome(id record.PublishID) (record.Outcome, bool) {
	return m.replica.state.Outcome(id)
}

// Level returns the newest schema that the fleet accepts.
func (m *Machine) Level() record.Schema { return m.replica.state.Level() }

// MissingLevel returns the schema that this binary would have to understand to apply the next entry, or zero.
func (m *Machine) MissingLevel() record.Schema { return m.replica.missingLevel }

// Joined reports whether the node has a configuration that it may serve from. Once true, it stays true.
func (m *Machine) Joined() bool { return m.join.joined }

// Unconfirmed reports whether the node serves although it has not confirmed that its state reaches the end of
// the log.
func (m *Machine) Unconfirmed() bool { return m.join.joined && m.join.unconfirmed }

// Counts returns the events counted so far.
func (m *Machine) Counts() Counts {
	c := m.counts
	c.Conflicts += m.replica.conflicts
	return c
}

// Census returns, per region, how many nodes hold which version of the configuration, as far as this node knows.
func (m *Machine) Census() []message.Census { return m.tree.censuses() }

// LogSeenAt returns when any node is last known to have read the log, or the zero time.
func (m *Machine) LogSeenAt() time.Time { return m.logHealth.reachableAt }

// Errors that LogErr returns besides the error of the node's own last read.
var (
	errLogUnreachable = errors.New("no node says that it can read the log")
	errLogTrimmed     = errors.New("the log has trimmed entries that this node lacks")
)

// LogErr returns why the log cannot be read or that it has trimmed entries which the node lacks, or nil.
func (m *Machine) LogErr(now time.Time) error {
	if m.reader.lastErr != nil && m.reader.active {
		return m.reader.lastErr
	}
	if m.reader.lacksTrimmed || m.Gap().Exists() {
		return errLogTrimmed
	}
	if m.logUnreachable(now) {
		return errLogUnreachable
	}
	return nil
}

// Retire stops the node from reading the log. It still forwards pushes.
func (m *Machine) Retire() { m.retired = true }

// Roles returns the node's current roles in the distribution, as shown to operators: log reader, standby log reader (only
// in the region of the log) and relay, which is a node that forwards pushes.
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
