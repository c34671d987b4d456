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

// pipelined is the place of one request in the order of answers.
type pipelined struct {
	method     string
	closeAfter bool // the caller wants no further answer
	response   chan *Response
	written    chan struct{} // closed when the answer was written
}

// serverConn is one accepted connection. One goroutine reads requests, one writes answers in order.
type serverConn struct {
	server   *Server
	conn     net.Conn
	limiter  *headLimiter
	reader   *bufio.Reader
	pipeline chan *pipelined
	wg       sync.WaitGroup

	mu         sync.Mutex
	unanswered int
	closing    bool // the answer that is written last has been chosen
	idleSince  time.Time
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	limit := &headLimiter{reader: conn, remaining: unlimited}
	c := &serverConn{
		server: s, conn: conn, limiter: limit,
		reader:    bufio.NewReaderSize(limit, readBuffer),
		pipeline:  make(chan *pipelined, maxPipelined),
		idleSince: s.settings.Timers.Now(),
	}
	return c
}

func (c *serverConn) unansweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}

// idle tells whether no request of the connection is unanswered, and since when.
func (c *serverConn) idle() (bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered == 0 && !c.closing, c.idleSince
}

// closeIfIdle closes the connection unless a request has been read from it, and tells whether it did.
func (c *serverConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 || c.closing {
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
		c.writeResponses(ctx)
	})
	c.readRequests(ctx)
	close(c.pipeline)
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
	var before *pipelined
	for c.awaitRequest() {
		t, req, err := c.readRequest()
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.beginRequest() {
			return
		}
		previous := before
		before = t
		c.pipeline <- t
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
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.idleTimedOut(allowed) {
			return false
		}
	}
}

// idleTimedOut tells whether the connection was idle for longer than what was allowed when it became so, and
// what is allowed now.
func (c *serverConn) idleTimedOut(allowed time.Duration) bool {
	allowed = max(allowed, c.server.settings.IdleTimeout())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered == 0 && c.server.settings.Timers.Now().Sub(c.idleSince) >= allowed
}

func (c *serverConn) readRequest() (*pipelined, *Request, error) {
	s := c.server.settings
	limits := s.Limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(s.HeaderTimeout()))
	raw, err := readHead(c.reader, c.limiter, limits)
	if err != nil {
		return nil, nil, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if raw.Header.Get("Expect") != "" && raw.ContentLength != 0 && c.unansweredCount() == 0 {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, nil, err
		}
	}
	body, err := readBody(raw.Body, raw.ContentLength, limits.MaxBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	t := &pipelined{method: raw.Method, closeAfter: raw.Close || !raw.ProtoAtLeast(1, 1), response: make(chan *Response, 1), written: make(chan struct{})}
	stripHopByHop(raw.Header)
	req := NewRequest(raw.Method, raw.RequestURI, raw.Host, raw.Header, body)
	req.receivedAt = s.Timers.Now()
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
	t := &pipelined{closeAfter: true, response: make(chan *Response, 1), written: make(chan struct{})}
	if c.beginRequest() {
		t.response <- NewResponse(status, nil, nil).WithClose()
		c.pipeline <- t
		<-t.written
	}
}

// beginRequest counts a request in, unless the connection is about to be closed: then the request counts as unread.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.unanswered++
	return true
}

// handle answers one request. Requests that may have effects wait for those before them on the connection,
// as they must not run if an earlier answer closes it.
func (c *serverConn) handle(ctx context.Context, previous, t *pipelined, req *Request) {
	if previous != nil && req.method != http.MethodGet && req.method != http.MethodHead {
		select {
		case <-previous.written:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil || c.isClosing() {
		t.response <- NewAbort()
		return
	}
	t.response <- c.server.settings.Handle(ctx, req)
}

// writeResponses writes the answers in the order of the requests.
func (c *serverConn) writeResponses(ctx context.Context) {
	for t := range c.pipeline {
		answer := c.awaitResponse(ctx, t)
		last := c.decideLast(t, answer)
		ok := !answer.aborted && c.write(t, answer, last)
		close(t.written)
		c.endRequest()
		if !ok || last {
			c.shutDown(ok)
			break
		}
	}
	for t := range c.pipeline {
		close(t.written)
	}
}

func (c *serverConn) awaitResponse(ctx context.Context, t *pipelined) *Response {
	select {
	case answer := <-t.response:
		return answer
	case <-ctx.Done():
		return NewAbort()
	}
}

// decideLast decides whether an answer is the decideLast on the connection. While the server drains, that is the first
// one behind which no request has been read.
func (c *serverConn) decideLast(t *pipelined, answer *Response) bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.closeAfter || answer.closeAfter || draining && c.unanswered == 1 {
		c.closing = true
	}
	return c.closing
}

func (c *serverConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	c.idleSince = c.server.settings.Timers.Now()
}

func (c *serverConn) write(t *pipelined, answer *Response, last bool) bool {
	b := getBuffer()
	defer putBuffer(b)
	encodeResponse(b, answer, t.method, last)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b.Bytes())
	return err == nil
}

// shutDown closes the connection. After an answer it first waits for the caller to close its side, since closing
// over unread bytes resets the connection and may destroy the answer.
func (c *serverConn) shutDown(answered bool) {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !answered || !ok {
		_ = c.conn.Close()
		return
	}
	_ = half.CloseWrite()
	c.server.settings.Timers.After(lingerTimeout, func(time.Time) { _ = c.conn.Close() })
}
