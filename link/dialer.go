package link

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/samber/oops"

	"github.com/bambooknot/bambooknot/exchange"
)

// Dialer opens connections to other nodes of one fleet.
type Dialer struct {
	fleet string
	dial  func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)
}

// NewDialer returns a Dialer for TCP connections to nodes of a fleet.
func NewDialer(fleet string) *Dialer {
	return &Dialer{fleet: fleet, dial: dialTCP}
}

func dialTCP(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return exchange.Dial(ctx, peer)
}

// DialCalls opens a connection that carries forwarded calls to a peer.
func (d *Dialer) DialCalls(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	return d.open(ctx, peer, purposeCalls)
}

// open dials a peer and completes the hello exchange.
func (d *Dialer) open(ctx context.Context, peer netip.AddrPort, p purpose) (net.Conn, error) {
	conn, err := d.dial(ctx, peer)
	if err != nil {
		return nil, oops.In("link.dial").With("peer", peer).Wrap(err)
	}
	// A paused peer still accepts connections but does not answer the hello. Closing the connection ends that wait when ctx
	// ends.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = sendHello(conn, d.fleet, p, peer)
	if !stop() {
		err = errors.Join(ctx.Err(), err)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
