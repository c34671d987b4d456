package node

import (
	"io"
	"net"
	"net/netip"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/setting"
)

// sidecarSockets holds the sockets of a sidecar.
type sidecarSockets struct {
	peer    peerSockets
	callers net.Listener
	server  net.Listener
	ready   net.Listener
	metrics net.Listener
}

// listenSidecar binds all addresses of the node. If one fails, none stays bound.
func listenSidecar(s setting.Sidecar) (sidecarSockets, error) {
	var all sidecarSockets
	var err error
	if all.peer, err = listenPeer(s.PeerAddress()); err != nil {
		return sidecarSockets{}, err
	}
	bound := []io.Closer{all.peer.tcp, all.peer.udp}
	for _, port := range []struct {
		addr     netip.AddrPort
		listener *net.Listener
	}{
		{s.CallerAddress(), &all.callers},
		{s.HeartbeatAddress(), &all.server},
		{s.ReadinessAddress(), &all.ready},
		{s.MetricsAddress(), &all.metrics},
	} {
		if *port.listener, err = exchange.Listen(port.addr); err != nil {
			closeAll(bound)
			return sidecarSockets{}, err
		}
		bound = append(bound, *port.listener)
	}
	return all, nil
}
