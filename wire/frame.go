// Package wire encodes messages between nodes as frames and decodes them. A frame starts with the hash of the
// fleet's name, the protocol version, the code of the message type and the sender's key, so that a frame of another
// fleet or protocol is refused before its body is decoded.
//
// Each family of messages has a file with a function that lists its codecs. registry contains all of them.
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

// ProtocolVersion is the version of the frame and of the messages in it. Nodes refuse frames of any other version.
const ProtocolVersion = 1

// Limits of frames, in bytes.
const (
	// MaxFrame is the largest frame on a stream.
	MaxFrame = 4 << 20
	// MaxDatagram is the largest frame in a datagram. It is small enough that no network on the way fragments it.
	MaxDatagram = 1200
)

// Classes of errors of Decode. Each error of Decode matches one of them with errors.Is.
var (
	// ErrFleet: the frame belongs to another fleet, or the data is not a frame.
	ErrFleet = errors.New("frame belongs to another fleet")
	// ErrProtocol: the protocol version or the message type is unknown.
	ErrProtocol = errors.New("unknown protocol version or message type")
	// ErrSize: the frame exceeds the limit of its message type.
	ErrSize = errors.New("frame too large")
	// ErrMalformed: the content cannot be decoded.
	ErrMalformed = errors.New("malformed frame")
)

// ErrorClass returns the short name of the class of an error of Decode, for the labels of counters.
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

// codec encodes and decodes one message type.
type codec struct {
	code    Code
	sample  message.PeerMessage
	maxSize int // bytes of a whole frame
	encode  func(body message.PeerMessage) ([]byte, error)
	decode  func(data []byte) (message.PeerMessage, error)
}

// registry holds the codecs of all message types. A new family adds its list here.
var registry = newCodecRegistry(
	membershipCodecs(),
	distributionCodecs(),
	documentCodecs(),
	quarantineCodecs(),
	quotaCodecs(),
	rolloutCodecs(),
)

type codecRegistry struct {
	byCode map[Code]codec
	byType map[reflect.Type]codec
}

func newCodecRegistry(families ...[]codec) codecRegistry {
	r := codecRegistry{byCode: make(map[Code]codec), byType: make(map[reflect.Type]codec)}
	for _, family := range families {
		for _, c := range family {
			if _, registered := r.byCode[c.code]; registered {
				panic("wire: message code registered twice")
			}
			r.byCode[c.code] = c
			r.byType[reflect.TypeOf(c.sample)] = c
		}
	}
	return r
}

// Offsets of the header fields, in bytes. The hash of the fleet's name is at offset 0.
const (
	protocolOffset    = 8
	codeOffset        = 9
	incarnationOffset = 10
	addressLenOffset  = 18
	addressOffset     = 19
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
	frame, err := newHeader(fleet, from, c.code, len(data))
	if err != nil {
		return nil, err
	}
	frame = append(frame, data...)
	if len(frame) > c.maxSize {
		return nil, oops.In("wire.encode").Wrapf(ErrSize, "message %T in a frame of %d bytes", body, len(frame))
	}
	return frame, nil
}

func newHeader(fleet string, from member.Key, code Code, bodySize int) ([]byte, error) {
	peer, err := from.Peer().MarshalBinary()
	if err != nil {
		return nil, oops.In("wire.encode").Wrapf(ErrMalformed, "sender address: %v", err)
	}
	frame := make([]byte, addressOffset, addressOffset+len(peer)+bodySize)
	binary.BigEndian.PutUint64(frame, xxhash.Sum64String(fleet))
	frame[protocolOffset] = ProtocolVersion
	frame[codeOffset] = byte(code)
	binary.BigEndian.PutUint64(frame[incarnationOffset:], uint64(from.Incarnation()))
	frame[addressLenOffset] = byte(len(peer))
	return append(frame, peer...), nil
}

// Decode returns the message in a frame of the fleet. The envelope does not share memory with the frame.
func Decode(fleet string, frame []byte) (message.Envelope, error) {
	if len(frame) > MaxFrame {
		return decodeError(ErrSize, "frame of %d bytes", len(frame))
	}
	if len(frame) < addressOffset {
		return decodeError(ErrMalformed, "frame of %d bytes is shorter than the header", len(frame))
	}
	if binary.BigEndian.Uint64(frame) != xxhash.Sum64String(fleet) {
		return decodeError(ErrFleet, "want fleet %s", fleet)
	}
	if frame[protocolOffset] != ProtocolVersion {
		return decodeError(ErrProtocol, "protocol version %d", frame[protocolOffset])
	}
	c, ok := registry.byCode[Code(frame[codeOffset])]
	if !ok {
		return decodeError(ErrProtocol, "message code %d", frame[codeOffset])
	}
	if len(frame) > c.maxSize {
		return decodeError(ErrSize, "message code %d in a frame of %d bytes", c.code, len(frame))
	}
	return decodeBody(c, frame)
}

func decodeBody(c codec, frame []byte) (message.Envelope, error) {
	end := addressOffset + int(frame[addressLenOffset])
	if len(frame) < end {
		return decodeError(ErrMalformed, "frame of %d bytes ends within the sender address", len(frame))
	}
	peer, err := parsePeer(frame[addressOffset:end])
	if err != nil {
		return decodeError(ErrMalformed, "sender address: %v", err)
	}
	body, err := c.decode(frame[end:])
	if err != nil {
		return decodeError(ErrMalformed, "message code %d: %v", c.code, err)
	}
	incarnation := member.Incarnation(binary.BigEndian.Uint64(frame[incarnationOffset:]))
	return message.NewEnvelope(member.NewKey(peer, incarnation), body), nil
}

func decodeError(class error, format string, args ...any) (message.Envelope, error) {
	return message.Envelope{}, oops.In("wire.decode").Wrapf(class, format, args...)
}

// parsePeer decodes an address in the format of AddrPort.MarshalBinary. It refuses addresses with an IPv6 zone,
// because a zone names a network interface of one machine and is meaningless on another.
func parsePeer(data []byte) (netip.AddrPort, error) {
	var peer netip.AddrPort
	if err := peer.UnmarshalBinary(data); err != nil {
		return peer, err
	}
	if !peer.IsValid() || peer.Addr().Zone() != "" || peer.Port() == 0 {
		return peer, errors.New("invalid peer address: want an IP address without a zone and a port other than 0")
	}
	return peer, nil
}
