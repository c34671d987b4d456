package wire

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Codes of the membership messages.
const (
	codePing       Code = 1
	codeAck        Code = 2
	codePingReq    Code = 3
	codePingReqAck Code = 4
	codeClaims     Code = 5
	codeSyncReq    Code = 6
)

// contactUnit is the unit of contact ages on the wire. Ages are rounded up, so that a contact never looks more
// recent than it is.
const contactUnit = 100 * time.Millisecond

// maxContactUnits is the largest contact age on the wire, about 3.4 years.
const maxContactUnits = 1 << 30

var errFieldRange = errors.New("field out of range")

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 8, MaxArrayElements: MaxDatagram, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func membershipCodecs() []codec {
	return []codec{
		{code: codePing, sample: message.Ping{}, maxSize: MaxDatagram, encode: encodePing, decode: decodePing},
		{code: codeAck, sample: message.Ack{}, maxSize: MaxDatagram, encode: encodeAck, decode: decodeAck},
		{code: codePingReq, sample: message.PingReq{}, maxSize: MaxDatagram, encode: encodePingReq, decode: decodePingReq},
		{code: codePingReqAck, sample: message.PingReqAck{}, maxSize: MaxDatagram, encode: encodePingReqAck, decode: decodePingReqAck},
		{code: codeClaims, sample: message.Claims{}, maxSize: MaxDatagram, encode: encodeClaims, decode: decodeClaims},
		{code: codeSyncReq, sample: message.SyncReq{}, maxSize: MaxDatagram, encode: encodeSyncReq, decode: decodeSyncReq},
	}
}

type probeWire struct {
	Seq        uint32       `cbor:"1,keyasint"`
	Version    uint64       `cbor:"2,keyasint,omitempty"`
	Head       uint64       `cbor:"3,keyasint,omitempty"`
	Chain      uint64       `cbor:"4,keyasint,omitempty"`
	View       uint64       `cbor:"5,keyasint,omitempty"`
	Contacts   []contactRow `cbor:"6,keyasint,omitempty"`
	Claims     *claimsWire  `cbor:"7,keyasint,omitempty"`
	Quarantine uint64       `cbor:"8,keyasint,omitempty"`
	Rollouts   uint64       `cbor:"9,keyasint,omitempty"`
}

type contactRow struct {
	_      struct{} `cbor:",toarray"`
	Region string
	Units  uint32
}

type targetWire struct {
	Seq         uint32 `cbor:"1,keyasint"`
	Peer        []byte `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

type syncWire struct {
	Mode   uint8       `cbor:"1,keyasint"`
	Hashes []byte      `cbor:"2,keyasint"`
	Claims *claimsWire `cbor:"3,keyasint,omitempty"`
}

func encodePing(body message.PeerMessage) ([]byte, error) {
	p := body.(message.Ping)
	return encodeProbe(p.Seq(), p.Summary(), p.Claims())
}

func decodePing(data []byte) (message.PeerMessage, error) {
	seq, summary, claims, err := decodeProbe(data)
	return message.NewPing(seq, summary, claims), err
}

func encodeAck(body message.PeerMessage) ([]byte, error) {
	a := body.(message.Ack)
	return encodeProbe(a.Seq(), a.Summary(), a.Claims())
}

func decodeAck(data []byte) (message.PeerMessage, error) {
	seq, summary, claims, err := decodeProbe(data)
	return message.NewAck(seq, summary, claims), err
}

func encodeProbe(seq uint32, s message.Summary, members []member.Member) ([]byte, error) {
	claims, err := toClaims(members)
	if err != nil {
		return nil, err
	}
	d := s.Digest()
	w := probeWire{
		Seq: seq, Version: uint64(d.Version()), Head: uint64(d.Head()), Chain: d.Chain(),
		View: s.ViewHash(), Contacts: toContacts(s.Contacts()), Claims: claims, Quarantine: s.Quarantine(), Rollouts: s.Rollouts(),
	}
	return cbor.Marshal(w)
}

func decodeProbe(data []byte) (uint32, message.Summary, []member.Member, error) {
	var w probeWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return 0, message.Summary{}, nil, err
	}
	contacts, err := fromContacts(w.Contacts)
	if err != nil {
		return 0, message.Summary{}, nil, err
	}
	claims, err := fromClaims(w.Claims)
	digest := message.NewDigest(record.Version(w.Version), record.Offset(w.Head), w.Chain)
	return w.Seq, message.NewSummary(digest, w.View, contacts).WithQuarantine(w.Quarantine).WithRollouts(w.Rollouts), claims, err
}

func toContacts(contacts []message.Contact) []contactRow {
	rows := make([]contactRow, 0, len(contacts))
	for _, c := range contacts {
		units := (c.Age() + contactUnit - 1) / contactUnit
		rows = append(rows, contactRow{Region: string(c.Region()), Units: uint32(min(max(units, 0), maxContactUnits))})
	}
	return rows
}

func fromContacts(rows []contactRow) ([]message.Contact, error) {
	var contacts []message.Contact
	for _, r := range rows {
		if len(r.Region) > message.MaxNameBytes || r.Units > maxContactUnits {
			return nil, errFieldRange
		}
		contacts = append(contacts, message.NewContact(member.Region(r.Region), time.Duration(r.Units)*contactUnit))
	}
	return contacts, nil
}

func encodePingReq(body message.PeerMessage) ([]byte, error) {
	p := body.(message.PingReq)
	return encodeTarget(p.Seq(), p.Target())
}

func decodePingReq(data []byte) (message.PeerMessage, error) {
	seq, target, err := decodeTarget(data)
	return message.NewPingReq(seq, target), err
}

func encodePingReqAck(body message.PeerMessage) ([]byte, error) {
	p := body.(message.PingReqAck)
	return encodeTarget(p.Seq(), p.Target())
}

func decodePingReqAck(data []byte) (message.PeerMessage, error) {
	seq, target, err := decodeTarget(data)
	return message.NewPingReqAck(seq, target), err
}

func encodeTarget(seq uint32, target member.Key) ([]byte, error) {
	peer, err := target.Peer().MarshalBinary()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(targetWire{Seq: seq, Peer: peer, Incarnation: uint64(target.Incarnation())})
}

func decodeTarget(data []byte) (uint32, member.Key, error) {
	var w targetWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return 0, member.Key{}, err
	}
	peer, err := parsePeer(w.Peer)
	return w.Seq, member.NewKey(peer, member.Incarnation(w.Incarnation)), err
}

func encodeClaims(body message.PeerMessage) ([]byte, error) {
	w, err := toClaims(body.(message.Claims).Claims())
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(w)
}

func decodeClaims(data []byte) (message.PeerMessage, error) {
	var w *claimsWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	claims, err := fromClaims(w)
	return message.NewClaims(claims), err
}

// bucketHashSize is the size of the hash of one bucket, in bytes.
const bucketHashSize = 4

func encodeSyncReq(body message.PeerMessage) ([]byte, error) {
	s := body.(message.SyncReq)
	claims, err := toClaims(s.Claims())
	if err != nil {
		return nil, err
	}
	hashes := make([]byte, 0, message.SyncBuckets*bucketHashSize)
	for _, h := range s.Hashes() {
		hashes = binary.BigEndian.AppendUint32(hashes, h)
	}
	return cbor.Marshal(syncWire{Mode: uint8(s.Mode()), Hashes: hashes, Claims: claims})
}

func decodeSyncReq(data []byte) (message.PeerMessage, error) {
	var w syncWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	mode := message.SyncMode(w.Mode)
	if len(w.Hashes) != message.SyncBuckets*bucketHashSize || mode < message.SyncCompare || mode > message.SyncReply {
		return nil, errFieldRange
	}
	var hashes [message.SyncBuckets]uint32
	for i := range hashes {
		hashes[i] = binary.BigEndian.Uint32(w.Hashes[i*bucketHashSize:])
	}
	claims, err := fromClaims(w.Claims)
	return message.NewSyncReq(mode, hashes, claims), err
}
