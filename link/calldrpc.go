package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/samber/oops"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/bambooknot/bambooknot/message"
)

// ErrBroken is the error of a body that ended before its end was announced.
var ErrBroken = errors.New("body is broken off")

// DrpcForward forwards calls to peers over drpc streams, one stream per call.
type DrpcForward struct {
	pool *pool
}

// NewDrpcForward returns a forwarder that dials by dialer.
func NewDrpcForward(dialer *Dialer) *DrpcForward {
	return &DrpcForward{pool: newPool(dialer, purposeCalls, maxIdle, maxIdlePerPeer)}
}

// RoundTrip implements http.RoundTripper. The host of the URL is the peer address of the owner node.
// A *message.NotSent in the error says that no byte of the call was sent.
func (f *DrpcForward) RoundTrip(req *http.Request) (*http.Response, error) {
	peer, err := netip.ParseAddrPort(req.URL.Host)
	if err != nil {
		return nil, oops.In("link.forward").With("peer", req.URL.Host).Wrap(message.NewNotSent(peer, err))
	}
	conn, err := f.pool.take(req.Context(), peer)
	if err != nil {
		return nil, message.NewNotSent(peer, err)
	}
	stream, err := conn.NewStream(req.Context(), rpcCall, rawEncoding{})
	if err != nil {
		_ = conn.Close()
		return nil, message.NewNotSent(peer, err)
	}
	c := &clientCall{pool: f.pool, peer: peer, conn: conn, stream: stream}
	res, err := c.exchange(req)
	if err != nil {
		c.abort()
		return nil, oops.In("link.forward").With("peer", peer).Wrap(err)
	}
	return res, nil
}

// Close closes idle connections.
func (f *DrpcForward) Close() error { return f.pool.close() }

// clientCall is one call on its way.
type clientCall struct {
	pool   *pool
	peer   netip.AddrPort
	conn   *drpcconn.Conn
	stream drpc.Stream
}

func (c *clientCall) exchange(req *http.Request) (*http.Response, error) {
	head, err := encodeRequestHead(nil, req)
	if err != nil {
		return nil, message.NewNotSent(c.peer, err)
	}
	if err := c.stream.MsgSend(&head, rawEncoding{}); err != nil {
		return nil, err
	}
	if err := c.startBody(req); err != nil {
		return nil, err
	}
	var msg rawMessage
	if err := c.stream.MsgRecv(&msg, rawEncoding{}); err != nil {
		return nil, err
	}
	res, err := decodeResponseHead(msg, req)
	if err != nil {
		return nil, err
	}
	res.Body = &clientBody{call: c}
	return res, nil
}

// startBody sends a request without body, or starts to send the body while the response may arrive.
func (c *clientCall) startBody(req *http.Request) error {
	if req.Body == nil || req.Body == http.NoBody {
		return c.stream.CloseSend()
	}
	go func() { c.sendBody(req.Body, req.ContentLength) }()
	return nil
}

func (c *clientCall) sendBody(body io.ReadCloser, length int64) {
	defer func() { _ = body.Close() }()
	if err := sendChunks(c.stream, body, length); err != nil {
		_ = c.stream.Close()
		return
	}
	_ = c.stream.CloseSend()
}

func (c *clientCall) abort() {
	_ = c.stream.Close()
	_ = c.conn.Close()
}

func (c *clientCall) release() {
	_ = c.stream.Close()
	c.pool.put(c.peer, c.conn)
}

// sendChunks sends a body and its end. Each chunk leaves at once, but for the last of a known length,
// which leaves together with the end.
func sendChunks(stream drpc.Stream, body io.Reader, length int64) error {
	var buf rawMessage
	var sent int64
	for {
		msg, last, err := readChunk(buf, body)
		if err != nil {
			return err
		}
		if err := stream.MsgSend(&msg, rawEncoding{}); err != nil {
			return err
		}
		if last {
			return nil
		}
		sent += int64(len(msg) - 1)
		if sent != length {
			if err := flush(stream); err != nil {
				return err
			}
		}
		buf = msg
	}
}

// chunkReader reads a body from the chunks of a stream.
type chunkReader struct {
	stream drpc.Stream
	msg    rawMessage
	rest   []byte
	err    error
}

// Read implements io.Reader. It returns io.EOF only after the end message.
func (r *chunkReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.next()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *chunkReader) next() {
	if err := r.stream.MsgRecv(&r.msg, rawEncoding{}); err != nil {
		r.err = errors.Join(ErrBroken, err)
		return
	}
	switch {
	case len(r.msg) == 0:
		r.err = errTag
	case r.msg[0] == tagChunk:
		r.rest = r.msg[1:]
	case r.msg[0] == tagEnd:
		r.err = io.EOF
	default:
		r.err = errTag
	}
}

// clientBody is the body of a response. A connection whose body was read to the end is used again.
type clientBody struct {
	call   *clientCall
	reader chunkReader
	closed bool
}

// Read implements io.Reader.
func (b *clientBody) Read(p []byte) (int, error) {
	b.reader.stream = b.call.stream
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (b *clientBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.reader.err == io.EOF {
		b.call.release()
		return nil
	}
	b.call.abort()
	return nil
}

// DrpcCalls serves forwarded calls over drpc.
type DrpcCalls struct {
	handler http.Handler
}

// NewDrpcCalls returns a server that has calls handled by handler.
func NewDrpcCalls(handler http.Handler) *DrpcCalls { return &DrpcCalls{handler: handler} }

// ServeConn serves the calls on one connection until it ends.
func (c *DrpcCalls) ServeConn(ctx context.Context, conn net.Conn) {
	_ = newServer(c).ServeOne(ctx, conn)
}

// HandleRPC implements drpc.Handler.
func (c *DrpcCalls) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	if rpc != rpcCall {
		return ErrPurpose
	}
	var msg rawMessage
	if err := stream.MsgRecv(&msg, rawEncoding{}); err != nil {
		return err
	}
	req, err := decodeRequestHead(msg)
	if err != nil {
		return err
	}
	req.Body = http.NoBody
	if req.ContentLength != 0 {
		req.Body = io.NopCloser(&chunkReader{stream: stream})
	}
	return c.serve(stream, req.WithContext(stream.Context()))
}

func (c *DrpcCalls) serve(stream drpc.Stream, req *http.Request) (err error) {
	w := &responseWriter{stream: stream, header: make(http.Header)}
	defer func() {
		if p := recover(); p != nil {
			err = ErrBroken
		}
	}()
	c.handler.ServeHTTP(w, req)
	return w.finish()
}
