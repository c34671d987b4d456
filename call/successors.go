package call

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/member"
)

// successors returns up to limit members of a service that store the export of the process with the given
// tag, in the order in which they are asked. The order is by rendezvous hash, except that the second member
// is in another failure domain than the first, if there is one. All nodes with the same view get the same
// order.
func successors(view *member.View, service string, owner ledger.Tag, limit int) []member.Key {
	ranked := make([]member.Member, 0, len(view.Service(service)))
	for _, m := range view.Service(service) {
		if ledger.TagOf(m.Key()) != owner {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(owner, b), rendezvousWeight(owner, a)), a.Key().Peer().Compare(b.Key().Peer()))
	})
	spreadDomains(ranked)
	keys := make([]member.Key, 0, limit)
	for _, m := range ranked[:min(limit, len(ranked))] {
		keys = append(keys, m.Key())
	}
	return keys
}

// spreadDomains moves the highest-ranked member outside the first member's failure domain to second place.
func spreadDomains(ranked []member.Member) {
	for n := 1; n < len(ranked); n++ {
		if ranked[n].Place() == ranked[0].Place() {
			continue
		}
		other := ranked[n]
		copy(ranked[2:n+1], ranked[1:n])
		ranked[1] = other
		return
	}
}

func rendezvousWeight(owner ledger.Tag, m member.Member) uint64 {
	var buf [22]byte
	addr := m.Key().Peer().Addr().As16()
	binary.BigEndian.PutUint32(buf[:], uint32(owner))
	copy(buf[4:], addr[:])
	binary.BigEndian.PutUint16(buf[20:], m.Key().Peer().Port())
	return xxhash.Sum64(buf[:])
}
