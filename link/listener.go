package link

import (
	"context"
	"net"
	"sync"

	"github.com/uber-go/tally/v4"
	"storj.io/drpc"
)

// Handlers handle the traffic on accepted connections.
type Handlers struct {
	// HandleFrame handles one frame. It may run concurrently for several connections.
	HandleFrame func(frame []byte)
	// ServeCalls serves forwarded calls on one connection until it is closed or ctx ends.
	ServeCalls func(ctx context.Context, conn net.Conn)
}

// Listener accepts connections from other nodes.
type Listener struct {
	fleet    string
	inner    net.Listener
	handlers Handlers
	accepted tally.Counter
	refused  tally.Counter

	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewListener serves connections that inner accepts, until Close. It takes ownership of inner.
func NewListener(inner net.Listener, fleet string, handlers Handlers, scope tally.Scope) *Listener {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Listener{
		fleet:    fleet,
		inner:    inner,
		handlers: handlers,
		accepted: scope.Counter("link_accepted"),
		refused:  scope.Counter("link_refused"),
		cancel:   cancel,
		conns:    make(map[net.Conn]bool),
	}
	l.wg.Go(func() {
		for {
			conn, err := inner.Accept()
			if err != nil {
				return
			}
			if !l.track(conn) {
				return
			}
			l.wg.Go(func() { l.serve(ctx, conn) })
		}
	})
	return l
}

// track registers the connection, so that Close can close it. It closes the connection and returns false if the
// listener is closed already.
func (l *Listener) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *Listener) untrack(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *Listener) serve(ctx context.Context, conn net.Conn) {
	defer l.untrack(conn)
	p, err := receiveHello(conn, l.fleet)
	if err != nil {
		l.refused.Inc(1)
		return
	}
	l.accepted.Inc(1)
	if p == purposeFrames {
		l.serveFrames(ctx, conn)
		return
	}
	l.handlers.ServeCalls(ctx, conn)
}

// serveFrames receives frames over drpc, one unary call each.
func (l *Listener) serveFrames(ctx context.Context, conn net.Conn) {
	server := newServer(frameHandler(l.handlers.HandleFrame))
	_ = server.ServeOne(ctx, conn)
}

// frameHandler passes every received frame to a function.
type frameHandler func(frame []byte)

// HandleRPC implements drpc.Handler.
func (h frameHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != frameRPC {
		return ErrUnknownPurpose
	}
	var in rawMessage
	if err := stream.MsgRecv(&in, rawEncoding{}); err != nil {
		return err
	}
	h(in)
	return stream.MsgSend(&rawMessage{}, rawEncoding{})
}

// Close stops accepting, closes all connections and waits for their handlers.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	err := l.inner.Close()
	l.cancel()
	l.wg.Wait()
	return err
}
