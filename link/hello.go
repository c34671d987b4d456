// Package link carries frames and forwarded calls between nodes, as datagrams over UDP and as streams over TCP on the
// same port. Every TCP connection starts with a hello that is checked before anything else is read, so that a node of
// another fleet or protocol version, or an unrelated client, has no effect.
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

// ProtocolVersion is the version of the protocol on TCP connections between nodes. The frames that they carry have a
// version of their own, wire.ProtocolVersion.
const ProtocolVersion uint16 = 1

// Reasons for refusing a hello.
var (
	ErrNoHello        = errors.New("connection does not start with a hello")
	ErrWrongFleet     = errors.New("peer belongs to another fleet")
	ErrWrongProtocol  = errors.New("peer speaks another protocol version")
	ErrUnknownPurpose = errors.New("connection purpose is unknown")
)

// purpose is the kind of traffic that a connection carries.
type purpose uint8

const (
	purposeFrames purpose = iota + 1
	purposeCalls
)

const (
	helloMagic   uint32 = 0x626b6e31
	helloSize           = 4 + 2 + 1 + 8 // magic number, protocol version, purpose, hash of the fleet name
	helloTimeout        = 2 * time.Second
)

// helloReply is the byte that answers a hello. A client that sends no valid hello gets no reply.
type helloReply uint8

const (
	replyAccepted helloReply = iota + 1
	replyWrongFleet
	replyWrongProtocol
	replyUnknownPurpose
)

func (r helloReply) err() error {
	switch r {
	case replyAccepted:
		return nil
	case replyWrongFleet:
		return ErrWrongFleet
	case replyWrongProtocol:
		return ErrWrongProtocol
	case replyUnknownPurpose:
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

// checkHello returns the purpose and the reply. The reply is 0, which is not sent, if the bytes are not a hello.
func checkHello(fleet string, hello []byte) (purpose, helloReply, error) {
	if len(hello) != helloSize || binary.BigEndian.Uint32(hello) != helloMagic {
		return 0, 0, ErrNoHello
	}
	if binary.BigEndian.Uint16(hello[4:]) != ProtocolVersion {
		return 0, replyWrongProtocol, ErrWrongProtocol
	}
	if binary.BigEndian.Uint64(hello[7:]) != xxhash.Sum64String(fleet) {
		return 0, replyWrongFleet, ErrWrongFleet
	}
	p := purpose(hello[6])
	if p != purposeFrames && p != purposeCalls {
		return 0, replyUnknownPurpose, ErrUnknownPurpose
	}
	return p, replyAccepted, nil
}

// receiveHello reads and answers the hello on an accepted connection.
func receiveHello(conn net.Conn, fleet string) (purpose, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return 0, oops.In("link.hello").With("peer", conn.RemoteAddr()).Wrap(err)
	}
	hello := make([]byte, helloSize)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return 0, oops.In("link.hello").With("peer", conn.RemoteAddr()).Wrap(ErrNoHello)
	}
	p, reply, err := checkHello(fleet, hello)
	if reply != 0 {
		_, _ = conn.Write([]byte{byte(reply)})
	}
	if err != nil {
		return 0, oops.In("link.hello").With("peer", conn.RemoteAddr()).Wrap(err)
	}
	return p, conn.SetDeadline(time.Time{})
}

// sendHello sends the hello on a dialled connection and reads the reply.
func sendHello(conn net.Conn, fleet string, p purpose, peer netip.AddrPort) error {
	fail := func(err error) error { return oops.In("link.hello").With("peer", peer).Wrap(err) }
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fail(err)
	}
	if _, err := conn.Write(encodeHello(fleet, p)); err != nil {
		return fail(err)
	}
	reply := make([]byte, 1)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return fail(err)
	}
	if err := helloReply(reply[0]).err(); err != nil {
		return fail(err)
	}
	return conn.SetDeadline(time.Time{})
}
