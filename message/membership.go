package message

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Contact is the time since any member of the sender's region last received a message from another region.
type Contact struct {
	region member.Region
	age    time.Duration
}

// NewContact returns the contact with region of age ago.
func NewContact(region member.Region, age time.Duration) Contact {
	return Contact{region: region, age: age}
}

// Region returns the other region.
func (c Contact) Region() member.Region { return c.region }

// Age returns the time since the last message. It may be too large, but is never too small.
func (c Contact) Age() time.Duration { return c.age }

// Summary is the state of the sender that every Ping and every Ack carries.
type Summary struct {
	digest     Digest
	viewHash   uint64
	contacts   []Contact
	quarantine uint64
	rollouts   uint64
}

// NewSummary returns a summary of the configuration held, the hash over the sender's view of the members, and the
// contacts with other regions. It keeps the slice.
func NewSummary(digest Digest, viewHash uint64, contacts []Contact) Summary {
	return Summary{digest: digest, viewHash: viewHash, contacts: contacts}
}

// WithQuarantine returns the summary with the hash over the sender's record of requests that crash servers.
func (s Summary) WithQuarantine(hash uint64) Summary {
	s.quarantine = hash
	return s
}

// Quarantine returns the hash over the sender's record of requests that crash servers, 0 if the record is empty.
func (s Summary) Quarantine() uint64 { return s.quarantine }

// WithRollouts returns the summary with the hash over the decisions about roll-outs that the sender knows.
func (s Summary) WithRollouts(hash uint64) Summary {
	s.rollouts = hash
	return s
}

// Rollouts returns the hash over the decisions about roll-outs that the sender knows, 0 if it knows none.
func (s Summary) Rollouts() uint64 { return s.rollouts }

// Digest returns how far the sender has applied the configuration stream.
func (s Summary) Digest() Digest { return s.digest }

// ViewHash returns the hash over the sender's view of the members. Nodes whose hashes differ need to sync.
func (s Summary) ViewHash() uint64 { return s.viewHash }

// Contacts returns the sender's contacts with other regions. The caller must not change it.
func (s Summary) Contacts() []Contact { return s.contacts }

// Ping probes whether a node is alive.
type Ping struct {
	seq     uint32
	summary Summary
	claims  []member.Member
}

// NewPing returns a probe whose answer repeats seq. It keeps the slice.
func NewPing(seq uint32, summary Summary, claims []member.Member) Ping {
	return Ping{seq: seq, summary: summary, claims: claims}
}

// PeerMessage implements PeerMessage.
func (Ping) PeerMessage() {}

// Seq returns the number that the answer repeats.
func (p Ping) Seq() uint32 { return p.seq }

// Summary returns the state of the sender.
func (p Ping) Summary() Summary { return p.summary }

// Digest returns how far the sender has applied the configuration stream.
func (p Ping) Digest() Digest { return p.summary.digest }

// Claims returns claims about members. The caller must not change it.
func (p Ping) Claims() []member.Member { return p.claims }

// Ack answers a Ping.
type Ack struct {
	seq     uint32
	summary Summary
	claims  []member.Member
}

// NewAck returns the answer to the Ping with sequence number seq. It keeps the slice.
func NewAck(seq uint32, summary Summary, claims []member.Member) Ack {
	return Ack{seq: seq, summary: summary, claims: claims}
}

// PeerMessage implements PeerMessage.
func (Ack) PeerMessage() {}

// Seq returns the sequence number of the Ping.
func (a Ack) Seq() uint32 { return a.seq }

// Summary returns the state of the sender.
func (a Ack) Summary() Summary { return a.summary }

// Digest returns how far the sender has applied the configuration stream.
func (a Ack) Digest() Digest { return a.summary.digest }

// Claims returns claims about members. The caller must not change it.
func (a Ack) Claims() []member.Member { return a.claims }

// PingReq asks a node to probe another node on the sender's behalf (an indirect probe).
type PingReq struct {
	seq    uint32
	target member.Key
}

// NewPingReq returns the request to probe target. The answer repeats seq.
func NewPingReq(seq uint32, target member.Key) PingReq { return PingReq{seq: seq, target: target} }

// PeerMessage implements PeerMessage.
func (PingReq) PeerMessage() {}

// Seq returns the number that the answer repeats.
func (p PingReq) Seq() uint32 { return p.seq }

// Target returns the process to probe.
func (p PingReq) Target() member.Key { return p.target }

// PingReqAck reports that the target of a PingReq answered.
type PingReqAck struct {
	seq    uint32
	target member.Key
}

// NewPingReqAck returns the answer to the PingReq with sequence number seq.
func NewPingReqAck(seq uint32, target member.Key) PingReqAck {
	return PingReqAck{seq: seq, target: target}
}

// PeerMessage implements PeerMessage.
func (PingReqAck) PeerMessage() {}

// Seq returns the sequence number of the PingReq.
func (p PingReqAck) Seq() uint32 { return p.seq }

// Target returns the process that answered.
func (p PingReqAck) Target() member.Key { return p.target }

// Claims spreads claims about the state of members. It is not answered.
type Claims struct {
	claims []member.Member
}

// NewClaims returns a message with claims. It keeps the slice.
func NewClaims(claims []member.Member) Claims { return Claims{claims: claims} }

// PeerMessage implements PeerMessage.
func (Claims) PeerMessage() {}

// Claims returns the claims. The caller must not change it.
func (c Claims) Claims() []member.Member { return c.claims }

// MaxNameBytes is the largest size of the name of a region, a failure domain or a service in claims, in bytes.
const MaxNameBytes = 64

// SyncBuckets is the number of buckets into which a view is split for anti-entropy.
const SyncBuckets = 64

// SyncMode is what the sender of a SyncReq expects of the receiver.
type SyncMode uint8

// Modes of a SyncReq.
const (
	// SyncCompare: the receiver sends its claims of the buckets that differ, then its own hashes in a SyncReply.
	SyncCompare SyncMode = iota + 1
	// SyncJoin: as SyncCompare, from a node that is joining. The receiver may refer it to other nodes.
	SyncJoin
	// SyncReply: the answer to the other modes. The receiver sends its claims of the buckets that differ.
	SyncReply
)

// SyncReq is an anti-entropy message that compares two views bucket by bucket.
type SyncReq struct {
	mode   SyncMode
	hashes [SyncBuckets]uint32
	claims []member.Member
}

// NewSyncReq returns a message with the hash of each bucket of the sender's view. claims includes the sender's
// claim about itself. It keeps the slice.
func NewSyncReq(mode SyncMode, hashes [SyncBuckets]uint32, claims []member.Member) SyncReq {
	return SyncReq{mode: mode, hashes: hashes, claims: claims}
}

// PeerMessage implements PeerMessage.
func (SyncReq) PeerMessage() {}

// Mode returns what the sender expects of the receiver.
func (s SyncReq) Mode() SyncMode { return s.mode }

// Hashes returns the hash over each bucket of the sender's view.
func (s SyncReq) Hashes() [SyncBuckets]uint32 { return s.hashes }

// Claims returns claims about members. The caller must not change it.
func (s SyncReq) Claims() []member.Member { return s.claims }
