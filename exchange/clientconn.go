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

// keepSlack is subtracted from the idle time that a peer states, so that no request meets its close.
const keepSlack = time.Second

// exchangeUnderWay is a request on a connection that waits for its answer.
type exchangeUnderWay struct {
	method  string
	belongs func(http.Header) bool
	answer  chan *Response
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

	mu     sync.Mutex
	asked  *exchangeUnderWay
	over   bool
	err    error
	stated time.Duration // idle time that the peer states, or 0
}

func newClientConn(p *Pool, conn net.Conn, peer netip.AddrPort) *clientConn {
	return &clientConn{pool: p, conn: conn, peer: peer, reader: bufio.NewReaderSize(conn, readBuffer), done: make(chan struct{})}
}

func (c *clientConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.over && c.asked == nil
}

// keep returns how long the connection may be idle.
func (c *clientConn) keep(allowed time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stated > 0 {
		return min(allowed, max(c.stated-keepSlack, 0))
	}
	return allowed
}

func (c *clientConn) retire() { c.finish(errRetired) }

func (c *clientConn) finish(err error) {
	c.mu.Lock()
	if !c.over {
		c.over, c.err = true, err
	}
	c.mu.Unlock()
	_ = c.conn.Close()
}

// do sends a request and waits for its answer. sent tells whether any byte may have left.
func (c *clientConn) do(ctx context.Context, r *Request, belongs func(http.Header) bool) (answer *Response, sent bool, err error) {
	asked := &exchangeUnderWay{method: r.method, belongs: belongs, answer: make(chan *Response, 1)}
	c.mu.Lock()
	if c.over {
		err := c.err
		c.mu.Unlock()
		return nil, false, errors.Join(ErrBroken, err)
	}
	c.asked = asked
	c.mu.Unlock()
	written := make(chan writeResult, 1)
	if len(r.body) <= inlineBody {
		written <- c.write(r)
	} else {
		c.pool.wg.Go(func() { written <- c.write(r) })
	}
	select {
	case answer := <-asked.answer:
		return c.answered(answer, written)
	case <-c.done:
		return c.broken(asked, written)
	case <-ctx.Done():
		c.finish(ctx.Err())
		return nil, (<-written).bytes > 0, ctx.Err()
	}
}

// inlineBody bounds the bodies, in bytes, that are sent before the answer is waited for: the buffers of a
// connection take them at once.
const inlineBody = 2 << 10

// earlyGrace is how long the rest of a request may take to be sent after its answer.
const earlyGrace = 100 * time.Millisecond

// answered returns the answer. If the request was not sent whole by then, what is left of it would be taken
// for the next one, so the connection is kept only once the rest is sent.
func (c *clientConn) answered(answer *Response, written chan writeResult) (*Response, bool, error) {
	select {
	case w := <-written:
		c.settle(w)
		return answer, true, nil
	default:
	}
	late := c.pool.settings.Timers.After(earlyGrace, func(time.Time) { c.retire() })
	c.pool.wg.Go(func() {
		defer late.Close()
		c.settle(<-written)
	})
	return answer, true, nil
}

// settle returns the connection to the pool after an answer, unless its request could not be sent.
func (c *clientConn) settle(w writeResult) {
	if w.err != nil {
		c.retire()
		return
	}
	c.pool.put(c)
}

// broken returns an answer that arrived just before the connection ended, or the reason of the end.
func (c *clientConn) broken(asked *exchangeUnderWay, written chan writeResult) (*Response, bool, error) {
	w := <-written
	select {
	case answer := <-asked.answer:
		c.retire()
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
	b := takeBuffer()
	defer putBuffer(b)
	encodeRequest(b, r)
	n, err := c.conn.Write(b.Bytes())
	if err != nil {
		c.finish(err)
	}
	return writeResult{bytes: n, err: err}
}

// readAnswers hands answers over until the connection ends or carries something that nobody asked for.
func (c *clientConn) readAnswers() {
	defer c.pool.forget(c)
	defer close(c.done)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.finish(err)
			return
		}
		asked := c.underWay()
		if asked == nil {
			c.stray()
			c.finish(errors.New("bytes arrived that belong to no request"))
			return
		}
		answer, last, err := c.readAnswer(asked)
		if err != nil {
			c.finish(err)
			return
		}
		if answer != nil {
			c.deliver(asked, answer, last)
		}
		if last {
			c.finish(errRetired)
			return
		}
	}
}

func (c *clientConn) underWay() *exchangeUnderWay {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}

func (c *clientConn) stray() {
	if c.pool.settings.OnStrayResponse != nil {
		c.pool.settings.OnStrayResponse(c.peer)
	}
}

// readAnswer reads one answer. It returns nil for one that belongs to another request, and whether the
// connection ends with it.
func (c *clientConn) readAnswer(asked *exchangeUnderWay) (answer *Response, last bool, err error) {
	raw, err := http.ReadResponse(c.reader, &http.Request{Method: asked.method})
	if err != nil {
		return nil, true, err
	}
	if raw.StatusCode < http.StatusOK && raw.StatusCode != http.StatusSwitchingProtocols {
		return nil, false, nil
	}
	body, err := readAll(raw.Body, raw.ContentLength, c.pool.settings.MaxBodyBytes)
	if err != nil {
		return nil, true, err
	}
	if !asked.belongs(raw.Header) {
		c.stray()
		return nil, raw.Close, nil
	}
	c.mu.Lock()
	c.stated = statedKeepAlive(raw.Header)
	c.mu.Unlock()
	stripConnection(raw.Header)
	return NewResponse(raw.StatusCode, raw.Header, body), raw.Close, nil
}

// statedKeepAlive returns the idle time in a Keep-Alive header, or 0.
func statedKeepAlive(h http.Header) time.Duration {
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
func (c *clientConn) deliver(asked *exchangeUnderWay, answer *Response, last bool) {
	c.mu.Lock()
	c.asked = nil
	if last {
		c.over, c.err = true, errRetired
	}
	c.mu.Unlock()
	asked.answer <- answer
}
