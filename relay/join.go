package relay

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// joiner decides when a node that has started may serve.
type joiner struct {
	joined      bool
	unconfirmed bool

	logEnd        record.Offset                  // end of the log as of logEndReadAt
	logEndReadAt  time.Time                      // zero if unknown
	servingPeers  map[netip.AddrPort]servingPeer // peers that serve, as of their last pull reply
	referredPeers []netip.AddrPort               // nodes that other nodes named as serving, still to be pulled from
}

// Limits of referrals to serving nodes.
const (
	maxReferrals     = 4  // nodes named in one pull reply
	maxReferredPeers = 16 // nodes remembered
)

// servingPeer is the digest that a serving peer has sent in a pull reply.
type servingPeer struct {
	digest     message.Digest
	receivedAt time.Time
}

func newJoiner() joiner { return joiner{servingPeers: make(map[netip.AddrPort]servingPeer)} }

// setLogEnd sets the end of the log as read at readAt, which comes from a read or pull of this node. The log status
// of an unsolicited message must not be used: the message may have been delayed for any time.
func (j *joiner) setLogEnd(readAt time.Time, next record.Offset) {
	if readAt.After(j.logEndReadAt) {
		j.logEndReadAt, j.logEnd = readAt, max(j.logEnd, next)
	}
}

func (j *joiner) addServingPeer(peer netip.AddrPort, p servingPeer) {
	if j.joined {
		return
	}
	j.servingPeers[peer] = p
}

// addReferrals remembers nodes that serve. While the log is unreachable, a joining node needs replies from several
// serving nodes, and random choice finds few of them when most of the fleet has restarted.
func (j *joiner) addReferrals(peers []netip.AddrPort) {
	if j.joined {
		return
	}
	for _, peer := range peers {
		if _, known := j.servingPeers[peer]; !known && !slices.Contains(j.referredPeers, peer) && len(j.referredPeers) < maxReferredPeers {
			j.referredPeers = append(j.referredPeers, peer)
		}
	}
}

// nextReferral removes and returns the next referred node, or returns zero.
func (j *joiner) nextReferral() netip.AddrPort {
	if j.joined || len(j.referredPeers) == 0 {
		return netip.AddrPort{}
	}
	peer := j.referredPeers[0]
	j.referredPeers = j.referredPeers[1:]
	return peer
}

// referrals returns some of the serving nodes known to a joining node, in random order.
func (j *joiner) referrals(rnd *rand.Rand) []netip.AddrPort {
	if j.joined {
		return nil
	}
	peers := slices.SortedFunc(maps.Keys(j.servingPeers), netip.AddrPort.Compare)
	rnd.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(len(peers), maxReferrals)]
}

// updateJoin decides whether the node may serve. While the log is reachable, the node must have applied all entries up
// to a recently read end of the log. While it is unreachable, no serving peer may be ahead of the node, and these peers
// must include the first-ranked log reader or be enough peers in enough failure domains.
func (m *Machine) updateJoin(now time.Time) {
	j := &m.join
	if j.joined && !j.unconfirmed {
		return
	}
	if m.reachedLogEnd(now) {
		j.joined, j.unconfirmed = true, false
		j.servingPeers = nil
		return
	}
	if j.joined || now.Sub(m.startedAt) < m.settings.MinUnconfirmedDelay {
		return
	}
	if m.rules.ServesUnconfirmed(m.enoughServingPeers(now), m.logUnreachable(now)) {
		j.joined, j.unconfirmed = true, true
		j.servingPeers = nil
	}
}

func (m *Machine) reachedLogEnd(now time.Time) bool {
	j := &m.join
	head, next := uint64(m.replica.state.Head()), uint64(j.logEnd)
	return m.rules.ReachedLogEnd(!j.logEndReadAt.IsZero(), head, next, now.Sub(j.logEndReadAt), m.settings.MaxLogStatusAge)
}

// enoughServingPeers reports whether enough recent replies of serving peers show that the node is not behind.
func (m *Machine) enoughServingPeers(now time.Time) bool {
	domains := make(map[member.FailureDomain]bool)
	peers, reader := 0, false
	for peer, p := range m.join.servingPeers {
		known, ok := m.topology.view.Member(peer)
		if !ok || now.Sub(p.receivedAt) > m.settings.MaxLogStatusAge {
			continue
		}
		if p.digest.Head() > m.replica.state.Head() {
			return false
		}
		peers++
		domains[known.Place().FailureDomain()] = true
		reader = reader || m.topology.rankOf(m.logRegion, peer) == 0
	}
	if reader {
		return true
	}
	minPeers, minDomains := m.requiredServingPeers()
	return peers >= minPeers && len(domains) >= minDomains
}

// requiredServingPeers returns from how many serving peers in how many failure domains replies are needed. In a fleet
// smaller than the settings demand, these are all other members and their failure domains.
func (m *Machine) requiredServingPeers() (peers, domains int) {
	seen := make(map[member.FailureDomain]bool)
	others := 0
	for _, other := range m.topology.view.Members() {
		if other.Key().Peer() == m.self.Key().Peer() {
			continue
		}
		others++
		seen[other.Place().FailureDomain()] = true
	}
	return max(1, min(m.settings.MinServingPeers, others)), max(1, min(m.settings.MinServingDomains, len(seen)))
}
