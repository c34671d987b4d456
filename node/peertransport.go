package node

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/link"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/wire"
)

// peerTransport sends and receives messages of other nodes and accepts their calls, over UDP and TCP on the same port.
type peerTransport struct {
	fleet        string
	self         atomic.Pointer[member.Key]
	deliver      func(message.Event)
	datagrams    *link.DatagramTransport
	frames       *link.FrameSender
	listener     *link.Listener
	scope        tally.Scope
	unsentFrames tally.Counter
}

// peerSockets holds the sockets bound to the peer address.
type peerSockets struct {
	tcp net.Listener
	udp *net.UDPConn
}

func listenPeer(addr netip.AddrPort) (peerSockets, error) {
	fail := func(err error) (peerSockets, error) {
		return peerSockets{}, oops.In("node.listen").With("address", addr).Wrap(err)
	}
	tcp, err := exchange.Listen(addr)
	if err != nil {
		return fail(err)
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		_ = tcp.Close()
		return fail(err)
	}
	return peerSockets{tcp: tcp, udp: udp}, nil
}

func newPeerTransport(sockets peerSockets, fleet string, self member.Key, dialer *link.Dialer, deliver func(message.Event), calls func(context.Context, net.Conn), scope tally.Scope) *peerTransport {
	p := &peerTransport{
		fleet:        fleet,
		deliver:      deliver,
		frames:       link.NewFrameSender(dialer, scope),
		scope:        scope,
		unsentFrames: scope.Counter("peer_frames_unsent"),
	}
	p.setSelf(self)
	p.datagrams = link.NewDatagramTransport(sockets.udp, p.receiveFrame, scope)
	p.listener = link.NewListener(sockets.tcp, fleet, link.Handlers{HandleFrame: p.receiveFrame, ServeCalls: calls}, scope)
	return p
}

// setSelf sets the key that outgoing frames have as their sender.
func (p *peerTransport) setSelf(self member.Key) { p.self.Store(&self) }

// receiveFrame decodes a received frame and delivers its message. An invalid frame is counted and dropped.
func (p *peerTransport) receiveFrame(frame []byte) {
	env, err := wire.Decode(p.fleet, frame)
	if err != nil {
		p.scope.Tagged(map[string]string{"fault": wire.ErrorClass(err)}).Counter("peer_frames_refused").Inc(1)
		return
	}
	p.deliver(env)
}

func (p *peerTransport) send(s message.Send) {
	frame, err := wire.Encode(p.fleet, *p.self.Load(), s.Body())
	if err != nil {
		p.unsentFrames.Inc(1)
		return
	}
	if len(frame) > wire.MaxDatagram {
		p.frames.Send(s.Recipient(), frame)
		return
	}
	if err := p.datagrams.Send(s.Recipient(), frame); err != nil {
		p.unsentFrames.Inc(1)
	}
}

// Close closes the sockets and waits for the goroutines that use them.
func (p *peerTransport) Close() {
	_ = p.listener.Close()
	_ = p.datagrams.Close()
	_ = p.frames.Close()
}
