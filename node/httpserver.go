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

// httpEdge serves one HTTP port.
type httpEdge struct {
	server *http.Server
	wg     sync.WaitGroup
}

// listenHTTP binds an address, so that a node that cannot have all its addresses starts nothing.
func listenHTTP(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, oops.In("node.listen").With("address", addr).Wrap(err)
	}
	return l, nil
}

func newHTTPEdge(l net.Listener, handler http.Handler) *httpEdge {
	e := &httpEdge{server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}}
	e.wg.Go(func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	})
	return e
}

// drain stops accepting and waits until the requests in flight have ended or the time has passed.
func (e *httpEdge) drain(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return e.server.Shutdown(ctx)
}

// Close ends all connections and waits for the server.
func (e *httpEdge) Close() {
	_ = e.server.Close()
	e.wg.Wait()
}
