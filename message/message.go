// Package message defines the messages between nodes and between the parts of a node: events are the input of the
// control loop, and actions are the I/O that the control loop requests.
package message

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// Stream is the name of a stream of the platform's log.
type Stream string

// Streams that the system uses.
const (
	// StreamConfig holds change sets and checkpoints of the configuration.
	StreamConfig Stream = "config"
	// StreamRendezvous holds addresses of live nodes, for nodes without known peers.
	StreamRendezvous Stream = "rendezvous"
)

// PeerMessage is a message from one node to another. Delivery is not guaranteed: messages may be lost,
// duplicated, delayed and reordered.
type PeerMessage interface {
	// PeerMessage marks the types that implement PeerMessage.
	PeerMessage()
}

// Envelope is a received message with its sender.
type Envelope struct {
	sender member.Key
	body   PeerMessage
}

// NewEnvelope returns a message received from a node process.
func NewEnvelope(sender member.Key, body PeerMessage) Envelope {
	return Envelope{sender: sender, body: body}
}

// Sender returns the node process that sent the message.
func (e Envelope) Sender() member.Key { return e.sender }

// Body returns the message.
func (e Envelope) Body() PeerMessage { return e.body }

// Digest describes how far a node has applied the configuration stream.
type Digest struct {
	version record.Version
	head    record.Offset
	chain   uint64
}

// NewDigest returns the digest of a node that holds version, whose next offset to apply is head and whose hash
// chain value over all entries before head is chain.
func NewDigest(version record.Version, head record.Offset, chain uint64) Digest {
	return Digest{version: version, head: head, chain: chain}
}

// Version returns the configuration version in force.
func (d Digest) Version() record.Version { return d.version }

// Head returns the first offset that is not applied yet.
func (d Digest) Head() record.Offset { return d.head }

// Chain returns the hash chain value over all entries before Head.
func (d Digest) Chain() uint64 { return d.chain }

// Action is an I/O operation that the control loop requests.
type Action interface {
	// Action marks the types that implement Action.
	Action()
}

// Send is the action to send one message to a node.
type Send struct {
	recipient netip.AddrPort
	body      PeerMessage
}

// NewSend returns the action to send body to the node at the peer address recipient.
func NewSend(recipient netip.AddrPort, body PeerMessage) Send {
	return Send{recipient: recipient, body: body}
}

// Action implements Action.
func (Send) Action() {}

// Recipient returns the peer address of the node to send to.
func (s Send) Recipient() netip.AddrPort { return s.recipient }

// Body returns the message to send.
func (s Send) Body() PeerMessage { return s.body }

// ReadLog is the action to read a stream. It is answered by exactly one LogPage.
type ReadLog struct {
	stream      Stream
	startOffset record.Offset
	maxWait     time.Duration
}

// NewReadLog returns the action to read stream from startOffset on, waiting up to maxWait for the first entry.
func NewReadLog(stream Stream, startOffset record.Offset, maxWait time.Duration) ReadLog {
	return ReadLog{stream: stream, startOffset: startOffset, maxWait: maxWait}
}

// Action implements Action.
func (ReadLog) Action() {}

// Stream returns the stream to read.
func (r ReadLog) Stream() Stream { return r.stream }

// StartOffset returns the first offset to read.
func (r ReadLog) StartOffset() record.Offset { return r.startOffset }

// MaxWait returns how long the log may delay its answer until an entry arrives.
func (r ReadLog) MaxWait() time.Duration { return r.maxWait }

// AppendLog is the action to append one entry to a stream. It is answered by exactly one AppendResult.
type AppendLog struct {
	stream Stream
	token  uint64
	data   []byte
}

// NewAppendLog returns the action to append data to stream. The answer repeats token.
func NewAppendLog(stream Stream, token uint64, data []byte) AppendLog {
	return AppendLog{stream: stream, token: token, data: data}
}

// Action implements Action.
func (AppendLog) Action() {}

// Stream returns the stream to append to.
func (a AppendLog) Stream() Stream { return a.stream }

// Token returns the number that the answer repeats.
func (a AppendLog) Token() uint64 { return a.token }

// Data returns the content of the entry.
func (a AppendLog) Data() []byte { return a.data }

// LogPage answers a ReadLog.
type LogPage struct {
	stream  Stream
	first   record.Offset
	next    record.Offset
	entries []record.Entry
	era     record.Era
	err     error
}

// NewLogPage returns entries read from stream, whose oldest retained offset is first and whose next append gets the
// offset next. If err is set, first and next are valid only if err says that the requested entries were trimmed.
func NewLogPage(stream Stream, first, next record.Offset, entries []record.Entry, err error) LogPage {
	return LogPage{stream: stream, first: first, next: next, entries: entries, err: err}
}

// WithEra returns the page with the era of the log that answered.
func (p LogPage) WithEra(era record.Era) LogPage {
	p.era = era
	return p
}

// Era returns the era of the log that answered, also with an error; 0 if it is not known.
func (p LogPage) Era() record.Era { return p.era }

// Stream returns the stream that was read.
func (p LogPage) Stream() Stream { return p.stream }

// First returns the oldest offset that the log retains.
func (p LogPage) First() record.Offset { return p.first }

// Next returns the offset that the next append to the stream gets.
func (p LogPage) Next() record.Offset { return p.next }

// Entries returns the entries in order of offset, without gaps.
func (p LogPage) Entries() []record.Entry { return p.entries }

// Err returns why the read failed. It wraps one of the errors of package platform.
func (p LogPage) Err() error { return p.err }

// AppendResult answers an AppendLog.
type AppendResult struct {
	stream Stream
	token  uint64
	offset record.Offset
	era    record.Era
	err    error
}

// NewAppendResult returns the answer to the AppendLog with that token.
func NewAppendResult(stream Stream, token uint64, offset record.Offset, err error) AppendResult {
	return AppendResult{stream: stream, token: token, offset: offset, err: err}
}

// WithEra returns the result with the era of the log that answered.
func (a AppendResult) WithEra(era record.Era) AppendResult {
	a.era = era
	return a
}

// Era returns the era of the log that answered, also with an error; 0 if it is not known.
func (a AppendResult) Era() record.Era { return a.era }

// Stream returns the stream appended to.
func (a AppendResult) Stream() Stream { return a.stream }

// Token returns the token of the AppendLog.
func (a AppendResult) Token() uint64 { return a.token }

// Offset returns the offset of the entry. It is valid only if Err returns nil.
func (a AppendResult) Offset() record.Offset { return a.offset }

// Err returns why the append failed or may have failed. It wraps one of the errors of package platform.
func (a AppendResult) Err() error { return a.err }
