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

// joiner decides when a node that held nothing at its start may serve.
type joiner struct {
	joined      bool
	unconfirmed bool

	logEnd        record.Offset // end of the log as of readAt
	logEndReadAt  time.Time     // zero if unknown
	servingPeers  map[netip.AddrPort]servingPeer
	referredPeers []netip.AddrPort // nodes said to serve that have not been asked lately
}

// maxReferrals is the number of serving nodes that one answer names, and maxReferredPeers that of those remembered.
const (
	maxReferrals     = 4
	maxReferredPeers = 16
)

// servingPeer is what a serving peer holds.
type servingPeer struct {
	digest     message.Digest
	receivedAt time.Time
}

func newJoiner() joiner { return joiner{servingPeers: make(map[netip.AddrPort]servingPeer)} }

// setLogEnd takes the end of the log as read at a time, from an own read or the answer to an own pull.
// A statement that arrived by itself does not count, for it may have waited anywhere.
func (j *joiner) setLogEnd(readAt time.Time, next record.Offset) {
	if readAt.After(j.logEndReadAt) {
		j.logEndReadAt, j.logEnd = readAt, max(j.logEnd, next)
	}
}

func (j *joiner) addServingPeer(peer netip.AddrPort, o servingPeer) {
	if j.joined {
		return
	}
	j.servingPeers[peer] = o
}

// addReferrals takes the names of nodes that serve. Without the log, a node that joins needs to hear several,
// and finds few by chance when most of the fleet has restarted.
func (j *joiner) addReferrals(peers []netip.AddrPort) {
	if j.joined {
		return
	}
	for _, peer := range peers {
		if _, heard := j.servingPeers[peer]; !heard && !slices.Contains(j.referredPeers, peer) && len(j.referredPeers) < maxReferredPeers {
			j.referredPeers = append(j.referredPeers, peer)
		}
	}
}

// nextReferral takes a node to ask from those referred to, or returns zero.
func (j *joiner) nextReferral() netip.AddrPort {
	if j.joined || len(j.referredPeers) == 0 {
		return netip.AddrPort{}
	}
	peer := j.referredPeers[0]
	j.referredPeers = j.referredPeers[1:]
	return peer
}

// referrals returns some nodes that serve, as far as a node that joins knows, in random order.
func (j *joiner) referrals(rnd *rand.Rand) []netip.AddrPort {
	if j.joined {
		return nil
	}
	peers := slices.SortedFunc(maps.Keys(j.servingPeers), netip.AddrPort.Compare)
	rnd.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(len(peers), maxReferrals)]
}

// updateJoin applies the rule by which a node starts to serve. With the log up it has folded up to the
// end that the log had a short time ago. With the log down it holds as much as any peer offers, where
// the offers come from a log reader or from enough peers in enough failure domains.
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

func (m *Machine) enoughServingPeers(now time.Time) bool {
	domains := make(map[member.FailureDomain]bool)
	peers, reader := 0, false
	for peer, o := range m.join.servingPeers {
		known, ok := m.topology.view.Member(peer)
		if !ok || now.Sub(o.receivedAt) > m.settings.MaxLogStatusAge {
			continue
		}
		if o.digest.Head() > m.replica.state.Head() {
			return false
		}
		peers++
		domains[known.Place().FailureDomain()] = true
		reader = reader || m.topology.rankOf(m.logRegion, peer) == 0
	}
	if reader {
		return true
	}
	wantPeers, wantDomains := m.requiredServingPeers()
	return peers >= wantPeers && len(domains) >= wantDomains
}

// requiredServingPeers returns how many peers in how many failure domains must have offered. In a fleet too
// small for the settings, all other members.
func (m *Machine) requiredServingPeers() (peers, domains int) {
	seen := make(map[member.FailureDomain]bool)
	others := 0
	for _, o := range m.topology.view.Members() {
		if o.Key().Peer() == m.self.Key().Peer() {
			continue
		}
		others++
		seen[o.Place().FailureDomain()] = true
	}
	return max(1, min(m.settings.MinServingPeers, others)), max(1, min(m.settings.MinServingDomains, len(seen)))
}
