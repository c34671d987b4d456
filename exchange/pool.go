package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/bambooknot/bambooknot/timer"
)

// Errors of a request that got no answer.
var (
	// ErrClosed: the pool is closed.
	ErrClosed = errors.New("connections are closed")
	// ErrBroken: the connection ended, or carried something else than the answer.
	ErrBroken = errors.New("connection broke before the answer was whole")
	// errClosedLocally: the connection was closed by this side.
	errClosedLocally = errors.New("connection was retired")
)

// RequestError is the error of a request without an answer.
type RequestError struct {
	sent bool
	err  error
}

// Sent tells whether any byte of the request may have reached the peer.
func (f *RequestError) Sent() bool { return f.sent }

// Error implements error.
func (f *RequestError) Error() string { return fmt.Sprintf("exchange (sent %t): %v", f.sent, f.err) }

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error { return f.err }

// NotSent tells whether an error of Do says that no byte of the request can have reached the peer.
func NotSent(err error) bool {
	var f *RequestError
	return errors.As(err, &f) && !f.sent
}

// PoolSettings of a Pool.
type PoolSettings struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless the peer states less.
	IdleTimeout time.Duration
	// MaxIdlePerPeer bounds the idle connections to one peer.
	MaxIdlePerPeer int
	// MaxBodyBytes bounds the body of an answer.
	MaxBodyBytes int
	// OnDial is called for each new connection. It may be nil.
	OnDial func()
	// OnStrayResponse is called for each answer that belongs to no request under way. It may be nil.
	OnStrayResponse func(from netip.AddrPort)
	// Timers tells the time.
	Timers *timer.Service
}

// Pool keeps connections to peers. A connection carries one request at a time.
type Pool struct {
	settings PoolSettings
	wg       sync.WaitGroup

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*clientConn // longest idle first
	conns  map[*clientConn]bool
	closed bool
	sweep  *timer.Subscription
}

// sweepPeriod is the time between two searches for connections that were idle for too long.
const sweepPeriod = time.Second

// NewPool returns an empty pool.
func NewPool(settings PoolSettings) *Pool {
	p := &Pool{settings: settings, idle: make(map[netip.AddrPort][]*clientConn), conns: make(map[*clientConn]bool)}
	p.sweep = settings.Timers.Every(sweepPeriod, p.closeExpired)
	return p
}

// Do sends a request to a peer and returns the answer that belongs to it. Answers that belongs refuses are
// passed over, as a peer may repeat an earlier answer. Nothing is sent twice. The error is a *Failure. When
// the context ends first, the connection is closed, by which the peer learns of it.
func (p *Pool) Do(ctx context.Context, to netip.AddrPort, r *Request, belongs func(http.Header) bool) (*Response, error) {
	c, err := p.acquire(ctx, to)
	if err != nil {
		return nil, &RequestError{err: oops.In("exchange.dial").With("peer", to).Wrap(err)}
	}
	answer, sent, err := c.do(ctx, r, belongs)
	if err != nil {
		c.close()
		return nil, &RequestError{sent: sent, err: oops.In("exchange.do").With("peer", to).Wrap(err)}
	}
	return answer, nil
}

// acquire returns an idle connection, or opens one.
func (p *Pool) acquire(ctx context.Context, to netip.AddrPort) (*clientConn, error) {
	if c := p.popIdle(to); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	conn, err := p.settings.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	if p.settings.OnDial != nil {
		p.settings.OnDial()
	}
	c := newClientConn(p, conn, to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = conn.Close()
		return nil, ErrClosed
	}
	p.conns[c] = true
	p.wg.Go(c.readResponses)
	return c, nil
}

func (p *Pool) popIdle(to netip.AddrPort) *clientConn {
	now := p.settings.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[to]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.idle[to] = list[:len(list)-1]
		if now.Before(c.idleUntil) && c.available() {
			return c
		}
		c.close()
	}
}

func (p *Pool) pushIdle(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !c.available() || len(p.idle[c.peer]) >= p.settings.MaxIdlePerPeer {
		c.close()
		return
	}
	c.idleUntil = p.settings.Timers.Now().Add(c.idleTimeout(p.settings.IdleTimeout))
	p.idle[c.peer] = append(p.idle[c.peer], c)
}

// CloseIdle closes the idle connections to a peer, as when it has started anew.
func (p *Pool) CloseIdle(peer netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// closeExpired closes connections that were idle for too long.
func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) && c.available() {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		p.idle[peer] = kept
		if len(kept) == 0 {
			delete(p.idle, peer)
		}
	}
}

func (p *Pool) remove(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Close ends all connections and waits for their goroutines.
func (p *Pool) Close() {
	p.sweep.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}
