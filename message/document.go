package message

import (
	"time"

	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/rollout"
)

// ReadDocument is the action to read the operator's document, which holds the routing table, from the platform's
// store. It is answered by exactly one DocumentPage.
type ReadDocument struct {
	newest      bool
	startOffset record.Offset
	maxWait     time.Duration
}

// NewReadNewest returns the action to read the document that the store holds now.
func NewReadNewest() ReadDocument { return ReadDocument{newest: true} }

// NewReadNext returns the action to read the next document from startOffset on, waiting up to maxWait for it.
func NewReadNext(startOffset record.Offset, maxWait time.Duration) ReadDocument {
	return ReadDocument{startOffset: startOffset, maxWait: maxWait}
}

// Action implements Action.
func (ReadDocument) Action() {}

// Newest reports whether to read the document that the store holds now, whatever its offset.
func (r ReadDocument) Newest() bool { return r.newest }

// StartOffset returns the offset to read from if Newest returns false.
func (r ReadDocument) StartOffset() record.Offset { return r.startOffset }

// MaxWait returns how long the store may delay its answer until a document arrives.
func (r ReadDocument) MaxWait() time.Duration { return r.maxWait }

// DocumentPage answers a ReadDocument.
type DocumentPage struct {
	data      []byte
	next      record.Offset
	orders    []rollout.Order
	malformed []error
	era       record.Era
	err       error
}

// NewDocumentPage returns the answer with a document, or nil if there was none, and the offset of the next read.
func NewDocumentPage(data []byte, next record.Offset, err error) DocumentPage {
	return DocumentPage{data: data, next: next, err: err}
}

// WithEra returns the page with the era of the store that answered.
func (p DocumentPage) WithEra(era record.Era) DocumentPage {
	p.era = era
	return p
}

// WithOrders returns the page with the orders of roll-outs that were read with the document, in their order, and why each
// order that could not be decoded was ignored.
func (p DocumentPage) WithOrders(orders []rollout.Order, malformed []error) DocumentPage {
	p.orders, p.malformed = orders, malformed
	return p
}

// Event implements Event.
func (DocumentPage) Event() {}

// Era returns the era of the store that answered, also with an error; 0 if it is not known.
func (p DocumentPage) Era() record.Era { return p.era }

// Data returns the document, or nil. The receiver must not change it.
func (p DocumentPage) Data() []byte { return p.data }

// Orders returns the orders of roll-outs that were read with the document. The time of an order is when it was read. The
// receiver must not change it.
func (p DocumentPage) Orders() []rollout.Order { return p.orders }

// MalformedOrders returns why orders were ignored, one error for each.
func (p DocumentPage) MalformedOrders() []error { return p.malformed }

// Next returns the offset from which the next read continues.
func (p DocumentPage) Next() record.Offset { return p.next }

// Err returns why the read failed. It wraps one of the errors of package platform.
func (p DocumentPage) Err() error { return p.err }

// VersionNotice announces the version of the document that its sender holds, and how long ago the store was last
// known to hold no newer one.
type VersionNotice struct {
	round   Round
	version record.Version
	age     time.Duration
}

// Round identifies one round of version notices by the reader of the store that started it and a number.
type Round struct {
	readerHash uint64
	number     uint64
}

// NewRound returns the round with the given number, started by the reader whose address hashes to readerHash.
func NewRound(readerHash, number uint64) Round {
	return Round{readerHash: readerHash, number: number}
}

// ReaderHash returns the hash of the reader's address, by which members are ordered.
func (r Round) ReaderHash() uint64 { return r.readerHash }

// Number returns the number of the round.
func (r Round) Number() uint64 { return r.number }

// NewVersionNotice returns the notice of a version. A negative age means that the age is unknown.
func NewVersionNotice(round Round, version record.Version, age time.Duration) VersionNotice {
	return VersionNotice{round: round, version: version, age: age}
}

// PeerMessage implements PeerMessage.
func (VersionNotice) PeerMessage() {}

// Round returns the round that the notice belongs to, or the zero Round if it belongs to none.
func (n VersionNotice) Round() Round { return n.round }

// Version returns the version that the sender holds.
func (n VersionNotice) Version() record.Version { return n.version }

// Age returns how long ago the store was known to hold no newer version, or a negative duration if unknown.
func (n VersionNotice) Age() time.Duration { return n.age }

// DocumentRequest asks for a document newer than the sender's. It is answered by a Document, if at all.
type DocumentRequest struct {
	heldVersion record.Version
}

// NewDocumentRequest returns the request of a node that holds heldVersion, zero if it holds none.
func NewDocumentRequest(heldVersion record.Version) DocumentRequest {
	return DocumentRequest{heldVersion: heldVersion}
}

// PeerMessage implements PeerMessage.
func (DocumentRequest) PeerMessage() {}

// HeldVersion returns the version that the sender holds, zero if none.
func (r DocumentRequest) HeldVersion() record.Version { return r.heldVersion }

// Document carries the operator's document, compressed, down the fan-out tree or in answer to a DocumentRequest.
type Document struct {
	notice VersionNotice
	data   []byte
}

// NewDocument returns a document with the notice of its version. It keeps data.
func NewDocument(notice VersionNotice, data []byte) Document {
	return Document{notice: notice, data: data}
}

// PeerMessage implements PeerMessage.
func (Document) PeerMessage() {}

// Notice returns the version of the document, its age and its round.
func (d Document) Notice() VersionNotice { return d.notice }

// Data returns the compressed document. The receiver must not change it.
func (d Document) Data() []byte { return d.data }
