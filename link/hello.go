// Package link carries frames and forwarded calls between nodes: datagrams over UDP, and streams over
// TCP on the same port. Every TCP connection opens with a hello that is checked before anything else is
// read, so that a node of another fleet, another protocol version or a stray client changes nothing.
package link

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
)

// ProtocolVersion is the version of the protocol between nodes.
const ProtocolVersion uint16 = 1

// Errors of a refused hello.
var (
	ErrNoHello  = errors.New("connection does not open with a hello")
	ErrWrongFleet    = errors.New("peer belongs to another fleet")
	ErrWrongProtocol = errors.New("peer speaks another protocol version")
	ErrUnknownPurpose  = errors.New("peer asks for an unknown purpose")
)

// purpose says what a connection is for.
type purpose uint8

const (
	purposeFrames purpose = iota + 1
	purposeCalls
)

const (
	helloMagic   uint32 = 0x626b6e31
	helloSize           = 4 + 2 + 1 + 8 // magic, protocol, purpose, fleet hash
	helloTimeout        = 2 * time.Second
)

// verdict is the one byte that answers a hello.
type verdict uint8

const (
	verdictWelcome verdict = iota + 1
	verdictFleet
	verdictProtocol
	verdictPurpose
)

func (v verdict) err() error {
	switch v {
	case verdictWelcome:
		return nil
	case verdictFleet:
		return ErrWrongFleet
	case verdictProtocol:
		return ErrWrongProtocol
	case verdictPurpose:
		return ErrUnknownPurpose
	}
	return ErrNoHello
}

func encodeHello(fleet string, p purpose) []byte {
	hello := make([]byte, 0, helloSize)
	hello = binary.BigEndian.AppendUint32(hello, helloMagic)
	hello = binary.BigEndian.AppendUint16(hello, ProtocolVersion)
	hello = append(hello, byte(p))
	return binary.BigEndian.AppendUint64(hello, xxhash.Sum64String(fleet))
}

func checkHello(fleet string, hello []byte) (purpose, verdict, error) {
	if len(hello) != helloSize || binary.BigEndian.Uint32(hello) != helloMagic {
		return 0, 0, ErrNoHello
	}
	if binary.BigEndian.Uint16(hello[4:]) != ProtocolVersion {
		return 0, verdictProtocol, ErrWrongProtocol
	}
	if binary.BigEndian.Uint64(hello[7:]) != xxhash.Sum64String(fleet) {
		return 0, verdictFleet, ErrWrongFleet
	}
	p := purpose(hello[6])
	if p != purposeFrames && p != purposeCalls {
		return 0, verdictPurpose, ErrUnknownPurpose
	}
	return p, verdictWelcome, nil
}

// welcome reads and answers the hello of an accepted connection.
func welcome(conn net.Conn, fleet string) (purpose, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return 0, oops.In("link.hello").With("peer", conn.RemoteAddr()).Wrap(err)
	}
	hello := make([]byte, helloSize)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return 0, oops.In("link.hello").With("peer", conn.RemoteAddr()).Wrap(ErrNoHello)
	}
	p, v, err := checkHello(fleet, hello)
	if v != 0 {
		_, _ = conn.Write([]byte{byte(v)})
	}
	if err != nil {
		return 0, oops.In("link.hello").With("peer", conn.RemoteAddr()).Wrap(err)
	}
	return p, conn.SetDeadline(time.Time{})
}

// introduce sends the hello on a dialled connection and reads the verdict.
func introduce(conn net.Conn, fleet string, p purpose, peer netip.AddrPort) error {
	fail := func(err error) error { return oops.In("link.hello").With("peer", peer).Wrap(err) }
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fail(err)
	}
	if _, err := conn.Write(encodeHello(fleet, p)); err != nil {
		return fail(err)
	}
	answer := make([]byte, 1)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return fail(err)
	}
	if err := verdict(answer[0]).err(); err != nil {
		return fail(err)
	}
	return conn.SetDeadline(time.Time{})
}
