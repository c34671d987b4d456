package message

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Contact says how long ago anybody of the sender's region heard from another region.
type Contact struct {
	region member.Region
	age    time.Duration
}

// NewContact returns the age of the last contact with a region.
func NewContact(region member.Region, age time.Duration) Contact {
	return Contact{region: region, age: age}
}

// Region returns the region heard of.
func (c Contact) Region() member.Region { return c.region }

// Age returns the time since then, never less than it really is.
func (c Contact) Age() time.Duration { return c.age }

// Summary is what every probe and every answer says about its sender.
type Summary struct {
	digest   Digest
	viewHash uint64
	contacts []Contact
}

// NewSummary returns a summary: the configuration held, the hash over the members believed in, and the
// contacts with other regions. It keeps the slice.
func NewSummary(digest Digest, view uint64, contacts []Contact) Summary {
	return Summary{digest: digest, viewHash: view, contacts: contacts}
}

// Digest returns the configuration that the sender holds.
func (s Summary) Digest() Digest { return s.digest }

// ViewHash returns the hash over the sender's members.
func (s Summary) ViewHash() uint64 { return s.viewHash }

// Contacts returns the sender's contacts with other regions. The caller must not change it.
func (s Summary) Contacts() []Contact { return s.contacts }

// Ping asks a node whether it lives.
type Ping struct {
	seq     uint32
	summary Summary
	claims  []member.Member
}

// NewPing returns a probe that the answer names by seq. It keeps the slice.
func NewPing(seq uint32, summary Summary, claims []member.Member) Ping {
	return Ping{seq: seq, summary: summary, claims: claims}
}

// PeerMessage implements PeerMessage.
func (Ping) PeerMessage() {}

// Seq returns the number that the answer repeats.
func (p Ping) Seq() uint32 { return p.seq }

// Summary returns what the sender says about itself.
func (p Ping) Summary() Summary { return p.summary }

// Digest returns the configuration that the sender holds.
func (p Ping) Digest() Digest { return p.summary.digest }

// Claims returns claims about members. The caller must not change it.
func (p Ping) Claims() []member.Member { return p.claims }

// Ack answers a Ping.
type Ack struct {
	seq     uint32
	summary Summary
	claims  []member.Member
}

// NewAck returns the answer to the Ping with that seq. It keeps the slice.
func NewAck(seq uint32, summary Summary, claims []member.Member) Ack {
	return Ack{seq: seq, summary: summary, claims: claims}
}

// PeerMessage implements PeerMessage.
func (Ack) PeerMessage() {}

// Seq returns the number of the probe.
func (a Ack) Seq() uint32 { return a.seq }

// Summary returns what the sender says about itself.
func (a Ack) Summary() Summary { return a.summary }

// Digest returns the configuration that the sender holds.
func (a Ack) Digest() Digest { return a.summary.digest }

// Claims returns claims about members. The caller must not change it.
func (a Ack) Claims() []member.Member { return a.claims }

// PingReq asks a node to probe another one on the sender's behalf.
type PingReq struct {
	seq    uint32
	target member.Key
}

// NewPingReq returns the request to probe target. The answer names it by seq.
func NewPingReq(seq uint32, target member.Key) PingReq { return PingReq{seq: seq, target: target} }

// PeerMessage implements PeerMessage.
func (PingReq) PeerMessage() {}

// Seq returns the number that the answer repeats.
func (p PingReq) Seq() uint32 { return p.seq }

// Target returns the process to probe.
func (p PingReq) Target() member.Key { return p.target }

// PingReqAck tells that the target of a PingReq answered.
type PingReqAck struct {
	seq    uint32
	target member.Key
}

// NewPingReqAck returns the answer to the PingReq with that seq.
func NewPingReqAck(seq uint32, target member.Key) PingReqAck {
	return PingReqAck{seq: seq, target: target}
}

// PeerMessage implements PeerMessage.
func (PingReqAck) PeerMessage() {}

// Seq returns the number of the request.
func (p PingReqAck) Seq() uint32 { return p.seq }

// Target returns the process that answered.
func (p PingReqAck) Target() member.Key { return p.target }

// Claims spreads claims about members. It is not answered.
type Claims struct {
	claims []member.Member
}

// NewClaims returns a message of claims. It keeps the slice.
func NewClaims(claims []member.Member) Claims { return Claims{claims: claims} }

// PeerMessage implements PeerMessage.
func (Claims) PeerMessage() {}

// Claims returns the claims. The caller must not change it.
func (c Claims) Claims() []member.Member { return c.claims }

// MaxNameBytes bounds the names of regions, failure domains and services in claims, in bytes.
const MaxNameBytes = 64

// SyncBuckets is the number of buckets into which a view is split for comparison.
const SyncBuckets = 64

// SyncMode says what the sender of a SyncReq wants.
type SyncMode uint8

// Modes of a SyncReq.
const (
	// SyncCompare: the receiver sends its claims of the buckets that differ, then its own hashes.
	SyncCompare SyncMode = iota + 1
	// SyncJoin: as SyncCompare, from a node that knows nobody yet. The receiver may refer it to others.
	SyncJoin
	// SyncReply: the answer to the two others; the receiver sends its claims of the buckets that differ.
	SyncReply
)

// SyncReq compares two views bucket by bucket.
type SyncReq struct {
	mode   SyncMode
	hashes [SyncBuckets]uint32
	claims []member.Member
}

// NewSyncReq returns a comparison of views. The sender's own claim is among the claims. It keeps the
// slice.
func NewSyncReq(mode SyncMode, hashes [SyncBuckets]uint32, claims []member.Member) SyncReq {
	return SyncReq{mode: mode, hashes: hashes, claims: claims}
}

// PeerMessage implements PeerMessage.
func (SyncReq) PeerMessage() {}

// Mode tells what the sender wants.
func (s SyncReq) Mode() SyncMode { return s.mode }

// Hashes returns the hash over the sender's members in each bucket.
func (s SyncReq) Hashes() [SyncBuckets]uint32 { return s.hashes }

// Claims returns claims about members. The caller must not change it.
func (s SyncReq) Claims() []member.Member { return s.claims }
