package feed

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/member"
)

// seat is a member with its place in the order that all nodes agree on if their views are equal.
type seat struct {
	place uint64
	peer  netip.AddrPort
}

// domain lists the members of one failure domain in order.
type domain struct {
	place member.Place
	seats []seat
}

// without returns the members but for one.
func (d domain) without(place uint64) []seat {
	at := slices.IndexFunc(d.seats, func(s seat) bool { return s.place == place })
	if at < 0 {
		return d.seats
	}
	return slices.Concat(d.seats[:at], d.seats[at+1:])
}

// ordering is what a view means for the tree and the choice of readers.
type ordering struct {
	place   uint64 // of the node itself
	domain  member.Place
	rank    int // number of better placed members in the node's region
	domains []domain
	all     []seat // all other members
}

func placeOf(peer netip.AddrPort) uint64 {
	b, _ := peer.MarshalBinary() // never fails
	return max(xxhash.Sum64(b), 1)
}

func newOrdering(view *member.View, self member.Member) ordering {
	o := ordering{place: placeOf(self.Key().Peer()), domain: self.Place()}
	if view == nil {
		return o
	}
	for _, m := range view.Members() {
		s := seat{place: placeOf(m.Key().Peer()), peer: m.Key().Peer()}
		o.add(m.Place(), s)
		if s.place == o.place {
			continue
		}
		o.all = append(o.all, s)
		if s.place < o.place && m.Place().Region() == self.Place().Region() && m.Health() == member.HealthAlive {
			o.rank++
		}
	}
	for i := range o.domains {
		slices.SortFunc(o.domains[i].seats, func(a, b seat) int { return cmp.Compare(a.place, b.place) })
	}
	return o
}

func (o *ordering) add(place member.Place, s seat) {
	at := slices.IndexFunc(o.domains, func(d domain) bool { return d.place == place })
	if at < 0 {
		at = len(o.domains)
		o.domains = append(o.domains, domain{place: place})
	}
	o.domains[at].seats = append(o.domains[at].seats, s)
}

// own returns the node's own failure domain.
func (o ordering) own() domain {
	at := slices.IndexFunc(o.domains, func(d domain) bool { return d.place == o.domain })
	if at < 0 {
		return domain{place: o.domain}
	}
	return o.domains[at]
}

// inRegion tells whether a member is of the node's own region.
func (o ordering) inRegion(place uint64) bool {
	for _, d := range o.domains {
		if d.place.Region() == o.domain.Region() && slices.ContainsFunc(d.seats, func(s seat) bool { return s.place == place }) {
			return true
		}
	}
	return false
}

// children returns the members of the failure domain to which the node passes a reader's round on. The members
// but for the reader form a tree, laid out like a heap.
func (o ordering) children(reader uint64) []seat {
	members := o.own().without(reader)
	at := slices.IndexFunc(members, func(s seat) bool { return s.place == o.place })
	if at < 0 {
		return nil
	}
	low := min(fanout*at+1, len(members))
	return members[low:min(low+fanout, len(members))]
}
