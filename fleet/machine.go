// Package fleet keeps the membership of the fleet: which nodes are alive, their regions and failure domains, and
// the backend servers beside them. It is a deterministic state machine based on SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002): one probe a period,
// indirect probes, suspicion with refutation, and claims spread by gossip. docs/membership.md gives the reasons
// and the figures.
package fleet

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Counts are cumulative event counters since the start of the machine.
type Counts struct {
	Probes        int // direct probes of members of the region by this node
	Suspicions    int // members suspected by this node
	Deaths        int // members declared dead by this node
	Refutations   int // claims about this node that it refuted by a greater revision
	Syncs         int // view comparisons started by this node, attempts to join included
	Pauses        int // pauses of this node that it detected
	RefusedClaims int // claims refused: table full, name too long or number out of range
	Appends       int // appends to the rendezvous stream requested by this node
	StoreReturns  int // times that the store was found to have returned from a copy without its last entries
}

// Machine is the membership state of one node. It is not safe for concurrent use.
type Machine struct {
	settings         Settings
	rnd              *rand.Rand
	table            *table
	self             *entry
	digest           message.Digest
	quarantineDigest uint64
	rolloutDigest    uint64
	now              time.Time
	startedAt        time.Time
	lastReceiveAt    time.Time // when a message was last received
	hasLeft          bool
	gossipQueue      []*entry
	nextGossipAt     time.Time
	suspects         []*entry
	nextSweepAt      time.Time
	probe            probe
	indirectProbes   []indirectProbe
	lastPingSeq      uint32
	sync             syncState
	crossRegion      crossRegionState
	rendezvous       rendezvousState
	actions          []message.Action
	cachedView       *member.View
	viewKey          viewCacheKey
	roster           roster
	counts           Counts

	// Rules that tests replace, one at a time, by broken ones.
	overrides    func(claim, held member.Member) bool
	isPause      func(gap time.Duration) bool
	shouldRefute func(claim member.Member) bool
}

// New returns the machine of the node self, whose incarnation is its start time on its own clock. rnd is the only
// source of random numbers.
func New(self member.Member, settings Settings, rnd *rand.Rand) *Machine {
	m := &Machine{settings: settings.withDefaults(), rnd: rnd, table: newTable(), overrides: member.Member.Overrides}
	m.isPause = func(gap time.Duration) bool { return gap >= m.settings.PauseThreshold }
	m.shouldRefute = func(member.Member) bool { return true }
	m.self = m.table.put(time.Time{}, self.WithHealth(member.HealthAlive))
	m.sync.tokens = float64(m.settings.SyncDatagramRate)
	m.enqueue(m.self)
	return m
}

// Tick performs the periodic work that is due. It must be called at least every 100 ms: a gap of PauseThreshold or
// more is treated as a pause of the node.
func (m *Machine) Tick(now time.Time) []message.Action {
	m.advance(now)
	m.expire()
	m.gossipTick()
	if !m.hasLeft {
		m.join()
		m.probeTick()
		m.gatewayTick()
		m.rendezvousTick()
	}
	return m.takeActions()
}

// Receive processes a message of a peer. Of messages that other packages handle, only the time of arrival is
// recorded.
func (m *Machine) Receive(now time.Time, env message.Envelope) []message.Action {
	from := env.Sender()
	if from.Peer() == m.self.peer() {
		return nil
	}
	m.advance(now)
	m.lastReceiveAt = now
	switch body := env.Body().(type) {
	case message.Ping:
		m.mergeClaims(from, body.Claims())
		m.receivePing(from, body)
	case message.Ack:
		m.mergeClaims(from, body.Claims())
		m.receiveAck(from, body)
	case message.PingReq:
		m.receivePingReq(from, body)
	case message.PingReqAck:
		m.receivePingReqAck(body)
	case message.Claims:
		m.mergeClaims(from, body.Claims())
	case message.SyncReq:
		m.mergeClaims(from, body.Claims())
		m.receiveSync(from, body)
	}
	return m.takeActions()
}

// SetServer announces the backend server beside the node. A server whose name is too long to be announced is
// treated as absent, and a version that is too long as unknown.
func (m *Machine) SetServer(now time.Time, server member.Server) []message.Action {
	m.advance(now)
	if len(server.Service()) > message.MaxNameBytes {
		m.counts.RefusedClaims++
		server = member.Server{}
	}
	if len(server.Version()) > message.MaxNameBytes {
		m.counts.RefusedClaims++
		server = server.WithVersion("")
	}
	if m.hasLeft || server == m.self.claim.Server() {
		return m.takeActions()
	}
	m.updateOwnClaim(m.self.claim.WithServer(server))
	m.announce(m.self)
	return m.takeActions()
}

// Leave announces that the node leaves permanently. Later ticks continue to gossip this until the node stops.
func (m *Machine) Leave(now time.Time) []message.Action {
	m.advance(now)
	if m.hasLeft {
		return m.takeActions()
	}
	m.hasLeft = true
	m.updateOwnClaim(m.self.claim.WithHealth(member.HealthLeft))
	for range m.settings.GossipFanout {
		m.announce(m.self)
	}
	return m.takeActions()
}

// SetDigest sets the configuration digest that pings and acks carry.
func (m *Machine) SetDigest(d message.Digest) { m.digest = d }

// SetQuarantineDigest sets the hash over the record of requests that crash servers, which pings and acks carry.
func (m *Machine) SetQuarantineDigest(hash uint64) { m.quarantineDigest = hash }

// SetRolloutDigest sets the hash over the decisions about roll-outs, which pings and acks carry.
func (m *Machine) SetRolloutDigest(hash uint64) { m.rolloutDigest = hash }

// Self returns the claim of the node about itself. Its incarnation rises if its address turns out to have been
// used with a newer one.
func (m *Machine) Self() member.Member { return m.self.claim }

// Joined reports whether another node has answered a view comparison in full. Once true, it stays true. The only node
// of a fleet never joins.
func (m *Machine) Joined() bool { return m.sync.joined }

// Counts returns the event counters.
func (m *Machine) Counts() Counts { return m.counts }

// updateOwnClaim stores c as the node's own claim with the next revision.
func (m *Machine) updateOwnClaim(c member.Member) {
	m.table.put(m.now, c.WithRevision(m.self.claim.Revision()+1))
	m.enqueue(m.self)
}

func (m *Machine) region() member.Region { return m.self.region() }

// advance sets the machine's clock and detects pauses.
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
	if m.isPause(gap) {
		m.resume(gap)
	}
}

func (m *Machine) start(now time.Time) {
	m.now, m.startedAt = now, now
	m.probe.period = m.periodOf(now)
	m.sync.lastAgreementAt = now
	m.crossRegion.awakeSince = now
	m.rendezvous.nextReadAt = now.Add(m.jitter(m.settings.RendezvousStartDelay))
	m.crossRegion.nextProbeAt = now.Add(m.jitter(m.settings.GatewayProbePeriod))
}

// resume cancels the running probes after a pause and extends the timeouts of suspects by its length, as the node
// could not receive their refutations.
func (m *Machine) resume(gap time.Duration) {
	m.counts.Pauses++
	m.probe.target = member.Key{}
	m.probe.period = m.periodOf(m.now)
	m.indirectProbes = nil
	for _, e := range m.suspects {
		e.suspectUntil = e.suspectUntil.Add(gap)
	}
	m.crossRegion.awakeSince = m.now
}

// jitter returns a random duration below d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(d)))
}

func (m *Machine) send(to netip.AddrPort, body message.PeerMessage) {
	m.actions = append(m.actions, message.NewSend(to, body))
}

func (m *Machine) takeActions() []message.Action {
	actions := m.actions
	m.actions = nil
	return actions
}
