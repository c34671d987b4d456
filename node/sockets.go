package node

import (
	"io"
	"net"
	"net/netip"

	"github.com/bambooknot/bambooknot/setting"
)

// sockets are all bound addresses of a node.
type sockets struct {
	peer      peerSockets
	callers   net.Listener
	server    net.Listener
	observe   net.Listener
	operators net.Listener
}

// listenAll binds every address of the node, or none.
func listenAll(s setting.Settings) (sockets, error) {
	var all sockets
	var err error
	if all.peer, err = listenPeer(s.Node().PeerAddress()); err != nil {
		return sockets{}, err
	}
	bound := []io.Closer{all.peer.tcp, all.peer.udp}
	for _, port := range []struct {
		addr netip.AddrPort
		into *net.Listener
	}{
		{s.Listen().Callers(), &all.callers},
		{s.Listen().Server(), &all.server},
		{s.Listen().Observe(), &all.observe},
		{s.Listen().Operators(), &all.operators},
	} {
		if *port.into, err = listenHTTP(port.addr); err != nil {
			closeAll(bound)
			return sockets{}, err
		}
		bound = append(bound, *port.into)
	}
	return all, nil
}

func closeAll(bound []io.Closer) {
	for _, c := range bound {
		_ = c.Close()
	}
}
