package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// maxPipelined bounds the requests read from one connection that are not answered yet.
	maxPipelined = 32
	// bodyTimeout bounds the time for a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time for an answer, so that a caller that does not read holds nothing for long.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection that was closed towards the caller waits for the caller's end.
	lingerTimeout = 500 * time.Millisecond
	readBuffer    = 4 << 10
)

// turn is the place of one request in the order of answers.
type turn struct {
	method   string
	hangUp   bool // the caller wants no further answer
	answer   chan *Response
	finished chan struct{} // closed when the answer was written
}

// serverConn is one accepted connection. One goroutine reads requests, one writes answers in order.
type serverConn struct {
	server *Server
	conn   net.Conn
	limit  *headLimiter
	reader *bufio.Reader
	turns  chan *turn
	wg     sync.WaitGroup

	mu        sync.Mutex
	pending   int
	closing   bool // the answer that is written last has been chosen
	idleSince time.Time
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	limit := &headLimiter{inner: conn, left: unlimited}
	c := &serverConn{
		server: s, conn: conn, limit: limit,
		reader:    bufio.NewReaderSize(limit, readBuffer),
		turns:     make(chan *turn, maxPipelined),
		idleSince: s.settings.Timers.Now(),
	}
	return c
}

func (c *serverConn) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// idle tells whether no request of the connection is unanswered, and since when.
func (c *serverConn) idle() (bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0 && !c.closing, c.idleSince
}

// retire closes the connection unless a request has been read from it, and tells whether it did.
func (c *serverConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.closing {
		return false
	}
	c.closing = true
	_ = c.conn.Close()
	return true
}

func (c *serverConn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	written := make(chan struct{})
	c.wg.Go(func() {
		defer close(written)
		c.writeAnswers(ctx)
	})
	c.readRequests(ctx)
	close(c.turns)
	if !c.isClosing() {
		cancel() // the caller left
	}
	<-written
	cancel()
	c.wg.Wait()
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readRequests reads until the caller leaves, is idle for too long, or the last answer has been chosen.
func (c *serverConn) readRequests(ctx context.Context) {
	var before *turn
	for c.awaitRequest() {
		t, req, err := c.readRequest()
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.enter() {
			return
		}
		previous := before
		before = t
		c.turns <- t
		c.wg.Go(func() { c.handle(ctx, previous, t, req) })
	}
}

// awaitRequest waits for the first byte of a request.
func (c *serverConn) awaitRequest() bool {
	for {
		allowed := c.server.settings.IdleTimeout()
		if err := c.conn.SetReadDeadline(time.Now().Add(allowed)); err != nil {
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.idleTooLong(allowed) {
			return false
		}
	}
}

// idleTooLong tells whether the connection was idle for longer than what was allowed when it became so, and
// what is allowed now.
func (c *serverConn) idleTooLong(allowed time.Duration) bool {
	allowed = max(allowed, c.server.settings.IdleTimeout())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0 && c.server.settings.Timers.Now().Sub(c.idleSince) >= allowed
}

func (c *serverConn) readRequest() (*turn, *Request, error) {
	s := c.server.settings
	limits := s.Limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(s.HeaderTimeout()))
	raw, err := readHead(c.reader, c.limit, limits)
	if err != nil {
		return nil, nil, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if raw.Header.Get("Expect") != "" && raw.ContentLength != 0 && c.active() == 0 {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, nil, err
		}
	}
	body, err := readAll(raw.Body, raw.ContentLength, limits.MaxBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	t := &turn{method: raw.Method, hangUp: raw.Close || !raw.ProtoAtLeast(1, 1), answer: make(chan *Response, 1), finished: make(chan struct{})}
	stripConnection(raw.Header)
	req := NewRequest(raw.Method, raw.RequestURI, raw.Host, raw.Header, body)
	req.received = s.Timers.Now()
	return t, req, nil
}

// refuse answers a request that could not be read.
func (c *serverConn) refuse(err error) {
	status := 0
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errMalformed):
		status = http.StatusBadRequest
	default:
		return // the connection broke, or the request came too slowly
	}
	t := &turn{hangUp: true, answer: make(chan *Response, 1), finished: make(chan struct{})}
	if c.enter() {
		t.answer <- NewResponse(status, nil, nil).WithClose()
		c.turns <- t
		<-t.finished
	}
}

// enter counts a request in, unless the connection is about to be closed: then the request counts as unread.
func (c *serverConn) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	return true
}

// handle answers one request. Requests that may have effects wait for those before them on the connection,
// as they must not run if an earlier answer closes it.
func (c *serverConn) handle(ctx context.Context, previous, t *turn, req *Request) {
	if previous != nil && req.method != http.MethodGet && req.method != http.MethodHead {
		select {
		case <-previous.finished:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil || c.isClosing() {
		t.answer <- NewAbort()
		return
	}
	t.answer <- c.server.settings.Handle(ctx, req)
}

// writeAnswers writes the answers in the order of the requests.
func (c *serverConn) writeAnswers(ctx context.Context) {
	for t := range c.turns {
		answer := c.awaitAnswer(ctx, t)
		last := c.last(t, answer)
		ok := !answer.dropped && c.write(t, answer, last)
		close(t.finished)
		c.leave()
		if !ok || last {
			c.end(ok)
			break
		}
	}
	for t := range c.turns {
		close(t.finished)
	}
}

func (c *serverConn) awaitAnswer(ctx context.Context, t *turn) *Response {
	select {
	case answer := <-t.answer:
		return answer
	case <-ctx.Done():
		return NewAbort()
	}
}

// last decides whether an answer is the last on the connection. While the server drains, that is the first
// one behind which no request has been read.
func (c *serverConn) last(t *turn, answer *Response) bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.hangUp || answer.hangUp || draining && c.pending == 1 {
		c.closing = true
	}
	return c.closing
}

func (c *serverConn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.idleSince = c.server.settings.Timers.Now()
}

func (c *serverConn) write(t *turn, answer *Response, last bool) bool {
	b := takeBuffer()
	defer putBuffer(b)
	encodeResponse(b, answer, t.method, last)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b.Bytes())
	return err == nil
}

// end closes the connection. After an answer it first waits for the caller to close its side, since closing
// over unread bytes resets the connection and may destroy the answer.
func (c *serverConn) end(answered bool) {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !answered || !ok {
		_ = c.conn.Close()
		return
	}
	_ = half.CloseWrite()
	c.server.settings.Timers.After(lingerTimeout, func(time.Time) { _ = c.conn.Close() })
}
