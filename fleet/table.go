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

// maxEntries bounds the table, so that invalid claims from a faulty peer cannot exhaust the memory.
const maxEntries = 4096

// entry is the claim held about one address, with its state in this node.
type entry struct {
	claim          member.Member
	liveHash       uint64    // contribution to the hashes of the table, zero if not live
	bucket         int       // anti-entropy bucket of the address
	rank           uint64    // order among the candidates for gateway
	suspectUntil   time.Time // when a suspect member of this region is declared dead
	goneAt         time.Time // when the claim became dead or left
	inQueue        bool      // the entry is in the gossip queue
	sendCount      int       // times that the claim was gossiped
	crossSendsLeft int       // times that the claim is still to be sent to other regions
}

func (e *entry) peer() netip.AddrPort { return e.claim.Key().Peer() }

func (e *entry) region() member.Region { return e.claim.Place().Region() }

func (e *entry) live() bool {
	return e.claim.Health() == member.HealthAlive || e.claim.Health() == member.HealthSuspect
}

// table holds one entry per address, ordered by address, and hashes over the live entries.
type table struct {
	byPeer       map[netip.AddrPort]*entry
	entries      []*entry
	viewHash     uint64
	buckets      [message.SyncBuckets]uint32
	version      uint64    // incremented by every change
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

// updateHashes replaces the contribution of e to the hashes of the table by that of its current claim.
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

// remove deletes an entry that is not live.
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

// claimHash excludes the health: a short-lived difference in suspicions does not justify the traffic of a view
// comparison.
func claimHash(m member.Member) uint64 {
	b, _ := m.Key().Peer().MarshalBinary() // never fails
	b = binary.BigEndian.AppendUint64(b, uint64(m.Key().Incarnation()))
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, m.Revision()))
}
