package wire

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Codes of the distribution messages.
const (
	codePush      Code = 16
	codeReport    Code = 17
	codePull      Code = 18
	codePullReply Code = 19
)

// Limits of the distribution messages.
const (
	ageUnit       = time.Millisecond
	maxAgeUnits   = 1 << 40
	maxEntries    = 1024
	maxCensuses   = 16
	maxCensusRows = 64
	maxPeers      = 8
	maxReportSize = 4 << 10 // bytes
)

func distributionCodecs() []codec {
	return []codec{
		{code: codePush, sample: message.Push{}, maxSize: MaxFrame, encode: encodePush, decode: decodePush},
		{code: codeReport, sample: message.Report{}, maxSize: maxReportSize, encode: encodeReport, decode: decodeReport},
		{code: codePull, sample: message.Pull{}, maxSize: MaxDatagram, encode: encodePull, decode: decodePull},
		{code: codePullReply, sample: message.PullReply{}, maxSize: MaxFrame, encode: encodePullReply, decode: decodePullReply},
	}
}

type digestWire struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Head    uint64
	Chain   uint64
}

type keyWire struct {
	_           struct{} `cbor:",toarray"`
	Peer        []byte
	Incarnation uint64
}

// entriesWire omits Base and Chain if there are no entries, because they then equal those of the digest.
type entriesWire struct {
	Digest digestWire `cbor:"1,keyasint"`
	Base   uint64     `cbor:"2,keyasint,omitempty"`
	Chain  uint64     `cbor:"3,keyasint,omitempty"`
	Items  [][]byte   `cbor:"4,keyasint,omitempty"`
	Next   uint64     `cbor:"5,keyasint,omitempty"`
	Age    uint64     `cbor:"6,keyasint,omitempty"`
	Flags  uint8      `cbor:"7,keyasint,omitempty"`
	GapEnd uint64     `cbor:"8,keyasint,omitempty"`
}

// Flags of a log status.
const (
	flagKnown uint8 = 1 << iota
	flagReachable
)

// pushWire omits both ends of the span if the span is the whole ring: its end is stored as a complement, which is
// zero at the end of the ring.
type pushWire struct {
	Origin         keyWire      `cbor:"1,keyasint,omitempty"`
	Seq            uint64       `cbor:"2,keyasint"`
	Low            uint64       `cbor:"3,keyasint,omitempty"`
	HighComplement uint64       `cbor:"4,keyasint,omitempty"` // distance of the span's end to the ring's end
	Entries        entriesWire  `cbor:"5,keyasint"`
	Census         []censusWire `cbor:"6,keyasint,omitempty"`
}

type reportWire struct {
	_      struct{} `cbor:",toarray"`
	Origin keyWire
	Seq    uint64
	Digest digestWire
	Census censusWire
}

type pullWire struct {
	_      struct{} `cbor:",toarray"`
	Nonce  uint64
	Digest digestWire
}

type pullReplyWire struct {
	Nonce      uint64      `cbor:"1,keyasint"`
	Serving    bool        `cbor:"2,keyasint,omitempty"`
	Busy       bool        `cbor:"3,keyasint,omitempty"`
	Entries    entriesWire `cbor:"4,keyasint"`
	Checkpoint []byte      `cbor:"5,keyasint,omitempty"`
	Peers      [][]byte    `cbor:"6,keyasint,omitempty"`
}

func toDigest(d message.Digest) digestWire {
	return digestWire{Version: uint64(d.Version()), Head: uint64(d.Head()), Chain: d.Chain()}
}

func (w digestWire) digest() message.Digest {
	return message.NewDigest(record.Version(w.Version), record.Offset(w.Head), w.Chain)
}

func toKey(k member.Key) (keyWire, error) {
	peer, err := k.Peer().MarshalBinary()
	return keyWire{Peer: peer, Incarnation: uint64(k.Incarnation())}, err
}

func (w keyWire) key() (member.Key, error) {
	peer, err := parsePeer(w.Peer)
	return member.NewKey(peer, member.Incarnation(w.Incarnation)), err
}

// toOrigin encodes the origin of a push or a report. The zero Key, which stands for the sender of a push and for the
// receiver of a report, is encoded without an address.
func toOrigin(k member.Key) (keyWire, error) {
	if k == (member.Key{}) {
		return keyWire{}, nil
	}
	return toKey(k)
}

func (w keyWire) origin() (member.Key, error) {
	if len(w.Peer) == 0 && w.Incarnation == 0 {
		return member.Key{}, nil
	}
	return w.key()
}

func toEntries(e message.Entries) entriesWire {
	w := entriesWire{Digest: toDigest(e.Digest())}
	s := e.LogStatus()
	if s.Known() {
		w.Flags |= flagKnown
		w.Next = uint64(s.Next())
		w.Age = uint64(min(max(s.Age()+ageUnit-1, 0)/ageUnit, maxAgeUnits))
	}
	if s.Reachable() {
		w.Flags |= flagReachable
	}
	w.GapEnd = uint64(s.GapEnd())
	if len(e.Items()) == 0 {
		return w
	}
	w.Base, w.Chain = uint64(e.Base()), e.Chain()
	for _, item := range e.Items() {
		w.Items = append(w.Items, item.Data())
	}
	return w
}

func (w entriesWire) entries() (message.Entries, error) {
	if w.Age > maxAgeUnits || len(w.Items) > maxEntries || w.Base > 1<<62 {
		return message.Entries{}, errFieldRange
	}
	s := message.NewUnknownLogStatus(w.Flags&flagReachable != 0)
	if w.Flags&flagKnown != 0 {
		s = message.NewLogStatus(record.Offset(w.Next), time.Duration(w.Age)*ageUnit, w.Flags&flagReachable != 0)
	}
	s = s.WithGapEnd(record.Offset(w.GapEnd))
	if len(w.Items) == 0 {
		return message.NewEntries(record.Offset(w.Digest.Head), w.Digest.Chain, nil, w.Digest.digest(), s), nil
	}
	items := make([]record.Entry, len(w.Items))
	for i, data := range w.Items {
		items[i] = record.NewEntry(record.Offset(w.Base)+record.Offset(i), data)
	}
	return message.NewEntries(record.Offset(w.Base), w.Chain, items, w.Digest.digest(), s), nil
}

func encodePush(body message.PeerMessage) ([]byte, error) {
	p := body.(message.Push)
	origin, err := toOrigin(p.Origin())
	if err != nil {
		return nil, err
	}
	w := pushWire{Origin: origin, Seq: p.Seq(), Low: p.Span().Low(), HighComplement: ^p.Span().High(), Entries: toEntries(p.Entries())}
	for _, c := range p.Census() {
		row, err := toCensus(c)
		if err != nil {
			return nil, err
		}
		w.Census = append(w.Census, row)
	}
	return cbor.Marshal(w)
}

func decodePush(data []byte) (message.PeerMessage, error) {
	var w pushWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	if len(w.Census) > maxCensuses {
		return nil, errFieldRange
	}
	origin, err := w.Origin.origin()
	if err != nil {
		return nil, err
	}
	entries, err := w.Entries.entries()
	if err != nil {
		return nil, err
	}
	var censuses []message.Census
	for _, row := range w.Census {
		c, err := row.census()
		if err != nil {
			return nil, err
		}
		censuses = append(censuses, c)
	}
	return message.NewPush(origin, w.Seq, message.NewSpan(w.Low, ^w.HighComplement), entries, censuses), nil
}

func encodeReport(body message.PeerMessage) ([]byte, error) {
	r := body.(message.Report)
	origin, err := toOrigin(r.Origin())
	if err != nil {
		return nil, err
	}
	census, err := toCensus(r.Census())
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reportWire{Origin: origin, Seq: r.Seq(), Digest: toDigest(r.Digest()), Census: census})
}

func decodeReport(data []byte) (message.PeerMessage, error) {
	var w reportWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	origin, err := w.Origin.origin()
	if err != nil {
		return nil, err
	}
	census, err := w.Census.census()
	return message.NewReport(origin, w.Seq, w.Digest.digest(), census), err
}

func encodePull(body message.PeerMessage) ([]byte, error) {
	p := body.(message.Pull)
	return cbor.Marshal(pullWire{Nonce: p.Nonce(), Digest: toDigest(p.Digest())})
}

func decodePull(data []byte) (message.PeerMessage, error) {
	var w pullWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return message.NewPull(w.Nonce, w.Digest.digest()), nil
}

func encodePullReply(body message.PeerMessage) ([]byte, error) {
	a := body.(message.PullReply)
	w := pullReplyWire{Nonce: a.Nonce(), Serving: a.Serving(), Busy: a.Busy(), Entries: toEntries(a.Entries()), Checkpoint: a.Checkpoint()}
	for _, p := range a.Peers() {
		peer, err := p.MarshalBinary()
		if err != nil {
			return nil, err
		}
		w.Peers = append(w.Peers, peer)
	}
	return cbor.Marshal(w)
}

func decodePullReply(data []byte) (message.PeerMessage, error) {
	var w pullReplyWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	entries, err := w.Entries.entries()
	if err != nil {
		return nil, err
	}
	peers, err := parsePeers(w.Peers)
	if err != nil {
		return nil, err
	}
	a := message.NewPullReply(w.Nonce, w.Serving, entries)
	if len(w.Checkpoint) > 0 {
		a = a.WithCheckpoint(w.Checkpoint)
	}
	if w.Busy {
		a = a.WithBusy()
	}
	return a.WithPeers(peers), nil
}

func parsePeers(list [][]byte) ([]netip.AddrPort, error) {
	if len(list) > maxPeers {
		return nil, errFieldRange
	}
	var peers []netip.AddrPort
	for _, data := range list {
		peer, err := parsePeer(data)
		if err != nil {
			return nil, err
		}
		peers = append(peers, peer)
	}
	return peers, nil
}
