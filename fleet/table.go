package fleet

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// maxEntries bounds the table, so that garbage from a faulty peer cannot fill the memory.
const maxEntries = 4096

// entry is the claim held about one address.
type entry struct {
	claim          member.Member
	liveHash       uint64    // contribution to the hash of the view, zero if not live
	bucket         int       // bucket of the address
	rank           uint64    // order among the candidates for a role
	suspectUntil   time.Time // when a suspect of this region counts as dead
	goneAt         time.Time // when the claim turned dead or left
	inQueue        bool      // waits in the queue of claims to spread
	sendCount      int       // times that the claim was sent
	crossSendsLeft int       // times that the claim has still to be sent to other regions
}

func (e *entry) peer() netip.AddrPort { return e.claim.Key().Peer() }

func (e *entry) region() member.Region { return e.claim.Place().Region() }

func (e *entry) live() bool {
	return e.claim.Health() == member.HealthAlive || e.claim.Health() == member.HealthSuspect
}

// table holds one entry per address, ordered by address, with hashes over the live ones.
type table struct {
	byPeer       map[netip.AddrPort]*entry
	entries      []*entry
	viewHash     uint64
	buckets      [message.SyncBuckets]uint32
	version      uint64    // rises with every change
	lastChangeAt time.Time // when a live member was last added, changed or removed
}

func newTable() *table {
	return &table{byPeer: make(map[netip.AddrPort]*entry)}
}

// put stores a claim and returns its entry, or nil if the table is full.
func (t *table) put(now time.Time, claim member.Member) *entry {
	e := t.byPeer[claim.Key().Peer()]
	if e == nil {
		if len(t.entries) >= maxEntries {
			return nil
		}
		e = t.insert(claim.Key().Peer())
	}
	e.claim = claim
	e.rank = keyHash(claim.Key())
	t.updateHashes(now, e)
	t.version++
	return e
}

func (t *table) insert(peer netip.AddrPort) *entry {
	e := &entry{bucket: bucketOf(peer)}
	i, _ := t.search(peer)
	t.entries = slices.Insert(t.entries, i, e)
	t.byPeer[peer] = e
	return e
}

func (t *table) search(peer netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(t.entries, peer, func(e *entry, p netip.AddrPort) int { return e.peer().Compare(p) })
}

// updateHashes brings the hashes in line with the claim of e.
func (t *table) updateHashes(now time.Time, e *entry) {
	hash := uint64(0)
	if e.live() {
		hash = claimHash(e.claim)
	}
	if hash == e.liveHash {
		return
	}
	t.viewHash ^= e.liveHash ^ hash
	t.buckets[e.bucket] ^= uint32(e.liveHash) ^ uint32(hash)
	e.liveHash = hash
	t.lastChangeAt = now
}

// remove forgets an entry that is not live.
func (t *table) remove(e *entry) {
	i, ok := t.search(e.peer())
	if !ok {
		return
	}
	t.entries = slices.Delete(t.entries, i, i+1)
	delete(t.byPeer, e.peer())
	t.version++
}

func bucketOf(peer netip.AddrPort) int {
	b, _ := peer.MarshalBinary() // never fails
	return int(xxhash.Sum64(b) % message.SyncBuckets)
}

func keyHash(key member.Key) uint64 {
	b, _ := key.Peer().MarshalBinary() // never fails
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(key.Incarnation())))
}

// claimHash leaves the health out: who is suspect for a moment is no difference worth bytes.
func claimHash(m member.Member) uint64 {
	b, _ := m.Key().Peer().MarshalBinary() // never fails
	b = binary.BigEndian.AppendUint64(b, uint64(m.Key().Incarnation()))
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, m.Revision()))
}
