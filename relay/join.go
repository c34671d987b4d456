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
	done        bool
	unconfirmed bool

	next   record.Offset // end of the log as of readAt
	readAt time.Time     // zero if unknown
	offers map[netip.AddrPort]offer
	toAsk  []netip.AddrPort // nodes said to serve that have not been asked lately
}

// referrals is the number of serving nodes that one answer names, and askLimit that of those remembered.
const (
	referrals = 4
	askLimit  = 16
)

// offer is what a serving peer holds.
type offer struct {
	digest message.Digest
	at     time.Time
}

func newJoiner() joiner { return joiner{offers: make(map[netip.AddrPort]offer)} }

// confirm takes the end of the log as read at a time, from an own read or the answer to an own pull.
// A statement that arrived by itself does not count, for it may have waited anywhere.
func (j *joiner) confirm(readAt time.Time, next record.Offset) {
	if readAt.After(j.readAt) {
		j.readAt, j.next = readAt, max(j.next, next)
	}
}

func (j *joiner) offer(peer netip.AddrPort, o offer) {
	if j.done {
		return
	}
	j.offers[peer] = o
}

// refer takes the names of nodes that serve. Without the log, a node that joins needs to hear several,
// and finds few by chance when most of the fleet has restarted.
func (j *joiner) refer(peers []netip.AddrPort) {
	if j.done {
		return
	}
	for _, peer := range peers {
		if _, heard := j.offers[peer]; !heard && !slices.Contains(j.toAsk, peer) && len(j.toAsk) < askLimit {
			j.toAsk = append(j.toAsk, peer)
		}
	}
}

// nextToAsk takes a node to ask from those referred to, or returns zero.
func (j *joiner) nextToAsk() netip.AddrPort {
	if j.done || len(j.toAsk) == 0 {
		return netip.AddrPort{}
	}
	peer := j.toAsk[0]
	j.toAsk = j.toAsk[1:]
	return peer
}

// serving returns some nodes that serve, as far as a node that joins knows, in random order.
func (j *joiner) serving(rnd *rand.Rand) []netip.AddrPort {
	if j.done {
		return nil
	}
	peers := slices.SortedFunc(maps.Keys(j.offers), netip.AddrPort.Compare)
	rnd.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(len(peers), referrals)]
}

// decideJoin applies the rule by which a node starts to serve. With the log up it has folded up to the
// end that the log had a short time ago. With the log down it holds as much as any peer offers, where
// the offers come from a log reader or from enough peers in enough failure domains.
func (m *Machine) decideJoin(now time.Time) {
	j := &m.join
	if j.done && !j.unconfirmed {
		return
	}
	if m.reachedEnd(now) {
		j.done, j.unconfirmed = true, false
		j.offers = nil
		return
	}
	if j.done || now.Sub(m.started) < m.settings.MinUnconfirmedDelay {
		return
	}
	if m.rules.ServesUnconfirmed(m.offersSuffice(now), m.logDown(now)) {
		j.done, j.unconfirmed = true, true
		j.offers = nil
	}
}

func (m *Machine) reachedEnd(now time.Time) bool {
	j := &m.join
	head, next := uint64(m.holding.state.Head()), uint64(j.next)
	return m.rules.ReachedLogEnd(!j.readAt.IsZero(), head, next, now.Sub(j.readAt), m.settings.MaxLogStatusAge)
}

func (m *Machine) offersSuffice(now time.Time) bool {
	domains := make(map[member.FailureDomain]bool)
	peers, reader := 0, false
	for peer, o := range m.join.offers {
		known, ok := m.plan.view.Member(peer)
		if !ok || now.Sub(o.at) > m.settings.MaxLogStatusAge {
			continue
		}
		if o.digest.Head() > m.holding.state.Head() {
			return false
		}
		peers++
		domains[known.Place().FailureDomain()] = true
		reader = reader || m.plan.rankOf(m.logRegion, peer) == 0
	}
	if reader {
		return true
	}
	wantPeers, wantDomains := m.offersWanted()
	return peers >= wantPeers && len(domains) >= wantDomains
}

// offersWanted returns how many peers in how many failure domains must have offered. In a fleet too
// small for the settings, all other members.
func (m *Machine) offersWanted() (peers, domains int) {
	seen := make(map[member.FailureDomain]bool)
	others := 0
	for _, o := range m.plan.view.Members() {
		if o.Key().Peer() == m.self.Key().Peer() {
			continue
		}
		others++
		seen[o.Place().FailureDomain()] = true
	}
	return max(1, min(m.settings.MinServingPeers, others)), max(1, min(m.settings.MinServingDomains, len(seen)))
}
