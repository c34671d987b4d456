package node

import (
	"io"
	"net"
	"net/netip"

	"github.com/bambooknot/bambooknot/setting"
)

// nodeSockets holds the sockets of a node.
type nodeSockets struct {
	peer      peerSockets
	callers   net.Listener
	server    net.Listener
	observe   net.Listener
	operators net.Listener
}

// listenNode binds all addresses of the node. If one fails, none stays bound.
func listenNode(s setting.Settings) (nodeSockets, error) {
	var all nodeSockets
	var err error
	if all.peer, err = listenPeer(s.Node().PeerAddress()); err != nil {
		return nodeSockets{}, err
	}
	bound := []io.Closer{all.peer.tcp, all.peer.udp}
	for _, port := range []struct {
		addr     netip.AddrPort
		listener *net.Listener
	}{
		{s.Listen().Callers(), &all.callers},
		{s.Listen().Server(), &all.server},
		{s.Listen().Observe(), &all.observe},
		{s.Listen().Operators(), &all.operators},
	} {
		if *port.listener, err = listenHTTP(port.addr); err != nil {
			closeAll(bound)
			return nodeSockets{}, err
		}
		bound = append(bound, *port.listener)
	}
	return all, nil
}

func closeAll(bound []io.Closer) {
	for _, c := range bound {
		_ = c.Close()
	}
}
