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
		{code: codeNews, sample: message.VersionNotice{}, limit: MaxDatagram, encode: encodeNews, decode: decodeNews},
		{code: codeWant, sample: message.DocumentRequest{}, limit: MaxDatagram, encode: encodeWant, decode: decodeWant},
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

func toNews(n message.VersionNotice) newsWire {
	w := newsWire{Place: n.Round().ReaderHash(), Number: n.Round().Number(), Version: uint64(n.Version())}
	if n.Age() >= 0 {
		w.Age = uint64(n.Age()/ageUnit) + 1
	}
	return w
}

func (w newsWire) news() message.VersionNotice {
	age := time.Duration(-1)
	if w.Age > 0 {
		age = time.Duration(min(w.Age-1, maxAgeUnits)) * ageUnit
	}
	return message.NewVersionNotice(message.NewRound(w.Place, w.Number), record.Version(w.Version), age)
}

func encodeNews(body message.PeerMessage) ([]byte, error) {
	n, _ := body.(message.VersionNotice)
	return cbor.Marshal(toNews(n))
}

func decodeNews(data []byte) (message.PeerMessage, error) {
	var w newsWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return w.news(), nil
}

func encodeWant(body message.PeerMessage) ([]byte, error) {
	w, _ := body.(message.DocumentRequest)
	return cbor.Marshal(uint64(w.HeldVersion()))
}

func decodeWant(data []byte) (message.PeerMessage, error) {
	var held uint64
	if err := cbor.Unmarshal(data, &held); err != nil {
		return nil, err
	}
	return message.NewDocumentRequest(record.Version(held)), nil
}

func encodeDocument(body message.PeerMessage) ([]byte, error) {
	d, _ := body.(message.Document)
	return cbor.Marshal(documentWire{News: toNews(d.Notice()), Data: d.Data()})
}

func decodeDocument(data []byte) (message.PeerMessage, error) {
	var w documentWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return message.NewDocument(w.News.news(), w.Data), nil
}
