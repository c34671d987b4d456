package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Codes of the messages about the operator's document.
const (
	codeNews     Code = 32
	codeWant     Code = 33
	codeDocument Code = 34
)

func documentCodecs() []codec {
	return []codec{
		{code: codeNews, sample: message.News{}, limit: MaxDatagram, encode: encodeNews, decode: decodeNews},
		{code: codeWant, sample: message.Want{}, limit: MaxDatagram, encode: encodeWant, decode: decodeWant},
		{code: codeDocument, sample: message.Document{}, limit: MaxFrame, encode: encodeDocument, decode: decodeDocument},
	}
}

// newsWire counts the age from one, zero standing for an age that is not known.
type newsWire struct {
	_       struct{} `cbor:",toarray"`
	Place   uint64
	Number  uint64
	Version uint64
	Age     uint64
}

type documentWire struct {
	_    struct{} `cbor:",toarray"`
	News newsWire
	Data []byte
}

func toNews(n message.News) newsWire {
	w := newsWire{Place: n.Origin().Place(), Number: n.Origin().Number(), Version: uint64(n.Version())}
	if n.Age() >= 0 {
		w.Age = uint64(n.Age()/ageUnit) + 1
	}
	return w
}

func (w newsWire) news() message.News {
	age := time.Duration(-1)
	if w.Age > 0 {
		age = time.Duration(min(w.Age-1, maxAgeUnits)) * ageUnit
	}
	return message.NewNews(message.NewOrigin(w.Place, w.Number), record.Version(w.Version), age)
}

func encodeNews(body message.Peer) ([]byte, error) {
	n, _ := body.(message.News)
	return cbor.Marshal(toNews(n))
}

func decodeNews(data []byte) (message.Peer, error) {
	var w newsWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return w.news(), nil
}

func encodeWant(body message.Peer) ([]byte, error) {
	w, _ := body.(message.Want)
	return cbor.Marshal(uint64(w.Held()))
}

func decodeWant(data []byte) (message.Peer, error) {
	var held uint64
	if err := cbor.Unmarshal(data, &held); err != nil {
		return nil, err
	}
	return message.NewWant(record.Version(held)), nil
}

func encodeDocument(body message.Peer) ([]byte, error) {
	d, _ := body.(message.Document)
	return cbor.Marshal(documentWire{News: toNews(d.News()), Data: d.Data()})
}

func decodeDocument(data []byte) (message.Peer, error) {
	var w documentWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return message.NewDocument(w.News.news(), w.Data), nil
}
