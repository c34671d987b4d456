package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// httpServer serves HTTP on one listener.
type httpServer struct {
	server *http.Server
	wg     sync.WaitGroup
}

// listenHTTP binds an address. It is separate from newHTTPServer, so that a node that cannot bind all its addresses starts
// nothing.
func listenHTTP(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, oops.In("node.listen").With("address", addr).Wrap(err)
	}
	return l, nil
}

func newHTTPServer(l net.Listener, handler http.Handler) *httpServer {
	s := &httpServer{server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}}
	s.wg.Go(func() {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	})
	return s
}

// drain stops accepting connections and waits until the requests in flight have finished or the timeout has passed.
func (s *httpServer) drain(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.server.Shutdown(ctx)
}

// Close closes all connections and waits for the server.
func (s *httpServer) Close() {
	_ = s.server.Close()
	s.wg.Wait()
}
