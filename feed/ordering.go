package feed

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/member"
)

// orderedMember is a member with its position, a hash of its address. Nodes with equal views order the members equally.
// The ReaderHash of a message.Round is the position of the reader.
type orderedMember struct {
	position uint64
	peer     netip.AddrPort
}

// domain lists the members of one failure domain by position.
type domain struct {
	place   member.Place
	members []orderedMember
}

// without returns the members except the one at a position.
func (d domain) without(position uint64) []orderedMember {
	i := slices.IndexFunc(d.members, func(m orderedMember) bool { return m.position == position })
	if i < 0 {
		return d.members
	}
	return slices.Concat(d.members[:i], d.members[i+1:])
}

// ordering is the order of a view's members, from which the tree and the choice of readers follow.
type ordering struct {
	position uint64 // of the node itself
	ownPlace member.Place
	rank     int // number of alive members of the node's region at lower positions
	domains  []domain
	others   []orderedMember // all members except the node itself
}

func positionOf(peer netip.AddrPort) uint64 {
	b, _ := peer.MarshalBinary()   // never fails
	return max(xxhash.Sum64(b), 1) // 0 means a notice that belongs to no round
}

func newOrdering(view *member.View, self member.Member) ordering {
	o := ordering{position: positionOf(self.Key().Peer()), ownPlace: self.Place()}
	if view == nil {
		return o
	}
	for _, m := range view.Members() {
		om := orderedMember{position: positionOf(m.Key().Peer()), peer: m.Key().Peer()}
		o.add(m.Place(), om)
		if om.position == o.position {
			continue
		}
		o.others = append(o.others, om)
		if om.position < o.position && m.Place().Region() == self.Place().Region() && m.Health() == member.HealthAlive {
			o.rank++
		}
	}
	for i := range o.domains {
		slices.SortFunc(o.domains[i].members, func(a, b orderedMember) int { return cmp.Compare(a.position, b.position) })
	}
	return o
}

func (o *ordering) add(place member.Place, m orderedMember) {
	i := slices.IndexFunc(o.domains, func(d domain) bool { return d.place == place })
	if i < 0 {
		i = len(o.domains)
		o.domains = append(o.domains, domain{place: place})
	}
	o.domains[i].members = append(o.domains[i].members, m)
}

// ownDomain returns the failure domain of the node itself.
func (o ordering) ownDomain() domain {
	i := slices.IndexFunc(o.domains, func(d domain) bool { return d.place == o.ownPlace })
	if i < 0 {
		return domain{place: o.ownPlace}
	}
	return o.domains[i]
}

// ownRegion returns the other members of the node's region.
func (o ordering) ownRegion() []orderedMember {
	var members []orderedMember
	for _, d := range o.domains {
		if d.place.Region() == o.ownPlace.Region() {
			members = append(members, d.without(o.position)...)
		}
	}
	return members
}

// inOwnRegion reports whether the member at a position is in the node's own region.
func (o ordering) inOwnRegion(position uint64) bool {
	for _, d := range o.domains {
		if d.place.Region() == o.ownPlace.Region() && slices.ContainsFunc(d.members, func(m orderedMember) bool { return m.position == position }) {
			return true
		}
	}
	return false
}

// children returns the members of the failure domain to which the node forwards a reader's round. The members except
// the reader form a tree in the array layout of a heap.
func (o ordering) children(reader uint64) []orderedMember {
	members := o.ownDomain().without(reader)
	i := slices.IndexFunc(members, func(m orderedMember) bool { return m.position == o.position })
	if i < 0 {
		return nil
	}
	first := min(fanout*i+1, len(members))
	return members[first:min(first+fanout, len(members))]
}
