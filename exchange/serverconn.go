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
	// maxPipelined is the capacity of the queue of unanswered requests of a connection.
	maxPipelined = 32
	// bodyTimeout limits the time to read a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout limits the time to write a response, so that a caller that does not read cannot hold
	// resources for long.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection whose write side is closed waits for the caller to close its side.
	lingerTimeout = 500 * time.Millisecond
	// bodyRetryAfter is the Retry-After time, in seconds, of a request for whose body there was no memory.
	bodyRetryAfter = "1"
	// readBuffer is the size of the read buffer of a connection, in bytes.
	readBuffer = 4 << 10
)

// pipelinedRequest is a request in the order in which responses are written.
type pipelinedRequest struct {
	method     string
	closeAfter bool // the caller requested that the connection be closed after the response
	response   chan *Response
	written    chan struct{} // closed when the response has been written or dropped
}

// serverConn is one accepted connection. One goroutine reads requests, another writes responses in order.
type serverConn struct {
	server   *Server
	conn     net.Conn
	limiter  *readLimiter
	reader   *bufio.Reader
	pipeline chan *pipelinedRequest
	wg       sync.WaitGroup

	mu         sync.Mutex
	unanswered int
	closing    bool // the last response has been determined, or the connection was closed
	idleSince  time.Time
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	limiter := &readLimiter{reader: conn, remaining: unlimited}
	c := &serverConn{
		server: s, conn: conn, limiter: limiter,
		reader:    bufio.NewReaderSize(limiter, readBuffer),
		pipeline:  make(chan *pipelinedRequest, maxPipelined),
		idleSince: s.settings.Timers.Now(),
	}
	return c
}

func (c *serverConn) unansweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}

// idle reports whether the connection has no unanswered request, and since when.
func (c *serverConn) idle() (bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered == 0 && !c.closing, c.idleSince
}

// closeIfIdle closes the connection unless it has an unanswered request, and reports whether it did.
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
		cancel() // the caller disconnected
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

// readRequests reads requests until the caller disconnects, the idle timeout passes or the last response has been
// determined.
func (c *serverConn) readRequests(ctx context.Context) {
	var last *pipelinedRequest
	for c.awaitRequest() {
		p, req, err := c.readRequest()
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.beginRequest() {
			return
		}
		previous := last
		last = p
		c.pipeline <- p
		c.wg.Go(func() { c.handle(ctx, previous, p, req) })
	}
}

// awaitRequest waits for the first byte of a request, and reports whether it arrived.
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

// idleTimedOut reports whether the connection has been idle for longer than both allowed, the idle timeout when the
// wait began, and the current idle timeout.
func (c *serverConn) idleTimedOut(allowed time.Duration) bool {
	allowed = max(allowed, c.server.settings.IdleTimeout())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered == 0 && c.server.settings.Timers.Now().Sub(c.idleSince) >= allowed
}

func (c *serverConn) readRequest() (*pipelinedRequest, *Request, error) {
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
	body, err := readBody(raw.Body, raw.ContentLength, limits.MaxBodyBytes, s.Budget)
	if err != nil {
		return nil, nil, err
	}
	p := &pipelinedRequest{method: raw.Method, closeAfter: raw.Close || !raw.ProtoAtLeast(1, 1), response: make(chan *Response, 1), written: make(chan struct{})}
	stripHopByHop(raw.Header)
	req := NewRequest(raw.Method, raw.RequestURI, raw.Host, raw.Header, body)
	req.receivedAt = s.Timers.Now()
	return p, req, nil
}

// refuse sends the error response for a request that could not be read, and closes the connection.
func (c *serverConn) refuse(err error) {
	status := 0
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errMalformed):
		status = http.StatusBadRequest
	case errors.Is(err, errBudgetUsedUp):
		status = http.StatusServiceUnavailable
	default:
		return // the connection broke or the request timed out
	}
	p := &pipelinedRequest{closeAfter: true, response: make(chan *Response, 1), written: make(chan struct{})}
	if c.beginRequest() {
		header := make(http.Header)
		if status == http.StatusServiceUnavailable {
			header.Set("Retry-After", bodyRetryAfter)
		}
		p.response <- NewResponse(status, header, nil).WithClose()
		c.pipeline <- p
		<-p.written
	}
}

// beginRequest counts a request as unanswered, and reports whether it may be handled. A connection that is closing
// ignores further requests.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.unanswered++
	return true
}

// handle answers one request. Requests other than GET and HEAD may have effects. They wait for the previous response on
// the connection, since they must not run if that response closes it.
func (c *serverConn) handle(ctx context.Context, previous, p *pipelinedRequest, req *Request) {
	if previous != nil && req.method != http.MethodGet && req.method != http.MethodHead {
		select {
		case <-previous.written:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil || c.isClosing() {
		p.response <- NewAbort()
		return
	}
	p.response <- c.server.settings.Handle(ctx, req)
}

// writeResponses writes the responses in the order of their requests.
func (c *serverConn) writeResponses(ctx context.Context) {
	for p := range c.pipeline {
		response := c.awaitResponse(ctx, p)
		last := c.decideLast(p, response)
		ok := !response.aborted && c.write(p, response, last)
		close(p.written)
		c.endRequest()
		if !ok || last {
			c.shutDown(ok)
			break
		}
	}
	for p := range c.pipeline {
		close(p.written)
	}
}

func (c *serverConn) awaitResponse(ctx context.Context, p *pipelinedRequest) *Response {
	select {
	case response := <-p.response:
		return response
	case <-ctx.Done():
		return NewAbort()
	}
}

// decideLast determines whether a response is the last one on the connection. While the server drains, it is the first
// response behind which no request is pending.
func (c *serverConn) decideLast(p *pipelinedRequest, response *Response) bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.closeAfter || response.closeAfter || draining && c.unanswered == 1 {
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

func (c *serverConn) write(p *pipelinedRequest, response *Response, last bool) bool {
	b := getBuffer()
	defer putBuffer(b)
	encodeResponse(b, response, p.method, last)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b.Bytes())
	return err == nil
}

// shutDown closes the connection. After a response it first closes only the write side and waits for the caller to
// close its side, since closing with unread data resets the connection and may discard the response.
func (c *serverConn) shutDown(answered bool) {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !answered || !ok {
		_ = c.conn.Close()
		return
	}
	_ = half.CloseWrite()
	c.server.settings.Timers.After(lingerTimeout, func(time.Time) { _ = c.conn.Close() })
}
