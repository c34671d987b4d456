package quota

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// membersPerBucket is the number of members per hash bucket. Organisations of one bucket have the same owner, which gets
// one report about all of them.
const membersPerBucket = 16

// Buckets returns the number of hash buckets in a fleet of the given size. It is a power of two, so that it rarely changes
// when single members come and go: accounts would move then.
func Buckets(members int) int {
	return 1 << (bits.Len(uint(max(members/membersPerBucket, 1))) - 1)
}

// Owners returns the owner of each bucket: the member that comes first by rendezvous hashing. It returns nil without members.
func Owners(members []netip.AddrPort, buckets int) []netip.AddrPort {
	if len(members) == 0 {
		return nil
	}
	owners := make([]netip.AddrPort, buckets)
	best := make([]uint64, buckets)
	var key [26]byte // bucket, address, port
	for _, m := range members {
		address := m.Addr().As16()
		copy(key[8:], address[:])
		binary.BigEndian.PutUint16(key[24:], m.Port())
		for b := range buckets {
			binary.BigEndian.PutUint64(key[:], uint64(b))
			if h := xxhash.Sum64(key[:]); !owners[b].IsValid() || h > best[b] {
				owners[b], best[b] = m, h
			}
		}
	}
	return owners
}

// Bucket returns the hash bucket of an organisation.
func (id ID) Bucket(buckets int) int { return int(uint64(id) & uint64(buckets-1)) }
