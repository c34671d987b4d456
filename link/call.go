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

// Forwarder sends forwarded calls to peers over HTTP.
type Forwarder struct {
	transport *http.Transport
}

// NewForwarder returns a Forwarder that opens connections with dialer.
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
		MaxIdleConns:        maxIdleCallConns,
		MaxIdleConnsPerHost: maxIdleCallConnsPerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxCallHeaderBytes,
	}}
}

// RoundTrip implements http.RoundTripper. The host of the URL is the peer address of the owner node, whose backend server
// runs the call. The error wraps a *message.NotSentError if no connection could be opened, so that no byte of the call
// was sent.
func (f *Forwarder) RoundTrip(req *http.Request) (*http.Response, error) {
	return f.transport.RoundTrip(req)
}

// Close closes idle connections.
func (f *Forwarder) Close() error {
	f.transport.CloseIdleConnections()
	return nil
}

// CallServer serves forwarded calls over HTTP.
type CallServer struct {
	server *http.Server
	conns  *connQueue
	wg     sync.WaitGroup
}

// NewCallServer returns a running server that passes calls to handler.
func NewCallServer(handler http.Handler) *CallServer {
	c := &CallServer{
		server: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: 2 * idleTimeout},
		conns:  newConnQueue(),
	}
	c.wg.Go(func() { _ = c.server.Serve(c.conns) })
	return c
}

// ServeConn serves the calls on one connection until it is closed or ctx ends.
func (c *CallServer) ServeConn(ctx context.Context, conn net.Conn) {
	w := &closeNotifyConn{Conn: conn, closed: make(chan struct{})}
	if !c.conns.push(w) {
		return
	}
	select {
	case <-w.closed:
	case <-ctx.Done():
	}
}

// Close closes all connections and waits until the server has stopped. It does not wait for running handlers.
func (c *CallServer) Close() error {
	err := c.server.Close()
	c.wg.Wait()
	return err
}

// closeNotifyConn closes a channel when the server closes the connection.
type closeNotifyConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

// Close implements net.Conn.
func (c *closeNotifyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// connQueue is a net.Listener whose Accept returns the connections passed to push.
type connQueue struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnQueue() *connQueue {
	return &connQueue{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// push waits until the server accepts conn. It returns false, without closing conn, if the queue is closed.
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

var errQueueClosed = errors.New("connection queue is closed")
