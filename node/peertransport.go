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

// peerEdge sends and receives peer messages and accepts forwarded calls, UDP and TCP on one port.
type peerEdge struct {
	fleet     string
	self      atomic.Pointer[member.Key]
	receive   func(message.Event)
	datagrams *link.Datagrams
	frames    *link.Frames
	listener  *link.Listener
	refused   tally.Scope
	unsent    tally.Counter
}

// peerSockets are the bound sockets of the peer address.
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

func newPeerEdge(sockets peerSockets, fleet string, self member.Key, dialer *link.Dialer, receive func(message.Event), calls func(context.Context, net.Conn), scope tally.Scope) *peerEdge {
	p := &peerEdge{
		fleet:   fleet,
		receive: receive,
		frames:  link.NewFrames(dialer, scope),
		refused: scope,
		unsent:  scope.Counter("peer_frames_unsent"),
	}
	p.rename(self)
	p.datagrams = link.NewDatagrams(sockets.udp, p.take, scope)
	p.listener = link.NewListener(sockets.tcp, fleet, link.Handlers{Frame: p.take, Calls: calls}, scope)
	return p
}

// rename sets the key that frames carry as their sender's.
func (p *peerEdge) rename(self member.Key) { p.self.Store(&self) }

// take decodes one received frame. A frame that fails a check changes nothing and is counted.
func (p *peerEdge) take(frame []byte) {
	env, err := wire.Decode(p.fleet, frame)
	if err != nil {
		p.refused.Tagged(map[string]string{"fault": wire.ErrorClass(err)}).Counter("peer_frames_refused").Inc(1)
		return
	}
	p.receive(env)
}

func (p *peerEdge) send(s message.Send) {
	frame, err := wire.Encode(p.fleet, *p.self.Load(), s.Body())
	if err != nil {
		p.unsent.Inc(1)
		return
	}
	if len(frame) > wire.MaxDatagram {
		p.frames.Send(s.Recipient(), frame)
		return
	}
	if err := p.datagrams.Send(s.Recipient(), frame); err != nil {
		p.unsent.Inc(1)
	}
}

// Close closes the sockets and waits for their goroutines.
func (p *peerEdge) Close() {
	_ = p.listener.Close()
	_ = p.datagrams.Close()
	_ = p.frames.Close()
}
