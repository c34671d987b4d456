package relay

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// wholeSpan is the span of a whole region.
var wholeSpan = message.NewSpan(0, ^uint64(0))

// position returns where a node stands on the ring of its region.
func position(peer netip.AddrPort) uint64 { return hashPeer("ring ", peer) }

// merit returns the number by which nodes are ranked: the greatest comes first.
func merit(peer netip.AddrPort) uint64 { return hashPeer("rank ", peer) }

func hashPeer(salt string, peer netip.AddrPort) uint64 {
	b := append(make([]byte, 0, 48), salt...)
	return xxhash.Sum64(peer.AppendTo(b))
}

// spot is a member with its place on the ring.
type spot struct {
	peer     netip.AddrPort
	position uint64
	merit    uint64
	alive    bool
}

// plan is what a view means for the distribution: who ranks first in which region, and the ring of the
// node's own region. Two nodes with the same view make the same plan.
type plan struct {
	view    *member.View
	level   record.Schema
	regions []member.Region
	ranked  map[member.Region][]spot
	ring    []spot // own region without the node itself, in order of position
}

func newPlan(self member.Member, view *member.View, level record.Schema, spots spots) *plan {
	p := &plan{view: view, level: level, ranked: make(map[member.Region][]spot)}
	p.rank(self, spots.of(self))
	for _, m := range view.Members() {
		if m.Key().Peer() == self.Key().Peer() {
			continue
		}
		s := spots.of(m)
		p.rank(m, s)
		if m.Place().Region() == self.Place().Region() {
			p.ring = append(p.ring, s)
		}
	}
	slices.SortFunc(p.ring, func(a, b spot) int { return cmp.Compare(a.position, b.position) })
	for _, ranked := range p.ranked {
		slices.SortFunc(ranked, func(a, b spot) int { return cmp.Compare(b.merit, a.merit) })
	}
	slices.Sort(p.regions)
	return p
}

// spots remembers the hashes of addresses.
type spots map[netip.AddrPort]spot

// spotLimit bounds the addresses remembered.
const spotLimit = 8192

func (h spots) of(m member.Member) spot {
	peer := m.Key().Peer()
	s, ok := h[peer]
	if !ok {
		if len(h) >= spotLimit {
			clear(h)
		}
		s = spot{peer: peer, position: position(peer), merit: merit(peer)}
		h[peer] = s
	}
	s.alive = m.Health() == member.HealthAlive
	return s
}

// rank enters a member that may read the log: alive, and able to fold records of the fleet's level.
func (p *plan) rank(m member.Member, s spot) {
	region := m.Place().Region()
	if !slices.Contains(p.regions, region) {
		p.regions = append(p.regions, region)
	}
	if !s.alive || m.NewestSchema() < p.level {
		return
	}
	p.ranked[region] = append(p.ranked[region], s)
}

// rankOf returns the rank of a node in a region, from 0, or -1.
func (p *plan) rankOf(region member.Region, peer netip.AddrPort) int {
	return slices.IndexFunc(p.ranked[region], func(s spot) bool { return s.peer == peer })
}

// first returns the best-ranked nodes of a region, at most n.
func (p *plan) first(region member.Region, n int) []netip.AddrPort {
	ranked := p.ranked[region]
	return peersOf(ranked[:min(n, len(ranked))])
}

// within returns the members of the ring in a span, without one peer.
func (p *plan) within(span message.Span, without netip.AddrPort) []spot {
	var spots []spot
	for _, s := range p.ring {
		if span.Contains(s.position) && s.peer != without {
			spots = append(spots, s)
		}
	}
	return spots
}

// share is a part of a span with the peers that may serve it, best first.
type share struct {
	span       message.Span
	candidates []netip.AddrPort
}

// split divides a span among at most fanout of the members in it. The shares cover the span without
// gap, so that members which only the receiver knows are reached too.
func split(span message.Span, spots []spot, fanout int) []share {
	count := min(fanout, len(spots))
	shares := make([]share, 0, count)
	for i := range count {
		chunk := spots[i*len(spots)/count : (i+1)*len(spots)/count]
		low, high := chunk[0].position, span.High()
		if i == 0 {
			low = span.Low()
		}
		if i < count-1 {
			high = spots[(i+1)*len(spots)/count].position - 1
		}
		shares = append(shares, share{span: message.NewSpan(low, high), candidates: candidates(chunk)})
	}
	return shares
}

// candidates orders the members of a chunk: alive ones first, then by merit.
func candidates(chunk []spot) []netip.AddrPort {
	order := slices.Clone(chunk)
	slices.SortFunc(order, func(a, b spot) int {
		if a.alive != b.alive {
			return compareBool(b.alive, a.alive)
		}
		return cmp.Compare(b.merit, a.merit)
	})
	return peersOf(order)
}

func peersOf(spots []spot) []netip.AddrPort {
	peers := make([]netip.AddrPort, len(spots))
	for i, s := range spots {
		peers[i] = s.peer
	}
	return peers
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}
