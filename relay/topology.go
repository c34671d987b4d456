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

// fullSpan is the span of a whole region.
var fullSpan = message.NewSpan(0, ^uint64(0))

// ringPosition returns where a node stands on the ring of its region.
func ringPosition(peer netip.AddrPort) uint64 { return hashAddress("ring ", peer) }

// rankHash returns the number by which nodes are ranked: the greatest comes first.
func rankHash(peer netip.AddrPort) uint64 { return hashAddress("rank ", peer) }

func hashAddress(salt string, peer netip.AddrPort) uint64 {
	b := append(make([]byte, 0, 48), salt...)
	return xxhash.Sum64(peer.AppendTo(b))
}

// ringNode is a member with its place on the ring.
type ringNode struct {
	peer         netip.AddrPort
	ringPosition uint64
	rankHash     uint64
	alive        bool
}

// topology is what a view means for the distribution: who ranks first in which region, and the ring of the
// node's own region. Two nodes with the same view make the same topology.
type topology struct {
	view    *member.View
	level   record.Schema
	regions []member.Region
	readers map[member.Region][]ringNode
	ring    []ringNode // own region without the node itself, in order of position
}

func newTopology(self member.Member, view *member.View, level record.Schema, spots hashCache) *topology {
	p := &topology{view: view, level: level, readers: make(map[member.Region][]ringNode)}
	p.addReader(self, spots.of(self))
	for _, m := range view.Members() {
		if m.Key().Peer() == self.Key().Peer() {
			continue
		}
		s := spots.of(m)
		p.addReader(m, s)
		if m.Place().Region() == self.Place().Region() {
			p.ring = append(p.ring, s)
		}
	}
	slices.SortFunc(p.ring, func(a, b ringNode) int { return cmp.Compare(a.ringPosition, b.ringPosition) })
	for _, ranked := range p.readers {
		slices.SortFunc(ranked, func(a, b ringNode) int { return cmp.Compare(b.rankHash, a.rankHash) })
	}
	slices.Sort(p.regions)
	return p
}

// hashCache remembers the hashes of addresses.
type hashCache map[netip.AddrPort]ringNode

// maxCachedHashes bounds the addresses remembered.
const maxCachedHashes = 8192

func (h hashCache) of(m member.Member) ringNode {
	peer := m.Key().Peer()
	s, ok := h[peer]
	if !ok {
		if len(h) >= maxCachedHashes {
			clear(h)
		}
		s = ringNode{peer: peer, ringPosition: ringPosition(peer), rankHash: rankHash(peer)}
		h[peer] = s
	}
	s.alive = m.Health() == member.HealthAlive
	return s
}

// addReader enters a member that may read the log: alive, and able to fold records of the fleet's level.
func (p *topology) addReader(m member.Member, s ringNode) {
	region := m.Place().Region()
	if !slices.Contains(p.regions, region) {
		p.regions = append(p.regions, region)
	}
	if !s.alive || m.NewestSchema() < p.level {
		return
	}
	p.readers[region] = append(p.readers[region], s)
}

// rankOf returns the rank of a node in a region, from 0, or -1.
func (p *topology) rankOf(region member.Region, peer netip.AddrPort) int {
	return slices.IndexFunc(p.readers[region], func(s ringNode) bool { return s.peer == peer })
}

// topReaders returns the best-ranked nodes of a region, at most n.
func (p *topology) topReaders(region member.Region, n int) []netip.AddrPort {
	ranked := p.readers[region]
	return addresses(ranked[:min(n, len(ranked))])
}

// ringNodesIn returns the members of the ring in a span, without one peer.
func (p *topology) ringNodesIn(span message.Span, without netip.AddrPort) []ringNode {
	var spots []ringNode
	for _, s := range p.ring {
		if span.Contains(s.ringPosition) && s.peer != without {
			spots = append(spots, s)
		}
	}
	return spots
}

// subspan is a part of a span with the peers that may serve it, best first.
type subspan struct {
	span       message.Span
	candidates []netip.AddrPort
}

// splitSpan divides a span among at most fanout of the members in it. The shares cover the span without
// gap, so that members which only the receiver knows are reached too.
func splitSpan(span message.Span, spots []ringNode, fanout int) []subspan {
	count := min(fanout, len(spots))
	shares := make([]subspan, 0, count)
	for i := range count {
		chunk := spots[i*len(spots)/count : (i+1)*len(spots)/count]
		low, high := chunk[0].ringPosition, span.High()
		if i == 0 {
			low = span.Low()
		}
		if i < count-1 {
			high = spots[(i+1)*len(spots)/count].ringPosition - 1
		}
		shares = append(shares, subspan{span: message.NewSpan(low, high), candidates: orderCandidates(chunk)})
	}
	return shares
}

// orderCandidates orders the members of a chunk: alive ones first, then by merit.
func orderCandidates(chunk []ringNode) []netip.AddrPort {
	order := slices.Clone(chunk)
	slices.SortFunc(order, func(a, b ringNode) int {
		if a.alive != b.alive {
			return compareBool(b.alive, a.alive)
		}
		return cmp.Compare(b.rankHash, a.rankHash)
	})
	return addresses(order)
}

func addresses(spots []ringNode) []netip.AddrPort {
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
