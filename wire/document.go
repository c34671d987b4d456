package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Codes of the messages about the operator's document.
const (
	codeVersionNotice   Code = 32
	codeDocumentRequest Code = 33
	codeDocument        Code = 34
)

func documentCodecs() []codec {
	return []codec{
		{code: codeVersionNotice, sample: message.VersionNotice{}, maxSize: MaxDatagram, encode: encodeVersionNotice, decode: decodeVersionNotice},
		{code: codeDocumentRequest, sample: message.DocumentRequest{}, maxSize: MaxDatagram, encode: encodeDocumentRequest, decode: decodeDocumentRequest},
		{code: codeDocument, sample: message.Document{}, maxSize: MaxFrame, encode: encodeDocument, decode: decodeDocument},
	}
}

// noticeWire stores the age in units of ageUnit plus one. Zero stands for an unknown age.
type noticeWire struct {
	_          struct{} `cbor:",toarray"`
	ReaderHash uint64
	Round      uint64
	Version    uint64
	Age        uint64
}

type documentWire struct {
	_      struct{} `cbor:",toarray"`
	Notice noticeWire
	Data   []byte
}

func toNotice(n message.VersionNotice) noticeWire {
	w := noticeWire{ReaderHash: n.Round().ReaderHash(), Round: n.Round().Number(), Version: uint64(n.Version())}
	if n.Age() >= 0 {
		w.Age = uint64(n.Age()/ageUnit) + 1
	}
	return w
}

func (w noticeWire) notice() message.VersionNotice {
	age := time.Duration(-1)
	if w.Age > 0 {
		age = time.Duration(min(w.Age-1, maxAgeUnits)) * ageUnit
	}
	return message.NewVersionNotice(message.NewRound(w.ReaderHash, w.Round), record.Version(w.Version), age)
}

func encodeVersionNotice(body message.PeerMessage) ([]byte, error) {
	n, _ := body.(message.VersionNotice)
	return cbor.Marshal(toNotice(n))
}

func decodeVersionNotice(data []byte) (message.PeerMessage, error) {
	var w noticeWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return w.notice(), nil
}

func encodeDocumentRequest(body message.PeerMessage) ([]byte, error) {
	w, _ := body.(message.DocumentRequest)
	return cbor.Marshal(uint64(w.HeldVersion()))
}

func decodeDocumentRequest(data []byte) (message.PeerMessage, error) {
	var version uint64
	if err := cbor.Unmarshal(data, &version); err != nil {
		return nil, err
	}
	return message.NewDocumentRequest(record.Version(version)), nil
}

func encodeDocument(body message.PeerMessage) ([]byte, error) {
	d, _ := body.(message.Document)
	return cbor.Marshal(documentWire{Notice: toNotice(d.Notice()), Data: d.Data()})
}

func decodeDocument(data []byte) (message.PeerMessage, error) {
	var w documentWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return message.NewDocument(w.Notice.notice(), w.Data), nil
}
