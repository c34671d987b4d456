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

// Errors of requests without a response.
var (
	// ErrClosed: the pool is closed.
	ErrClosed = errors.New("connection pool is closed")
	// ErrBroken: the connection ended or carried invalid data before the complete response.
	ErrBroken = errors.New("connection broke before the response was complete")
	// errClosedLocally: the connection was closed by this side.
	errClosedLocally = errors.New("connection was closed by this node")
)

// RequestError is the error of a request without a response.
type RequestError struct {
	sent bool
	err  error
}

// Sent reports whether any byte of the request may have reached the peer.
func (e *RequestError) Sent() bool { return e.sent }

// Error implements the error interface.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request failed (sent: %t): %v", e.sent, e.err)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.err }

// NotSent reports whether err, returned by Do, guarantees that no byte of the request reached the peer.
func NotSent(err error) bool {
	var e *RequestError
	return errors.As(err, &e) && !e.sent
}

// PoolSettings are the settings of a Pool.
type PoolSettings struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// DialTimeoutTo returns the limit for a peer; nil means DialTimeout for all.
	DialTimeoutTo func(peer netip.AddrPort) time.Duration
	// IdleTimeout is how long an idle connection stays open, unless the peer states a shorter time.
	IdleTimeout time.Duration
	// MaxIdlePerPeer is the maximum number of idle connections to one peer.
	MaxIdlePerPeer int
	// MaxHeaderBytes is the maximum size of the status line and headers of a response, informational ones before it
	// included. It is not enforced to the byte. Zero means DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a response body.
	MaxBodyBytes int
	// Budget bounds the memory of response bodies while they are read. It may be nil.
	Budget *Budget
	// OnDial is called for each new connection. It may be nil.
	OnDial func()
	// OnStrayResponse is called for each response that matches no pending request, and for other unsolicited data. It
	// may be nil.
	OnStrayResponse func(from netip.AddrPort)
	// Timers is the clock and timer service.
	Timers *timer.Service
}

// DefaultMaxHeaderBytes is the default of PoolSettings.MaxHeaderBytes.
const DefaultMaxHeaderBytes = 64 << 10

// Pool is a connection pool for any number of peers. A connection carries one request at a time.
type Pool struct {
	settings PoolSettings
	wg       sync.WaitGroup

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*clientConn // least recently used first
	conns  map[*clientConn]bool
	closed bool
	sweep  *timer.Subscription
}

// sweepPeriod is the interval of closing connections whose idle timeout has passed.
const sweepPeriod = time.Second

// NewPool returns an empty pool.
func NewPool(settings PoolSettings) *Pool {
	if settings.MaxHeaderBytes == 0 {
		settings.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	p := &Pool{settings: settings, idle: make(map[netip.AddrPort][]*clientConn), conns: make(map[*clientConn]bool)}
	p.sweep = settings.Timers.Every(sweepPeriod, p.closeExpired)
	return p
}

// Match is what a response shows about the request that it belongs to.
type Match uint8

// Values of Match.
const (
	// MatchOther means that the response belongs to another request.
	MatchOther Match = iota
	// MatchOwn means that the response belongs to the request.
	MatchOwn
	// MatchPossible means that the response does not show to which request it belongs.
	MatchPossible
)

// Do sends a request to a peer and returns the response for which match returns MatchOwn. Responses to other requests are
// discarded, since a peer may repeat an earlier response. For that reason MatchPossible is sufficient only for the first
// response on a connection; later ones end the connection with an error. Do never resends a request. The error is a *RequestError. If the context
// ends first, the connection is closed, which tells the peer to cancel the request.
func (p *Pool) Do(ctx context.Context, to netip.AddrPort, r *Request, match func(http.Header) Match) (*Response, error) {
	c, err := p.acquire(ctx, to)
	if err != nil {
		return nil, &RequestError{err: oops.In("exchange.dial").With("peer", to).Wrap(err)}
	}
	response, sent, err := c.do(ctx, r, match)
	if err != nil {
		c.close()
		return nil, &RequestError{sent: sent, err: oops.In("exchange.do").With("peer", to).Wrap(err)}
	}
	return response, nil
}

// acquire returns an idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, to netip.AddrPort) (*clientConn, error) {
	if c := p.popIdle(to); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout(to))
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

func (p *Pool) dialTimeout(to netip.AddrPort) time.Duration {
	if p.settings.DialTimeoutTo == nil {
		return p.settings.DialTimeout
	}
	return p.settings.DialTimeoutTo(to)
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

// CloseIdle closes the idle connections to a peer, for example after the peer has restarted.
func (p *Pool) CloseIdle(peer netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// closeExpired closes connections whose idle timeout has passed.
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

// Close closes all connections and waits for their goroutines.
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
