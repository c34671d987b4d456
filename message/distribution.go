package message

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// LogStatus is what a log reader knows of the configuration stream, and how old that knowledge is.
// Ages instead of times travel, because the clocks of two nodes may differ.
type LogStatus struct {
	next      record.Offset
	age       time.Duration
	known     bool
	reachable bool
	gapEnd    record.Offset
}

// NewLogStatus returns the statement that the next append got the offset next as of age ago. up tells
// whether the log could be read at the last attempt.
func NewLogStatus(next record.Offset, age time.Duration, up bool) LogStatus {
	return LogStatus{next: next, age: age, known: true, reachable: up}
}

// NewUnknownLogStatus returns the statement of a node that has never heard of the log's end. up tells whether
// the log could be read at the last attempt.
func NewUnknownLogStatus(up bool) LogStatus { return LogStatus{reachable: up} }

// WithGapEnd returns a copy that says that entries before first are lost: no checkpoint in the log covers them.
func (s LogStatus) WithGapEnd(first record.Offset) LogStatus {
	s.gapEnd = first
	return s
}

// GapEnd returns the first offset after entries that are lost to the sender, or zero.
func (s LogStatus) GapEnd() record.Offset { return s.gapEnd }

// Next returns the offset of the next append, if Known.
func (s LogStatus) Next() record.Offset { return s.next }

// Age returns how long ago the log said so.
func (s LogStatus) Age() time.Duration { return s.age }

// Known tells whether Next and Age hold.
func (s LogStatus) Known() bool { return s.known }

// Reachable tells whether the log could be read at the last attempt.
func (s LogStatus) Reachable() bool { return s.reachable }

// Entries are entries of the configuration stream as the log holds them, with what it takes to check
// that they continue what the receiver has folded.
type Entries struct {
	base      record.Offset
	chain     uint64
	items     []record.Entry
	digest    Digest
	logStatus LogStatus
}

// NewEntries returns entries that start at offset base, before which the sender's chain is chain. The
// sender's own digest and statement go along. It keeps the slice.
func NewEntries(base record.Offset, chain uint64, items []record.Entry, digest Digest, statement LogStatus) Entries {
	return Entries{base: base, chain: chain, items: items, digest: digest, logStatus: statement}
}

// Base returns the offset of the first item, or the sender's head when there is none.
func (e Entries) Base() record.Offset { return e.base }

// Chain returns the hash over all entries before Base.
func (e Entries) Chain() uint64 { return e.chain }

// Items returns the entries in order of offset, without gaps. The caller must not change it.
func (e Entries) Items() []record.Entry { return e.items }

// Digest returns what the sender has folded.
func (e Entries) Digest() Digest { return e.digest }

// LogStatus returns what the sender knows of the log.
func (e Entries) LogStatus() LogStatus { return e.logStatus }

// Span is a closed interval of ring positions: the part of a region that a receiver has to serve.
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

// Contains tells whether a position lies within the span.
func (s Span) Contains(position uint64) bool { return s.low <= position && position <= s.high }

// Covers tells whether another span lies within this one.
func (s Span) Covers(other Span) bool { return s.low <= other.low && other.high <= s.high }

// Push carries entries, or without any a heartbeat, from a log reader down the tree of nodes. The
// receiver answers with a Report and passes the push on to its region's members within the span.
type Push struct {
	origin  member.Key
	seq     uint64
	span    Span
	entries Entries
	census  []Census
}

// NewPush returns the push number seq of the log reader origin. census holds the fleet's census as the
// origin knows it. Ages in census are relative to the origin's read. It keeps the slice.
func NewPush(origin member.Key, seq uint64, span Span, entries Entries, census []Census) Push {
	return Push{origin: origin, seq: seq, span: span, entries: entries, census: census}
}

// PeerMessage implements PeerMessage.
func (Push) PeerMessage() {}

// Origin returns the log reader.
func (p Push) Origin() member.Key { return p.origin }

// Seq returns the number of the push, rising per origin.
func (p Push) Seq() uint64 { return p.seq }

// Span returns the part of the receiver's region that the receiver has to serve.
func (p Push) Span() Span { return p.span }

// Entries returns the entries.
func (p Push) Entries() Entries { return p.entries }

// Census returns the census per region. The caller must not change it.
func (p Push) Census() []Census { return p.census }

// Report acknowledges a Push and counts the versions held in the part of the tree below the sender.
type Report struct {
	origin member.Key
	seq    uint64
	digest Digest
	census Census
}

// NewReport returns the answer to the push number seq of origin.
func NewReport(origin member.Key, seq uint64, digest Digest, census Census) Report {
	return Report{origin: origin, seq: seq, digest: digest, census: census}
}

// PeerMessage implements PeerMessage.
func (Report) PeerMessage() {}

// Origin returns the log reader whose push is answered.
func (r Report) Origin() member.Key { return r.origin }

// Seq returns the number of the push.
func (r Report) Seq() uint64 { return r.seq }

// Digest returns what the sender has folded.
func (r Report) Digest() Digest { return r.digest }

// Census returns the versions held by the sender and the nodes below it.
func (r Report) Census() Census { return r.census }

// Pull asks for what the sender lacks and for a statement about the log. It is answered by an Answer.
type Pull struct {
	nonce  uint64
	digest Digest
}

// NewPull returns the request of a node that has folded up to digest. The answer repeats nonce.
func NewPull(nonce uint64, digest Digest) Pull { return Pull{nonce: nonce, digest: digest} }

// PeerMessage implements PeerMessage.
func (Pull) PeerMessage() {}

// Nonce returns the number that the answer repeats.
func (p Pull) Nonce() uint64 { return p.nonce }

// Digest returns what the sender has folded.
func (p Pull) Digest() Digest { return p.digest }

// PullReply answers a Pull with entries, with the whole state, or with neither.
type PullReply struct {
	nonce      uint64
	serving    bool
	busy       bool
	entries    Entries
	checkpoint []byte
	peers      []netip.AddrPort
}

// NewPullReply returns the answer with entries, which may be none. serving tells whether the sender serves
// callers, which makes what it holds an offer to nodes that join while the log is down.
func NewPullReply(nonce uint64, serving bool, entries Entries) PullReply {
	return PullReply{nonce: nonce, serving: serving, entries: entries}
}

// WithCheckpoint returns a copy that carries the whole state, a catalog checkpoint. It keeps data.
func (a PullReply) WithCheckpoint(data []byte) PullReply {
	a.checkpoint = data
	return a
}

// WithBusy returns a copy that says that the sender holds more but has spent its rate of whole states.
func (a PullReply) WithBusy() PullReply {
	a.busy = true
	return a
}

// WithPeers returns a copy that names nodes which serve, for a receiver that joins. It keeps the slice.
func (a PullReply) WithPeers(peers []netip.AddrPort) PullReply {
	a.peers = peers
	return a
}

// PeerMessage implements PeerMessage.
func (PullReply) PeerMessage() {}

// Nonce returns the number of the Pull.
func (a PullReply) Nonce() uint64 { return a.nonce }

// Serving tells whether the sender serves callers.
func (a PullReply) Serving() bool { return a.serving }

// Busy tells whether to ask again later.
func (a PullReply) Busy() bool { return a.busy }

// Entries returns the entries, and the sender's digest and statement.
func (a PullReply) Entries() Entries { return a.entries }

// Checkpoint returns the whole state, or nil. The caller must not change it.
func (a PullReply) Checkpoint() []byte { return a.checkpoint }

// Peers returns some nodes that serve, if the sender does not. The caller must not change it.
func (a PullReply) Peers() []netip.AddrPort { return a.peers }
