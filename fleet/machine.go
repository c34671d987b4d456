// Package fleet keeps the membership of the fleet: which nodes live, where, and which backend servers
// stand beside them. It is a deterministic state machine after SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002): one probe a
// period, indirect probes, suspicion with refutation, and claims spread by gossip. docs/membership.md
// gives the reasons and the figures.
package fleet

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Counts are totals since the start of the machine.
type Counts struct {
	Probes        int // probes started in the region
	Suspicions    int // members that this node suspected
	Deaths        int // members that this node declared dead
	Refutations   int // claims about this node that it refuted
	Syncs         int // comparisons of views that this node started
	Pauses        int // times that this node found that it had been paused
	RefusedClaims int // claims refused: the table is full, a name too long, a number out of range
	Appends       int // entries that this node ordered for the rendezvous stream
}

// Machine is the membership of one node. It is not safe for concurrent use.
type Machine struct {
	settings   Settings
	rnd        *rand.Rand
	table      *table
	self       *entry
	digest     message.Digest
	now        time.Time
	started    time.Time
	heard      time.Time // when a message was last received
	left       bool
	queue      []*entry
	nextRound  time.Time
	suspects   []*entry
	sweepAt    time.Time
	probe      probe
	relays     []relay
	seq        uint32
	sync       syncState
	cross      crossState
	rendezvous rendezvous
	out        []message.Action
	view       *member.View
	viewMark   viewMark
	roster     roster
	counts     Counts

	// Seams for tests that break one rule each.
	overrides func(claim, held member.Member) bool
	paused    func(gap time.Duration) bool
	refutes   func(claim member.Member) bool
}

// New returns the machine of the node self, whose incarnation is the time of its start on its clock.
// Random numbers come from rnd alone.
func New(self member.Member, settings Settings, rnd *rand.Rand) *Machine {
	m := &Machine{settings: settings.withDefaults(), rnd: rnd, table: newTable(), overrides: member.Member.Overrides}
	m.paused = func(gap time.Duration) bool { return gap >= m.settings.PauseThreshold }
	m.refutes = func(member.Member) bool { return true }
	m.self = m.table.put(time.Time{}, self.WithHealth(member.HealthAlive))
	m.sync.tokens = float64(m.settings.SyncDatagramRate)
	m.enqueue(m.self)
	return m
}

// Tick does what is due. It must be called at least every 100 ms: a longer gap is taken for a pause of
// the node.
func (m *Machine) Tick(now time.Time) []message.Action {
	m.advance(now)
	m.expire()
	m.gossip()
	if !m.left {
		m.join()
		m.probeTick()
		m.crossTick()
		m.rendezvousTick()
	}
	return m.flush()
}

// Receive takes a peer message in. Messages of other packages are ignored.
func (m *Machine) Receive(now time.Time, env message.Envelope) []message.Action {
	from := env.Sender()
	if from.Peer() == m.self.peer() {
		return nil
	}
	m.advance(now)
	m.heard = now
	switch body := env.Body().(type) {
	case message.Ping:
		m.take(from, body.Claims())
		m.receivePing(from, body)
	case message.Ack:
		m.take(from, body.Claims())
		m.receiveAck(from, body)
	case message.PingReq:
		m.receivePingReq(from, body)
	case message.PingReqAck:
		m.receivePingReqAck(body)
	case message.Claims:
		m.take(from, body.Claims())
	case message.SyncReq:
		m.take(from, body.Claims())
		m.receiveSync(from, body)
	}
	return m.flush()
}

// SetServer announces the backend server beside the node. A server whose name is too long to be
// announced counts as none.
func (m *Machine) SetServer(now time.Time, server member.Server) []message.Action {
	m.advance(now)
	if len(server.Service()) > message.MaxNameBytes {
		m.counts.RefusedClaims++
		server = member.Server{}
	}
	if m.left || server == m.self.claim.Server() {
		return m.flush()
	}
	m.restate(m.self.claim.WithServer(server))
	m.announce(m.self)
	return m.flush()
}

// Leave announces that the node leaves for good. Ticks go on spreading this until the node stops.
func (m *Machine) Leave(now time.Time) []message.Action {
	m.advance(now)
	if m.left {
		return m.flush()
	}
	m.left = true
	m.restate(m.self.claim.WithHealth(member.HealthLeft))
	for range m.settings.GossipFanout {
		m.announce(m.self)
	}
	return m.flush()
}

// SetDigest sets the configuration that probes and answers tell of.
func (m *Machine) SetDigest(d message.Digest) { m.digest = d }

// Self returns the node itself. Its key changes if the address turns out to have been used with a
// newer incarnation.
func (m *Machine) Self() member.Member { return m.self.claim }

// Joined tells whether another node has answered with its whole view.
func (m *Machine) Joined() bool { return m.sync.joined }

// Counts returns totals for metrics.
func (m *Machine) Counts() Counts { return m.counts }

// restate raises the revision of the node's own claim.
func (m *Machine) restate(c member.Member) {
	m.table.put(m.now, c.WithRevision(m.self.claim.Revision()+1))
	m.enqueue(m.self)
}

func (m *Machine) region() member.Region { return m.self.region() }

// advance moves the machine's clock and notices pauses.
func (m *Machine) advance(now time.Time) {
	gap := now.Sub(m.now)
	if m.now.IsZero() {
		m.start(now)
		return
	}
	if gap <= 0 {
		return
	}
	m.now = now
	m.sync.refill(gap, m.settings.SyncDatagramRate)
	if m.paused(gap) {
		m.wake(gap)
	}
}

func (m *Machine) start(now time.Time) {
	m.now, m.started = now, now
	m.probe.period = m.periodOf(now)
	m.sync.agreed = now
	m.cross.awake = now
	m.rendezvous.at = now.Add(m.jitter(m.settings.RendezvousStartDelay))
	m.cross.next = now.Add(m.jitter(m.settings.GatewayProbePeriod))
}

// wake forgets the running probe and gives suspects the time back that the node slept, as it could not
// hear them.
func (m *Machine) wake(gap time.Duration) {
	m.counts.Pauses++
	m.probe.key = member.Key{}
	m.probe.period = m.periodOf(m.now)
	m.relays = nil
	for _, e := range m.suspects {
		e.suspectUntil = e.suspectUntil.Add(gap)
	}
	m.cross.awake = m.now
}

// jitter returns a random duration below d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(d)))
}

func (m *Machine) send(to netip.AddrPort, body message.PeerMessage) {
	m.out = append(m.out, message.NewSend(to, body))
}

func (m *Machine) flush() []message.Action {
	out := m.out
	m.out = nil
	return out
}
