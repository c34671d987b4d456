package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// idleTimeoutMargin is subtracted from the idle timeout that a peer states, so that no request is sent while the peer
// closes the connection.
const idleTimeoutMargin = time.Second

var (
	errUnidentified     = errors.New("a response on a connection in use does not show to which request it belongs")
	errSurplusResponses = errors.New("too many responses to other requests")
)

// pendingRequest is a request that awaits its response.
type pendingRequest struct {
	method   string
	match    func(http.Header) Match
	response chan *Response

	// Used by the reading goroutine only.
	headLeft    int // bytes that heads of responses may still have
	bodyLeft    int // bytes that bodies of responses may still have
	surplusLeft int // further responses that may be skipped
}

// maxSurplusResponses is the number of informational responses and responses to other requests that are skipped while a
// request awaits its own.
const maxSurplusResponses = 16

func newPendingRequest(method string, match func(http.Header) Match, s PoolSettings) *pendingRequest {
	return &pendingRequest{
		method: method, match: match, response: make(chan *Response, 1),
		headLeft: s.MaxHeaderBytes, surplusLeft: maxSurplusResponses,
		bodyLeft: s.MaxBodyBytes + s.MaxBodyBytes/2, // chunks add to a body
	}
}

// clientConn is one connection to a peer. A goroutine reads responses, so that unsolicited data and a close by the peer
// are detected even while the connection is idle.
type clientConn struct {
	pool      *Pool
	conn      net.Conn
	peer      netip.AddrPort
	limiter   *readLimiter
	reader    *bufio.Reader
	done      chan struct{} // closed when reading has ended
	idleUntil time.Time     // guarded by pool.mu
	used      bool          // a response was read; used by the reading goroutine only

	mu              sync.Mutex
	pending         *pendingRequest
	closed          bool
	err             error
	peerIdleTimeout time.Duration // idle timeout that the peer states, or 0
}

func newClientConn(p *Pool, conn net.Conn, peer netip.AddrPort) *clientConn {
	limiter := &readLimiter{reader: conn, remaining: unlimited}
	return &clientConn{pool: p, conn: conn, peer: peer, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBuffer), done: make(chan struct{})}
}

// available reports whether the connection is open and has no pending request.
func (c *clientConn) available() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.pending == nil
}

// idleTimeout returns how long the connection may be idle: allowed, or less if the peer states a shorter time.
func (c *clientConn) idleTimeout(allowed time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerIdleTimeout > 0 {
		return min(allowed, max(c.peerIdleTimeout-idleTimeoutMargin, 0))
	}
	return allowed
}

func (c *clientConn) close() { c.closeWith(errClosedLocally) }

func (c *clientConn) closeWith(err error) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.err = true, err
	}
	c.mu.Unlock()
	_ = c.conn.Close()
}

// do sends a request and waits for its response. sent reports whether any byte may have been sent.
func (c *clientConn) do(ctx context.Context, r *Request, match func(http.Header) Match) (response *Response, sent bool, err error) {
	pending := newPendingRequest(r.method, match, c.pool.settings)
	c.mu.Lock()
	if c.closed {
		err := c.err
		c.mu.Unlock()
		return nil, false, errors.Join(ErrBroken, err)
	}
	c.pending = pending
	c.mu.Unlock()
	written := make(chan writeResult, 1)
	if len(r.body) <= maxInlineBody {
		written <- c.write(r)
	} else {
		c.pool.wg.Go(func() { written <- c.write(r) })
	}
	select {
	case response := <-pending.response:
		return c.complete(response, written)
	case <-c.done:
		return c.connectionLost(pending, written)
	case <-ctx.Done():
		c.closeWith(ctx.Err())
		return nil, (<-written).bytes > 0, ctx.Err()
	}
}

// maxInlineBody is the largest body, in bytes, that is written before waiting for the response. It fits into the send
// buffer of a connection, so the write does not block.
const maxInlineBody = 2 << 10

// sendGrace is the time to send the rest of a request after its response has arrived, before the connection is closed.
const sendGrace = 100 * time.Millisecond

// complete returns the response. If the request has not been sent completely, the connection is reused only after the
// rest has been sent, since the peer would otherwise take the next request for that rest.
func (c *clientConn) complete(response *Response, written chan writeResult) (*Response, bool, error) {
	select {
	case w := <-written:
		c.release(w)
		return response, true, nil
	default:
	}
	timeout := c.pool.settings.Timers.After(sendGrace, func(time.Time) { c.close() })
	c.pool.wg.Go(func() {
		defer timeout.Close()
		c.release(<-written)
	})
	return response, true, nil
}

// release returns the connection to the pool after a response, or closes it if the request could not be sent.
func (c *clientConn) release(w writeResult) {
	if w.err != nil {
		c.close()
		return
	}
	c.pool.pushIdle(c)
}

// connectionLost returns a response that arrived just before the connection ended, or else the error that ended it.
func (c *clientConn) connectionLost(pending *pendingRequest, written chan writeResult) (*Response, bool, error) {
	w := <-written
	select {
	case response := <-pending.response:
		c.close()
		return response, true, nil
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return nil, w.bytes > 0, errors.Join(ErrBroken, c.err)
}

// writeResult is the number of bytes of a request that were written, and the error if not all were.
type writeResult struct {
	bytes int
	err   error
}

func (c *clientConn) write(r *Request) writeResult {
	b := getBuffer()
	defer putBuffer(b)
	encodeRequest(b, r)
	n, err := c.conn.Write(b.Bytes())
	if err != nil {
		c.closeWith(err)
	}
	return writeResult{bytes: n, err: err}
}

// readResponses delivers responses until the connection ends or unsolicited data arrives.
func (c *clientConn) readResponses() {
	defer c.pool.remove(c)
	defer close(c.done)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.closeWith(err)
			return
		}
		pending := c.currentRequest()
		if pending == nil {
			c.reportStray()
			c.closeWith(errors.New("received data without a pending request"))
			return
		}
		response, last, err := c.readResponse(pending)
		if err != nil {
			c.closeWith(err)
			return
		}
		if response != nil {
			c.deliver(pending, response, last)
		}
		if last {
			c.closeWith(errClosedLocally)
			return
		}
	}
}

func (c *clientConn) currentRequest() *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *clientConn) reportStray() {
	if c.pool.settings.OnStrayResponse != nil {
		c.pool.settings.OnStrayResponse(c.peer)
	}
}

// readResponse reads one response. It returns a nil response for an informational one and for one to another request.
// last reports whether the connection ends with the response.
func (c *clientConn) readResponse(pending *pendingRequest) (response *Response, last bool, err error) {
	c.limiter.remaining = pending.headLeft
	raw, err := http.ReadResponse(c.reader, &http.Request{Method: pending.method})
	pending.headLeft = c.limiter.remaining
	c.limiter.remaining = unlimited
	if err != nil {
		return nil, true, err
	}
	if raw.StatusCode < http.StatusOK && raw.StatusCode != http.StatusSwitchingProtocols {
		return nil, false, pending.skip()
	}
	length := raw.ContentLength
	if pending.method == http.MethodHead {
		length = 0 // the stated length is that of the response to a GET
	}
	c.limiter.remaining = pending.bodyLeft
	body, err := readBody(raw.Body, length, c.pool.settings.MaxBodyBytes, c.pool.settings.Budget)
	pending.bodyLeft = c.limiter.remaining
	c.limiter.remaining = unlimited
	if err != nil {
		return nil, true, err
	}
	first := !c.used
	c.used = true
	switch match := pending.match(raw.Header); {
	case match == MatchOther:
		c.reportStray()
		return nil, raw.Close, pending.skip()
	case match == MatchPossible && !first:
		c.reportStray()
		return nil, true, errUnidentified
	}
	c.mu.Lock()
	c.peerIdleTimeout = keepAliveTimeout(raw.Header)
	c.mu.Unlock()
	stripHopByHop(raw.Header)
	return NewResponse(raw.StatusCode, raw.Header, body), raw.Close, nil
}

// skip counts a response that is not the one to the request. It fails if there were too many.
func (p *pendingRequest) skip() error {
	p.surplusLeft--
	if p.surplusLeft < 0 {
		return errSurplusResponses
	}
	return nil
}

// keepAliveTimeout returns the idle timeout stated in the Keep-Alive header, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// deliver passes the response to the pending request. Unless the connection ends, it first becomes available for the
// next request.
func (c *clientConn) deliver(pending *pendingRequest, response *Response, last bool) {
	c.mu.Lock()
	c.pending = nil
	if last {
		c.closed, c.err = true, errClosedLocally
	}
	c.mu.Unlock()
	pending.response <- response
}
