package exchange

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

// Settings are the settings of a Server.
type Settings struct {
	// Handle answers a request. The context is cancelled when the caller disconnects. Handle is called concurrently,
	// also for pipelined requests; only requests other than GET and HEAD wait for the previous response.
	Handle func(ctx context.Context, r *Request) *Response
	// Limits returns the current size limits of requests.
	Limits func() Limits
	// Budget bounds the memory of request bodies while they are read. It may be nil.
	Budget *Budget
	// HeaderTimeout returns the current time limit for reading the request line and headers.
	HeaderTimeout func() time.Duration
	// IdleTimeout returns the current idle timeout of connections.
	IdleTimeout func() time.Duration
	// MaxConnections is the maximum number of open connections, or 0 for no limit. A connection beyond the limit
	// replaces the one that has been idle for the longest time, or is closed if none is idle.
	MaxConnections int
	// Timers is the clock and timer service.
	Timers *timer.Service
}

// Server serves HTTP/1.1 connections.
type Server struct {
	settings Settings
	listener net.Listener
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	conns    map[*serverConn]bool
	draining bool
	closed   bool
}

// NewServer returns a server that serves the connections accepted by listener until Close, and those passed to
// ServeConn. listener may be nil.
func NewServer(listener net.Listener, settings Settings) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{settings: settings, listener: listener, cancel: cancel, conns: make(map[*serverConn]bool)}
	if listener == nil {
		return s
	}
	s.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if !s.awaitAcceptRetry(ctx, err) {
					return
				}
				continue
			}
			s.wg.Go(func() { s.ServeConn(ctx, conn) })
		}
	})
	return s
}

// acceptRetryDelay is the delay after a failed accept, for example when no file descriptors are left.
const acceptRetryDelay = 20 * time.Millisecond

// awaitAcceptRetry waits after a failed accept. It reports whether to accept again.
func (s *Server) awaitAcceptRetry(ctx context.Context, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	elapsed := make(chan struct{})
	wait := s.settings.Timers.After(acceptRetryDelay, func(time.Time) { close(elapsed) })
	defer wait.Close()
	select {
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeConn serves a connection until it ends or the context is cancelled.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	c := newServerConn(s, conn)
	if !s.add(c) {
		_ = conn.Close()
		return
	}
	defer s.remove(c)
	c.serve(ctx)
}

// add registers a connection, and reports whether the server accepts it.
func (s *Server) add(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.settings.MaxConnections > 0 && len(s.conns) >= s.settings.MaxConnections && !s.evictIdle() {
		return false
	}
	s.conns[c] = true
	return true
}

// evictIdle closes the connection that has been idle for the longest time, and reports whether there was one. The
// caller holds mu.
func (s *Server) evictIdle() bool {
	var longest *serverConn
	var longestSince time.Time
	for c := range s.conns {
		if idle, since := c.idle(); idle && (longest == nil || since.Before(longestSince)) {
			longest, longestSince = c, since
		}
	}
	if longest == nil || !longest.closeIfIdle() {
		return false
	}
	delete(s.conns, longest)
	return true
}

func (s *Server) remove(c *serverConn) {
	_ = c.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain has each connection closed after the next response behind which no request is pending. Idle connections stay
// open, since a request may be in transit.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// ActiveRequests returns the number of requests that have been read but not yet answered.
func (s *Server) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := 0
	for c := range s.conns {
		active += c.unansweredCount()
	}
	return active
}

// Close closes the listener and all connections, and waits for the handlers of those that the listener accepted.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.cancel()
	s.wg.Wait()
}
