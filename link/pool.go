package link

import (
	"context"
	"net/netip"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	idleTimeout              = 90 * time.Second
	maxCallHeaderBytes       = 256 << 10 // of a response
	maxIdleCallConns         = 512       // to all peers together
	maxIdleCallConnsPerPeer  = 32        // to one peer
	maxIdleFrameConns        = 64        // to all peers together
	maxIdleFrameConnsPerPeer = 1         // to one peer
)

// pool keeps idle drpc connections to peers. A connection carries one stream at a time.
type pool struct {
	dialer  *Dialer
	purpose purpose
	idle    *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
}

func newPool(dialer *Dialer, p purpose, capacity, perPeer int) *pool {
	options := drpcpool.Options{Expiration: idleTimeout, Capacity: capacity, KeyCapacity: perPeer}
	return &pool{dialer: dialer, purpose: p, idle: drpcpool.New[netip.AddrPort, *drpcconn.Conn](options)}
}

// take returns an idle connection to peer, or opens one.
func (p *pool) take(ctx context.Context, peer netip.AddrPort) (*drpcconn.Conn, error) {
	if conn, ok := p.idle.Take(peer); ok {
		return conn, nil
	}
	raw, err := p.dialer.open(ctx, peer, p.purpose)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func (p *pool) put(peer netip.AddrPort, conn *drpcconn.Conn) { p.idle.Put(peer, conn) }

func (p *pool) close() error { return p.idle.Close() }
