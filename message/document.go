package message

import (
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// ReadDocument orders a read of the operator's document. It is answered by exactly one DocumentPage.
type ReadDocument struct {
	newest bool
	from   record.Offset
	wait   time.Duration
}

// NewReadNewest returns the order to read the document that the store holds now.
func NewReadNewest() ReadDocument { return ReadDocument{newest: true} }

// NewReadNext returns the order to read documents from an offset on, waiting up to wait for one.
func NewReadNext(from record.Offset, wait time.Duration) ReadDocument {
	return ReadDocument{from: from, wait: wait}
}

// Action implements Action.
func (ReadDocument) Action() {}

// Newest tells whether the document that the store holds now is wanted, whatever its offset.
func (r ReadDocument) Newest() bool { return r.newest }

// From returns the offset to read from.
func (r ReadDocument) From() record.Offset { return r.from }

// Wait returns how long the store may hold the answer until a document arrives.
func (r ReadDocument) Wait() time.Duration { return r.wait }

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

// News tells that its sender holds a version of the routes, and how long ago the store was last known to
// hold no newer one.
type News struct {
	origin  Origin
	version record.Version
	age     time.Duration
}

// Origin names one round of news: the reader of the store that began it, and its number.
type Origin struct {
	place  uint64
	number uint64
}

// NewOrigin returns the round of the reader whose place in the order of members is place.
func NewOrigin(place, number uint64) Origin { return Origin{place: place, number: number} }

// Place returns the hash of the reader's address.
func (o Origin) Place() uint64 { return o.place }

// Number returns the number of the round.
func (o Origin) Number() uint64 { return o.number }

// NewNews returns news of a version.
func NewNews(origin Origin, version record.Version, age time.Duration) News {
	return News{origin: origin, version: version, age: age}
}

// Peer implements Peer.
func (News) Peer() {}

// Origin returns the round that the news belongs to; News that passes on no round has the zero Origin.
func (n News) Origin() Origin { return n.origin }

// Version returns the version that the sender holds.
func (n News) Version() record.Version { return n.version }

// Age returns how long ago the store held no newer one, or a negative time if that is not known.
func (n News) Age() time.Duration { return n.age }

// Want asks for a version newer than the sender's.
type Want struct {
	held record.Version
}

// NewWant returns the request of a node that holds a version, zero if none.
func NewWant(held record.Version) Want { return Want{held: held} }

// Peer implements Peer.
func (Want) Peer() {}

// Held returns the version that the sender holds.
func (w Want) Held() record.Version { return w.held }

// Document carries the operator's document, compressed, down the tree or in answer to a Want.
type Document struct {
	news News
	data []byte
}

// NewDocument returns a document with the news of it. It keeps data.
func NewDocument(news News, data []byte) Document { return Document{news: news, data: data} }

// Peer implements Peer.
func (Document) Peer() {}

// News returns the version of the document and the round that it belongs to.
func (d Document) News() News { return d.news }

// Data returns the compressed document. The receiver must not change it.
func (d Document) Data() []byte { return d.data }
