package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/message"
)

// Forwarder forwards calls to peers by net/http.
type Forwarder struct {
	transport *http.Transport
}

// NewForwarder returns a forwarder that dials by dialer.
func NewForwarder(dialer *Dialer) *Forwarder {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		peer, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		conn, err := dialer.open(ctx, peer, purposeCalls)
		if err != nil {
			return nil, message.NewNotSentError(peer, err)
		}
		return conn, nil
	}
	return &Forwarder{transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// RoundTrip implements http.RoundTripper. The host of the URL is the peer address of the owner node. A
// *message.NotSentError in the error says that no byte of the call was sent.
func (f *Forwarder) RoundTrip(req *http.Request) (*http.Response, error) {
	return f.transport.RoundTrip(req)
}

// Close closes idle connections.
func (f *Forwarder) Close() error {
	f.transport.CloseIdleConnections()
	return nil
}

// CallServer serves forwarded calls by net/http.
type CallServer struct {
	server *http.Server
	conns  *connQueue
	wg     sync.WaitGroup
}

// NewCallServer returns a server that has calls handled by handler.
func NewCallServer(handler http.Handler) *CallServer {
	c := &CallServer{
		server: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: 2 * idleTimeout},
		conns:  newConnQueue(),
	}
	c.wg.Go(func() { _ = c.server.Serve(c.conns) })
	return c
}

// ServeConn serves the calls on one connection until it ends.
func (c *CallServer) ServeConn(ctx context.Context, conn net.Conn) {
	w := &watchedConn{Conn: conn, done: make(chan struct{})}
	if !c.conns.push(w) {
		return
	}
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// Close ends all connections and waits for the server.
func (c *CallServer) Close() error {
	err := c.server.Close()
	c.wg.Wait()
	return err
}

// watchedConn tells when the server has closed the connection.
type watchedConn struct {
	net.Conn
	once sync.Once
	done chan struct{}
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// connQueue is a net.Listener that accepts the connections pushed to it.
type connQueue struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnQueue() *connQueue {
	return &connQueue{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (q *connQueue) push(conn net.Conn) bool {
	select {
	case q.conns <- conn:
		return true
	case <-q.closed:
		return false
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, errQueueClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return &net.TCPAddr{} }

var errQueueClosed = errors.New("queue of connections is closed")
