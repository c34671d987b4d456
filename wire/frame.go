// Package wire maps peer messages to frames and back. A frame starts with the hash of the fleet's
// name, the protocol version, the code of the message type and the sender's key, so that a frame of
// another fleet or protocol is refused before its body is looked at.
//
// Each family of messages has a file with a function that lists its codecs; registry joins them.
package wire

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Protocol is the version of the frame and of the messages in it. Nodes talk to equals only.
const Protocol = 1

// Limits of frames, in bytes.
const (
	// MaxFrame bounds a frame on a stream.
	MaxFrame = 4 << 20
	// MaxDatagram bounds a frame in a datagram, so that no network on the way splits it.
	MaxDatagram = 1200
)

// Why a frame was refused. All errors of Decode match one of them by errors.Is.
var (
	// ErrFleet: the frame belongs to another fleet, or is no frame at all.
	ErrFleet = errors.New("frame of another fleet")
	// ErrProtocol: the sender speaks another protocol version, or an unknown message type.
	ErrProtocol = errors.New("unknown protocol or message type")
	// ErrSize: the frame exceeds the limit of its message type.
	ErrSize = errors.New("frame too large")
	// ErrMalformed: the content cannot be read.
	ErrMalformed = errors.New("malformed frame")
)

// ErrorClass returns a short name of the class of an error of Decode, for counters.
func ErrorClass(err error) string {
	switch {
	case err == nil:
		return "none"
	case errors.Is(err, ErrFleet):
		return "fleet"
	case errors.Is(err, ErrProtocol):
		return "protocol"
	case errors.Is(err, ErrSize):
		return "size"
	case errors.Is(err, ErrMalformed):
		return "malformed"
	}
	return "other"
}

// Code is the number of a message type in frames. Numbers are never reused.
type Code byte

// codec maps one message type.
type codec struct {
	code   Code
	sample message.PeerMessage
	limit  int // bytes of a whole frame
	encode func(body message.PeerMessage) ([]byte, error)
	decode func(data []byte) (message.PeerMessage, error)
}

// registry holds all message types. A new family adds its list here.
var registry = newCodecs(
	membershipCodecs(),
	distributionCodecs(),
	documentCodecs(),
)

type codecs struct {
	byCode map[Code]codec
	byType map[reflect.Type]codec
}

func newCodecs(families ...[]codec) codecs {
	r := codecs{byCode: make(map[Code]codec), byType: make(map[reflect.Type]codec)}
	for _, family := range families {
		for _, c := range family {
			if _, taken := r.byCode[c.code]; taken {
				panic("wire: message code registered twice")
			}
			r.byCode[c.code] = c
			r.byType[reflect.TypeOf(c.sample)] = c
		}
	}
	return r
}

// Offsets in the header, in bytes: fleet hash, protocol, code, incarnation, length of the address.
const (
	protocolAt    = 8
	codeAt        = 9
	incarnationAt = 10
	addressLenAt  = 18
	addressAt     = 19
)

// Encode returns the frame that carries body from a node process to another one of the same fleet.
func Encode(fleet string, from member.Key, body message.PeerMessage) ([]byte, error) {
	c, ok := registry.byType[reflect.TypeOf(body)]
	if !ok {
		return nil, oops.In("wire.encode").Wrapf(ErrProtocol, "message %T", body)
	}
	data, err := c.encode(body)
	if err != nil {
		return nil, oops.In("wire.encode").Wrapf(err, "message %T", body)
	}
	frame, err := header(fleet, from, c.code, len(data))
	if err != nil {
		return nil, err
	}
	frame = append(frame, data...)
	if len(frame) > c.limit {
		return nil, oops.In("wire.encode").Wrapf(ErrSize, "message %T of %d bytes", body, len(frame))
	}
	return frame, nil
}

func header(fleet string, from member.Key, code Code, room int) ([]byte, error) {
	peer, err := from.Peer().MarshalBinary()
	if err != nil {
		return nil, oops.In("wire.encode").Wrapf(ErrMalformed, "sender address: %v", err)
	}
	frame := make([]byte, addressAt, addressAt+len(peer)+room)
	binary.BigEndian.PutUint64(frame, xxhash.Sum64String(fleet))
	frame[protocolAt] = Protocol
	frame[codeAt] = byte(code)
	binary.BigEndian.PutUint64(frame[incarnationAt:], uint64(from.Incarnation()))
	frame[addressLenAt] = byte(len(peer))
	return append(frame, peer...), nil
}

// Decode returns the message in a frame, if it belongs to the fleet. The envelope does not share
// memory with the frame.
func Decode(fleet string, frame []byte) (message.Envelope, error) {
	if len(frame) > MaxFrame {
		return refuse(ErrSize, "frame of %d bytes", len(frame))
	}
	if len(frame) < addressAt {
		return refuse(ErrMalformed, "frame of %d bytes", len(frame))
	}
	if binary.BigEndian.Uint64(frame) != xxhash.Sum64String(fleet) {
		return refuse(ErrFleet, "want %s", fleet)
	}
	if frame[protocolAt] != Protocol {
		return refuse(ErrProtocol, "protocol %d", frame[protocolAt])
	}
	c, ok := registry.byCode[Code(frame[codeAt])]
	if !ok {
		return refuse(ErrProtocol, "message code %d", frame[codeAt])
	}
	if len(frame) > c.limit {
		return refuse(ErrSize, "message code %d of %d bytes", c.code, len(frame))
	}
	return open(c, frame)
}

func open(c codec, frame []byte) (message.Envelope, error) {
	end := addressAt + int(frame[addressLenAt])
	if len(frame) < end {
		return refuse(ErrMalformed, "frame of %d bytes ends in the header", len(frame))
	}
	peer, err := parsePeer(frame[addressAt:end])
	if err != nil {
		return refuse(ErrMalformed, "sender address: %v", err)
	}
	body, err := c.decode(frame[end:])
	if err != nil {
		return refuse(ErrMalformed, "message code %d: %v", c.code, err)
	}
	incarnation := member.Incarnation(binary.BigEndian.Uint64(frame[incarnationAt:]))
	return message.NewEnvelope(member.NewKey(peer, incarnation), body), nil
}

func refuse(class error, format string, args ...any) (message.Envelope, error) {
	return message.Envelope{}, oops.In("wire.decode").Wrapf(class, format, args...)
}

// parsePeer reads an address in the form of AddrPort.MarshalBinary. Zones are refused: they name an
// interface of one machine and mean nothing on another.
func parsePeer(data []byte) (netip.AddrPort, error) {
	var peer netip.AddrPort
	if err := peer.UnmarshalBinary(data); err != nil {
		return peer, err
	}
	if !peer.IsValid() || peer.Addr().Zone() != "" || peer.Port() == 0 {
		return peer, errors.New("not a peer address")
	}
	return peer, nil
}
