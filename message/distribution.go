package message

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// LogStatus is the end of the configuration stream as far as a node knows it, and how old that information is.
// It holds an age and no timestamp, because the clocks of two nodes may differ.
type LogStatus struct {
	next      record.Offset
	age       time.Duration
	known     bool
	reachable bool
	gapEnd    record.Offset
}

// NewLogStatus returns the status of a log whose next append was to get the offset next as of age ago.
// reachable says whether the log was readable recently.
func NewLogStatus(next record.Offset, age time.Duration, reachable bool) LogStatus {
	return LogStatus{next: next, age: age, known: true, reachable: reachable}
}

// NewUnknownLogStatus returns the status reported by a node that has never learned the end of the log.
// reachable says whether the log was readable recently.
func NewUnknownLogStatus(reachable bool) LogStatus { return LogStatus{reachable: reachable} }

// WithGapEnd returns a copy that reports the entries before gapEnd as lost: the log has trimmed them, and no
// checkpoint in it covers them.
func (s LogStatus) WithGapEnd(gapEnd record.Offset) LogStatus {
	s.gapEnd = gapEnd
	return s
}

// GapEnd returns the first offset after the entries that the sender has lost, or zero if it has lost none.
func (s LogStatus) GapEnd() record.Offset { return s.gapEnd }

// Next returns the offset of the next append. It is valid only if Known returns true.
func (s LogStatus) Next() record.Offset { return s.next }

// Age returns how long ago Next was read from the log. It is valid only if Known returns true.
func (s LogStatus) Age() time.Duration { return s.age }

// Known reports whether Next and Age are valid.
func (s LogStatus) Known() bool { return s.known }

// Reachable reports whether the log was readable recently, as far as the sender knows.
func (s LogStatus) Reachable() bool { return s.reachable }

// Entries are consecutive entries of the configuration stream as stored in the log, with the hash chain value that
// lets the receiver check that they continue the entries it has applied.
type Entries struct {
	base      record.Offset
	chain     uint64
	items     []record.Entry
	digest    Digest
	logStatus LogStatus
}

// NewEntries returns entries that start at offset base. chain is the sender's hash chain value over all entries
// before base; digest and logStatus are those of the sender. It keeps the slice.
func NewEntries(base record.Offset, chain uint64, items []record.Entry, digest Digest, logStatus LogStatus) Entries {
	return Entries{base: base, chain: chain, items: items, digest: digest, logStatus: logStatus}
}

// Base returns the offset of the first entry, or the sender's head if there are no entries.
func (e Entries) Base() record.Offset { return e.base }

// Chain returns the hash chain value over all entries before Base.
func (e Entries) Chain() uint64 { return e.chain }

// Items returns the entries in order of offset, without gaps. The caller must not change it.
func (e Entries) Items() []record.Entry { return e.items }

// Digest returns how far the sender has applied the stream.
func (e Entries) Digest() Digest { return e.digest }

// LogStatus returns the log's status as known to the sender.
func (e Entries) LogStatus() LogStatus { return e.logStatus }

// Span is a closed interval of positions on the hash ring. It selects the part of a region to which the receiver
// of a Push forwards it.
type Span struct {
	low  uint64
	high uint64
}

// NewSpan returns the interval from low to high, both included.
func NewSpan(low, high uint64) Span { return Span{low: low, high: high} }

// Low returns the first position.
func (s Span) Low() uint64 { return s.low }

// High returns the last position.
func (s Span) High() uint64 { return s.high }

// Contains reports whether a position lies within the span.
func (s Span) Contains(position uint64) bool { return s.low <= position && position <= s.high }

// Covers reports whether another span lies within this one.
func (s Span) Covers(other Span) bool { return s.low <= other.low && other.high <= s.high }

// Push carries entries from a log reader down the fan-out tree of nodes; without entries it is a heartbeat. The
// receiver answers with a Report and forwards the push to the members of its region within the span.
type Push struct {
	origin  member.Key
	seq     uint64
	span    Span
	entries Entries
	census  []Census
}

// NewPush returns push number seq of the log reader origin. census is the fleet's census per region as known to the
// origin. Its times are not transmitted, the receiver sets them to the time of arrival. It keeps the slice.
func NewPush(origin member.Key, seq uint64, span Span, entries Entries, census []Census) Push {
	return Push{origin: origin, seq: seq, span: span, entries: entries, census: census}
}

// PeerMessage implements PeerMessage.
func (Push) PeerMessage() {}

// Origin returns the log reader that started the push. The zero Key stands for the sender.
func (p Push) Origin() member.Key { return p.origin }

// Seq returns the sequence number of the push, which increases per origin.
func (p Push) Seq() uint64 { return p.seq }

// Span returns the part of the receiver's region to which the receiver forwards the push.
func (p Push) Span() Span { return p.span }

// Entries returns the entries, with the origin's digest and log status.
func (p Push) Entries() Entries { return p.entries }

// Census returns the census per region. The caller must not change it.
func (p Push) Census() []Census { return p.census }

// Report acknowledges a Push and counts the versions held in the sender's subtree.
type Report struct {
	origin member.Key
	seq    uint64
	digest Digest
	census Census
}

// NewReport returns the answer to push number seq of origin.
func NewReport(origin member.Key, seq uint64, digest Digest, census Census) Report {
	return Report{origin: origin, seq: seq, digest: digest, census: census}
}

// PeerMessage implements PeerMessage.
func (Report) PeerMessage() {}

// Origin returns the log reader whose push is acknowledged. The zero Key stands for the receiver.
func (r Report) Origin() member.Key { return r.origin }

// Seq returns the sequence number of the push.
func (r Report) Seq() uint64 { return r.seq }

// Digest returns how far the sender has applied the stream.
func (r Report) Digest() Digest { return r.digest }

// Census returns the versions held by the nodes of the sender's subtree, the sender included.
func (r Report) Census() Census { return r.census }

// Pull asks for the entries that the sender lacks and for the log's status. It is answered by a PullReply.
type Pull struct {
	nonce  uint64
	digest Digest
}

// NewPull returns the request of a node that has applied the stream up to digest. The reply repeats nonce.
func NewPull(nonce uint64, digest Digest) Pull { return Pull{nonce: nonce, digest: digest} }

// PeerMessage implements PeerMessage.
func (Pull) PeerMessage() {}

// Nonce returns the number that the reply repeats.
func (p Pull) Nonce() uint64 { return p.nonce }

// Digest returns how far the sender has applied the stream.
func (p Pull) Digest() Digest { return p.digest }

// PullReply answers a Pull with entries, with a checkpoint, or with neither.
type PullReply struct {
	nonce      uint64
	serving    bool
	busy       bool
	entries    Entries
	checkpoint []byte
	peers      []netip.AddrPort
}

// NewPullReply returns a reply with entries, which may be none. serving says whether the sender serves callers:
// nodes that join while the log is down may start from the configuration of a node that does.
func NewPullReply(nonce uint64, serving bool, entries Entries) PullReply {
	return PullReply{nonce: nonce, serving: serving, entries: entries}
}

// WithCheckpoint returns a copy that carries an encoded catalog checkpoint. It keeps data.
func (a PullReply) WithCheckpoint(data []byte) PullReply {
	a.checkpoint = data
	return a
}

// WithBusy returns a copy that tells the receiver to retry later: the sender has a checkpoint for it but has
// reached its rate limit for sending checkpoints.
func (a PullReply) WithBusy() PullReply {
	a.busy = true
	return a
}

// WithPeers returns a copy that names serving nodes to a receiver that is joining. It keeps the slice.
func (a PullReply) WithPeers(peers []netip.AddrPort) PullReply {
	a.peers = peers
	return a
}

// PeerMessage implements PeerMessage.
func (PullReply) PeerMessage() {}

// Nonce returns the nonce of the Pull.
func (a PullReply) Nonce() uint64 { return a.nonce }

// Serving reports whether the sender serves callers.
func (a PullReply) Serving() bool { return a.serving }

// Busy reports whether the receiver should retry the Pull later.
func (a PullReply) Busy() bool { return a.busy }

// Entries returns the entries, with the sender's digest and log status.
func (a PullReply) Entries() Entries { return a.entries }

// Checkpoint returns the encoded catalog checkpoint, or nil. The caller must not change it.
func (a PullReply) Checkpoint() []byte { return a.checkpoint }

// Peers returns addresses of some serving nodes if the sender does not serve itself. The caller must not change
// the slice.
func (a PullReply) Peers() []netip.AddrPort { return a.peers }
