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

// Errors of parsing request keys.
var (
	// ErrMalformed: the value is not a UUIDv7.
	ErrMalformed = errors.New("the request key is no UUIDv7")
	// ErrForeign: the key was not issued by a node of this fleet.
	ErrForeign = errors.New("the request key was not issued by a node of this fleet")
)

// Layout of the 62 bits of rand_b at the end of a UUIDv7, from the most significant bit: tag of the owner, random
// bits, check bits. The 12 bits of rand_a after the version are random.
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

// Tag is a hash that identifies a node process and is short enough to be embedded in a request key.
// The tags of two processes may be equal.
type Tag uint32

// TagOf returns the tag of a node process, which differs between incarnations at the same address.
func TagOf(key member.Key) Tag {
	var buf [26]byte
	addr := key.Peer().Addr().As16()
	copy(buf[:], addr[:])
	binary.BigEndian.PutUint16(buf[16:], key.Peer().Port())
	binary.BigEndian.PutUint64(buf[18:], uint64(key.Incarnation()))
	return Tag(xxhash.Sum64(buf[:]) >> tagBits)
}

// Key is a request key: a UUIDv7 that contains the tag of the only node process that may run the call.
type Key struct {
	id uuid.UUID
}

// NewKey returns a key with the issue time now for the process with the tag owner.
func NewKey(fleet string, owner Tag, now time.Time, rnd *rand.Rand) Key {
	var k Key
	high := uint64(now.UnixMilli())<<16 | version | rnd.Uint64()&randAMask
	low := variant | uint64(owner)<<tagShift | (rnd.Uint64()&randomMask)<<checkBits
	binary.BigEndian.PutUint64(k.id[:8], high)
	binary.BigEndian.PutUint64(k.id[8:], low|checksum(fleet, high, low))
	return k
}

// ParseKey parses a key that was issued by a node of the fleet. The errors are ErrMalformed and ErrForeign.
// The check bits match by chance for one in 64 keys that were not issued by the fleet.
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

// checksum returns the check bits: a hash of the fleet name and the other bits of the key.
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

// IssuedAt returns the issue time by the clock of the issuer, with a resolution of one millisecond.
func (k Key) IssuedAt() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k.id[:8]) >> 16))
}

// String returns the key in the form of the header Idempotency-Key.
func (k Key) String() string { return k.id.String() }
