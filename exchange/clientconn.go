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

// idleTimeoutMargin is subtracted from the idle time that a peer states, so that no request meets its close.
const idleTimeoutMargin = time.Second

// pendingRequest is a request on a connection that waits for its answer.
type pendingRequest struct {
	method   string
	matches  func(http.Header) bool
	response chan *Response
}

// clientConn is one connection to a peer. A goroutine reads answers, so that what arrives without having been
// asked for, the peer's close included, is noticed while the connection is idle.
type clientConn struct {
	pool      *Pool
	conn      net.Conn
	peer      netip.AddrPort
	reader    *bufio.Reader
	done      chan struct{} // closed when nothing more is read
	idleUntil time.Time     // guarded by the pool

	mu              sync.Mutex
	pending         *pendingRequest
	closed          bool
	err             error
	peerIdleTimeout time.Duration // idle time that the peer states, or 0
}

func newClientConn(p *Pool, conn net.Conn, peer netip.AddrPort) *clientConn {
	return &clientConn{pool: p, conn: conn, peer: peer, reader: bufio.NewReaderSize(conn, readBuffer), done: make(chan struct{})}
}

func (c *clientConn) available() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.pending == nil
}

// idleTimeout returns how long the connection may be idle.
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

// do sends a request and waits for its answer. sent tells whether any byte may have left.
func (c *clientConn) do(ctx context.Context, r *Request, belongs func(http.Header) bool) (answer *Response, sent bool, err error) {
	asked := &pendingRequest{method: r.method, matches: belongs, response: make(chan *Response, 1)}
	c.mu.Lock()
	if c.closed {
		err := c.err
		c.mu.Unlock()
		return nil, false, errors.Join(ErrBroken, err)
	}
	c.pending = asked
	c.mu.Unlock()
	written := make(chan writeResult, 1)
	if len(r.body) <= maxInlineBody {
		written <- c.write(r)
	} else {
		c.pool.wg.Go(func() { written <- c.write(r) })
	}
	select {
	case answer := <-asked.response:
		return c.complete(answer, written)
	case <-c.done:
		return c.connectionLost(asked, written)
	case <-ctx.Done():
		c.closeWith(ctx.Err())
		return nil, (<-written).bytes > 0, ctx.Err()
	}
}

// maxInlineBody bounds the bodies, in bytes, that are sent before the answer is waited for: the buffers of a
// connection take them at once.
const maxInlineBody = 2 << 10

// sendGrace is how long the rest of a request may take to be sent after its answer.
const sendGrace = 100 * time.Millisecond

// complete returns the answer. If the request was not sent whole by then, what is left of it would be taken
// for the next one, so the connection is kept only once the rest is sent.
func (c *clientConn) complete(answer *Response, written chan writeResult) (*Response, bool, error) {
	select {
	case w := <-written:
		c.release(w)
		return answer, true, nil
	default:
	}
	late := c.pool.settings.Timers.After(sendGrace, func(time.Time) { c.close() })
	c.pool.wg.Go(func() {
		defer late.Close()
		c.release(<-written)
	})
	return answer, true, nil
}

// release returns the connection to the pool after an answer, unless its request could not be sent.
func (c *clientConn) release(w writeResult) {
	if w.err != nil {
		c.close()
		return
	}
	c.pool.pushIdle(c)
}

// connectionLost returns an answer that arrived just before the connection ended, or the reason of the end.
func (c *clientConn) connectionLost(asked *pendingRequest, written chan writeResult) (*Response, bool, error) {
	w := <-written
	select {
	case answer := <-asked.response:
		c.close()
		return answer, true, nil
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return nil, w.bytes > 0, errors.Join(ErrBroken, c.err)
}

// writeResult tells how much of a request the connection took.
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

// readResponses hands answers over until the connection ends or carries something that nobody asked for.
func (c *clientConn) readResponses() {
	defer c.pool.remove(c)
	defer close(c.done)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.closeWith(err)
			return
		}
		asked := c.pendingRequest()
		if asked == nil {
			c.reportStray()
			c.closeWith(errors.New("bytes arrived that belong to no request"))
			return
		}
		answer, last, err := c.readResponse(asked)
		if err != nil {
			c.closeWith(err)
			return
		}
		if answer != nil {
			c.deliver(asked, answer, last)
		}
		if last {
			c.closeWith(errClosedLocally)
			return
		}
	}
}

func (c *clientConn) pendingRequest() *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *clientConn) reportStray() {
	if c.pool.settings.OnStrayResponse != nil {
		c.pool.settings.OnStrayResponse(c.peer)
	}
}

// readResponse reads one answer. It returns nil for one that belongs to another request, and whether the
// connection ends with it.
func (c *clientConn) readResponse(asked *pendingRequest) (answer *Response, last bool, err error) {
	raw, err := http.ReadResponse(c.reader, &http.Request{Method: asked.method})
	if err != nil {
		return nil, true, err
	}
	if raw.StatusCode < http.StatusOK && raw.StatusCode != http.StatusSwitchingProtocols {
		return nil, false, nil
	}
	body, err := readBody(raw.Body, raw.ContentLength, c.pool.settings.MaxBodyBytes)
	if err != nil {
		return nil, true, err
	}
	if !asked.matches(raw.Header) {
		c.reportStray()
		return nil, raw.Close, nil
	}
	c.mu.Lock()
	c.peerIdleTimeout = keepAliveTimeout(raw.Header)
	c.mu.Unlock()
	stripHopByHop(raw.Header)
	return NewResponse(raw.StatusCode, raw.Header, body), raw.Close, nil
}

// keepAliveTimeout returns the idle time in a Keep-Alive header, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// deliver hands the answer to the request under way. The connection is free for the next one before that,
// unless it ends.
func (c *clientConn) deliver(asked *pendingRequest, answer *Response, last bool) {
	c.mu.Lock()
	c.pending = nil
	if last {
		c.closed, c.err = true, errClosedLocally
	}
	c.mu.Unlock()
	asked.response <- answer
}
