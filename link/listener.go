package link

import (
	"context"
	"net"
	"sync"

	"github.com/uber-go/tally/v4"
	"storj.io/drpc"
)

// Handlers receive what comes in over accepted connections.
type Handlers struct {
	// HandleFrame takes one encoded peer message.
	HandleFrame func(frame []byte)
	// ServeCalls serves forwarded calls on one connection until it ends.
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

// NewListener serves connections accepted by inner until Close. It takes inner over.
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

func (l *Listener) forget(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *Listener) serve(ctx context.Context, conn net.Conn) {
	defer l.forget(conn)
	p, err := welcome(conn, l.fleet)
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

// serveFrames serves peer messages over drpc, one unary call each.
func (l *Listener) serveFrames(ctx context.Context, conn net.Conn) {
	server := newServer(frameHandler(l.handlers.HandleFrame))
	_ = server.ServeOne(ctx, conn)
}

// frameHandler hands every received frame on.
type frameHandler func(frame []byte)

// HandleRPC implements drpc.Handler.
func (h frameHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != rpcFrame {
		return ErrUnknownPurpose
	}
	var in rawMessage
	if err := stream.MsgRecv(&in, rawEncoding{}); err != nil {
		return err
	}
	h(in)
	return stream.MsgSend(&rawMessage{}, rawEncoding{})
}

// Close stops accepting, ends all connections and waits for their handlers.
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
