package exchange

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

// Settings of a Server.
type Settings struct {
	// Handle answers a request. The context ends when the caller has left.
	Handle func(ctx context.Context, r *Request) *Response
	// Limits returns what callers may send at present.
	Limits func() Limits
	// HeaderTimeout returns how long the head of a request may take at present.
	HeaderTimeout func() time.Duration
	// IdleTimeout returns how long a connection may be idle at present.
	IdleTimeout func() time.Duration
	// MaxConnections is the most connections that are open at once, or 0 for any number. Beyond it, the one that has
	// been idle for the longest is closed, or the new one if none is idle.
	MaxConnections int
	// Timers tells the time.
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

// NewServer serves the connections accepted by listener until Close, and those given to ServeConn.
// listener may be nil.
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

// acceptRetryDelay is the pause after a failed accept, as when descriptors are short.
const acceptRetryDelay = 20 * time.Millisecond

// awaitAcceptRetry waits after a failed accept, and tells whether the listener may accept again.
func (s *Server) awaitAcceptRetry(ctx context.Context, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	over := make(chan struct{})
	wait := s.settings.Timers.After(acceptRetryDelay, func(time.Time) { close(over) })
	defer wait.Close()
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeConn serves one connection until it ends or the context does.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	c := newServerConn(s, conn)
	if !s.add(c) {
		_ = conn.Close()
		return
	}
	defer s.remove(c)
	c.serve(ctx)
}

func (s *Server) add(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.settings.MaxConnections > 0 && len(s.conns) >= s.settings.MaxConnections && !s.evictIdle() {
		return false
	}
	s.conns[c] = true
	return true
}

// evictIdle closes the connection that has been idle for the longest, and tells whether there was one. The caller
// holds mu.
func (s *Server) evictIdle() bool {
	var longest *serverConn
	var since time.Time
	for c := range s.conns {
		if idle, at := c.idle(); idle && (longest == nil || at.Before(since)) {
			longest, since = c, at
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

// Drain has every connection closed after its next answer. Idle connections stay open, as a request may be
// on its way.
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

// ActiveRequests returns the number of requests that were read and are not answered yet.
func (s *Server) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := 0
	for c := range s.conns {
		active += c.unansweredCount()
	}
	return active
}

// Close stops accepting, ends all connections and waits for their handlers.
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
