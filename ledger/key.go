package ledger

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/member"
)

// Faults of request keys.
var (
	// ErrMalformed: the value is no UUIDv7.
	ErrMalformed = errors.New("the request key is no UUIDv7")
	// ErrForeign: the key was not issued by a node of this fleet.
	ErrForeign = errors.New("the request key was not issued by a node of this fleet")
)

// Layout of the 62 random bits at the end of a UUIDv7: the owner's tag, random bits, check bits. The
// 12 bits beside the version are random too.
const (
	checkBits  = 6
	tagBits    = 32
	randomBits = 62 - tagBits - checkBits
	tagShift   = 62 - tagBits

	checkMask   = 1<<checkBits - 1
	randomMask  = 1<<randomBits - 1
	variantMask = 0b11 << 62
	variant     = 0b10 << 62
	version     = 7 << 12
	randAMask   = 1<<12 - 1
)

// Tag is a hash of a node process, short enough to be part of a request key.
type Tag uint32

// TagOf returns the tag of a node process.
func TagOf(key member.Key) Tag {
	var buf [26]byte
	addr := key.Peer().Addr().As16()
	copy(buf[:], addr[:])
	binary.BigEndian.PutUint16(buf[16:], key.Peer().Port())
	binary.BigEndian.PutUint64(buf[18:], uint64(key.Incarnation()))
	return Tag(xxhash.Sum64(buf[:]) >> tagBits)
}

// Key is a request key: a UUIDv7 that names the node process which may run the call.
type Key struct {
	id uuid.UUID
}

// NewKey returns a key minted at now for the process of that tag.
func NewKey(fleet string, owner Tag, now time.Time, rnd *rand.Rand) Key {
	var k Key
	high := uint64(now.UnixMilli())<<16 | version | rnd.Uint64()&randAMask
	low := variant | uint64(owner)<<tagShift | (rnd.Uint64()&randomMask)<<checkBits
	binary.BigEndian.PutUint64(k.id[:8], high)
	binary.BigEndian.PutUint64(k.id[8:], low|checksum(fleet, high, low))
	return k
}

// ParseKey reads a key that a node of the fleet issued. The errors are ErrMalformed and ErrForeign.
func ParseKey(fleet, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrMalformed
	}
	high := binary.BigEndian.Uint64(id[:8])
	low := binary.BigEndian.Uint64(id[8:])
	if low&checkMask != checksum(fleet, high, low&^checkMask) {
		return Key{}, ErrForeign
	}
	return Key{id: id}, nil
}

// checksum hashes the fleet's name and the rest of the key into the checksum bits.
func checksum(fleet string, high, low uint64) uint64 {
	buf := make([]byte, 0, 64)
	buf = binary.BigEndian.AppendUint64(buf, high)
	buf = binary.BigEndian.AppendUint64(buf, low)
	buf = append(buf, fleet...)
	return xxhash.Sum64(buf) & checkMask
}

// Owner returns the tag of the process that may run the call.
func (k Key) Owner() Tag {
	return Tag(binary.BigEndian.Uint64(k.id[8:]) &^ variantMask >> tagShift)
}

// IssuedAt returns when the key was issued, by the issuer's clock, in milliseconds.
func (k Key) IssuedAt() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k.id[:8]) >> 16))
}

// String returns the key as it stands in the header Idempotency-Key.
func (k Key) String() string { return k.id.String() }
