package message

import (
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// ReadDocument orders a read of the operator's document. It is answered by exactly one DocumentPage.
type ReadDocument struct {
	newest      bool
	startOffset record.Offset
	maxWait     time.Duration
}

// NewReadNewest returns the order to read the document that the store holds now.
func NewReadNewest() ReadDocument { return ReadDocument{newest: true} }

// NewReadNext returns the order to read documents from an offset on, waiting up to wait for one.
func NewReadNext(from record.Offset, wait time.Duration) ReadDocument {
	return ReadDocument{startOffset: from, maxWait: wait}
}

// Action implements Action.
func (ReadDocument) Action() {}

// Newest tells whether the document that the store holds now is wanted, whatever its offset.
func (r ReadDocument) Newest() bool { return r.newest }

// StartOffset returns the offset to read from.
func (r ReadDocument) StartOffset() record.Offset { return r.startOffset }

// MaxWait returns how long the store may hold the answer until a document arrives.
func (r ReadDocument) MaxWait() time.Duration { return r.maxWait }

// DocumentPage answers a ReadDocument.
type DocumentPage struct {
	data []byte
	next record.Offset
	err  error
}

// NewDocumentPage returns a document, or nil if there was none, and the offset to read on from.
func NewDocumentPage(data []byte, next record.Offset, err error) DocumentPage {
	return DocumentPage{data: data, next: next, err: err}
}

// Event implements Event.
func (DocumentPage) Event() {}

// Data returns the document, or nil. The receiver must not change it.
func (p DocumentPage) Data() []byte { return p.data }

// Next returns the offset to read on from.
func (p DocumentPage) Next() record.Offset { return p.next }

// Err returns why nothing was read, classed by the errors of package platform.
func (p DocumentPage) Err() error { return p.err }

// VersionNotice tells that its sender holds a version of the routes, and how long ago the store was last known to
// hold no newer one.
type VersionNotice struct {
	round   Round
	version record.Version
	age     time.Duration
}

// Round names one round of news: the reader of the store that began it, and its number.
type Round struct {
	readerHash uint64
	number     uint64
}

// NewRound returns the round of the reader whose place in the order of members is place.
func NewRound(place, number uint64) Round { return Round{readerHash: place, number: number} }

// ReaderHash returns the hash of the reader's address.
func (o Round) ReaderHash() uint64 { return o.readerHash }

// Number returns the number of the round.
func (o Round) Number() uint64 { return o.number }

// NewVersionNotice returns news of a version.
func NewVersionNotice(origin Round, version record.Version, age time.Duration) VersionNotice {
	return VersionNotice{round: origin, version: version, age: age}
}

// PeerMessage implements PeerMessage.
func (VersionNotice) PeerMessage() {}

// Round returns the round that the news belongs to; News that passes on no round has the zero Round.
func (n VersionNotice) Round() Round { return n.round }

// Version returns the version that the sender holds.
func (n VersionNotice) Version() record.Version { return n.version }

// Age returns how long ago the store held no newer one, or a negative time if that is not known.
func (n VersionNotice) Age() time.Duration { return n.age }

// DocumentRequest asks for a version newer than the sender's.
type DocumentRequest struct {
	heldVersion record.Version
}

// NewDocumentRequest returns the request of a node that holds a version, zero if none.
func NewDocumentRequest(held record.Version) DocumentRequest {
	return DocumentRequest{heldVersion: held}
}

// PeerMessage implements PeerMessage.
func (DocumentRequest) PeerMessage() {}

// HeldVersion returns the version that the sender holds.
func (w DocumentRequest) HeldVersion() record.Version { return w.heldVersion }

// Document carries the operator's document, compressed, down the tree or in answer to a Want.
type Document struct {
	notice VersionNotice
	data   []byte
}

// NewDocument returns a document with the news of it. It keeps data.
func NewDocument(news VersionNotice, data []byte) Document { return Document{notice: news, data: data} }

// PeerMessage implements PeerMessage.
func (Document) PeerMessage() {}

// Notice returns the version of the document and the round that it belongs to.
func (d Document) Notice() VersionNotice { return d.notice }

// Data returns the compressed document. The receiver must not change it.
func (d Document) Data() []byte { return d.data }
