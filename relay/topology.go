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

// fullSpan covers the whole hash ring of a region.
var fullSpan = message.NewSpan(0, ^uint64(0))

// ringPosition returns the position of a node on the hash ring of its region.
func ringPosition(peer netip.AddrPort) uint64 { return hashAddress("ring ", peer) }

// rankHash returns the hash by which nodes are ranked; the node with the greatest hash ranks first.
func rankHash(peer netip.AddrPort) uint64 { return hashAddress("rank ", peer) }

func hashAddress(salt string, peer netip.AddrPort) uint64 {
	b := append(make([]byte, 0, 48), salt...)
	return xxhash.Sum64(peer.AppendTo(b))
}

// ringNode is a member with its position on the hash ring and the hash that determines its rank.
type ringNode struct {
	peer     netip.AddrPort
	position uint64
	rankHash uint64
	alive    bool
}

// topology is derived from a view: the ranking of the possible log readers per region, and the hash ring of the
// node's own region. Nodes with the same view derive the same ranking.
type topology struct {
	view    *member.View
	level   record.Schema
	regions []member.Region
	readers map[member.Region][]ringNode // per region, best rank first
	ring    []ringNode                   // the node's own region without the node itself, by position
}

func newTopology(self member.Member, view *member.View, level record.Schema, hashes hashCache) *topology {
	t := &topology{view: view, level: level, readers: make(map[member.Region][]ringNode)}
	t.addReader(self, hashes.node(self))
	for _, m := range view.Members() {
		if m.Key().Peer() == self.Key().Peer() {
			continue
		}
		node := hashes.node(m)
		t.addReader(m, node)
		if m.Place().Region() == self.Place().Region() {
			t.ring = append(t.ring, node)
		}
	}
	slices.SortFunc(t.ring, func(a, b ringNode) int { return cmp.Compare(a.position, b.position) })
	for _, ranked := range t.readers {
		slices.SortFunc(ranked, func(a, b ringNode) int { return cmp.Compare(b.rankHash, a.rankHash) })
	}
	slices.Sort(t.regions)
	return t
}

// hashCache caches the hashes of addresses, so that a new view does not hash all of them again.
type hashCache map[netip.AddrPort]ringNode

// maxCachedHashes is the number of cached addresses at which the cache is cleared.
const maxCachedHashes = 8192

// node returns the ring node of a member.
func (h hashCache) node(m member.Member) ringNode {
	peer := m.Key().Peer()
	node, ok := h[peer]
	if !ok {
		if len(h) >= maxCachedHashes {
			clear(h)
		}
		node = ringNode{peer: peer, position: ringPosition(peer), rankHash: rankHash(peer)}
		h[peer] = node
	}
	node.alive = m.Health() == member.HealthAlive
	return node
}

// addReader adds a member to the possible log readers if it is alive and supports the fleet's schema level. It adds
// the member's region in any case.
func (t *topology) addReader(m member.Member, node ringNode) {
	region := m.Place().Region()
	if !slices.Contains(t.regions, region) {
		t.regions = append(t.regions, region)
	}
	if !node.alive || m.NewestSchema() < t.level {
		return
	}
	t.readers[region] = append(t.readers[region], node)
}

// rankOf returns the rank of a node among the possible readers of a region, starting at 0, or -1 if it is none.
func (t *topology) rankOf(region member.Region, peer netip.AddrPort) int {
	return slices.IndexFunc(t.readers[region], func(node ringNode) bool { return node.peer == peer })
}

// topReaders returns at most n possible readers of a region, best rank first.
func (t *topology) topReaders(region member.Region, n int) []netip.AddrPort {
	ranked := t.readers[region]
	return addresses(ranked[:min(n, len(ranked))])
}

// ringNodesIn returns the nodes of the ring within a span, except one peer.
func (t *topology) ringNodesIn(span message.Span, without netip.AddrPort) []ringNode {
	var nodes []ringNode
	for _, node := range t.ring {
		if span.Contains(node.position) && node.peer != without {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// subspan is a part of a span with the peers that a push for it can be sent to, in order of preference.
type subspan struct {
	span       message.Span
	candidates []netip.AddrPort
}

// splitSpan divides a span among at most fanout of the nodes in it. The subspans cover the span without gaps, so
// that nodes which are only in the receiver's view are reached, too.
func splitSpan(span message.Span, nodes []ringNode, fanout int) []subspan {
	count := min(fanout, len(nodes))
	subspans := make([]subspan, 0, count)
	for i := range count {
		chunk := nodes[i*len(nodes)/count : (i+1)*len(nodes)/count]
		low, high := chunk[0].position, span.High()
		if i == 0 {
			low = span.Low()
		}
		if i < count-1 {
			high = nodes[(i+1)*len(nodes)/count].position - 1
		}
		subspans = append(subspans, subspan{span: message.NewSpan(low, high), candidates: orderCandidates(chunk)})
	}
	return subspans
}

// orderCandidates orders nodes by preference: alive ones first, then by rank.
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

func addresses(nodes []ringNode) []netip.AddrPort {
	peers := make([]netip.AddrPort, len(nodes))
	for i, node := range nodes {
		peers[i] = node.peer
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
