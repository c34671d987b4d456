// Package exchange speaks HTTP/1.1 on both sides of a node: a server that keeps pipelined requests in order
// and notices callers that leave, and a client that tells whether a request can have reached its server. It
// reads and writes messages with net/http, but keeps connections itself: http.Server stops watching a
// connection once a pipelined request has arrived, and http.Transport repeats requests on its own and
// takes any answer on a connection for the answer to the request sent last.
package exchange

import (
	"net/http"
	"strings"
	"time"
)

// Request is one request, read whole.
type Request struct {
	method     string
	target     string
	host       string
	header     http.Header
	body       []byte
	receivedAt time.Time
}

// NewRequest returns a request to be sent. target is the path with the query, as it stands on the wire. It
// keeps header and body.
func NewRequest(method, target, host string, header http.Header, body []byte) *Request {
	return &Request{method: method, target: target, host: host, header: header, body: body}
}

// WithReceivedAt returns the request as one received at a time.
func (r *Request) WithReceivedAt(received time.Time) *Request {
	r.receivedAt = received
	return r
}

// Method returns the method.
func (r *Request) Method() string { return r.method }

// Target returns the path with the query, as the caller sent it.
func (r *Request) Target() string { return r.target }

// Host returns the host that the request names.
func (r *Request) Host() string { return r.host }

// Header returns the headers without those of one connection. The receiver may change them.
func (r *Request) Header() http.Header { return r.header }

// Body returns the body. It must not be changed.
func (r *Request) Body() []byte { return r.body }

// ReceivedAt returns when the request was read, if it was received.
func (r *Request) ReceivedAt() time.Time { return r.receivedAt }

// Response is one answer, whole.
type Response struct {
	status     int
	header     http.Header
	body       []byte
	closeAfter bool
	aborted    bool
}

// NewResponse returns an answer. It keeps header and body; header may be nil.
func NewResponse(status int, header http.Header, body []byte) *Response {
	if header == nil {
		header = make(http.Header)
	}
	return &Response{status: status, header: header, body: body}
}

// NewAbort returns the answer that closes the connection without a byte.
func NewAbort() *Response { return &Response{aborted: true, closeAfter: true} }

// WithClose returns the answer after which the connection is closed.
func (r *Response) WithClose() *Response {
	r.closeAfter = true
	return r
}

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// Header returns the headers without those of one connection.
func (r *Response) Header() http.Header { return r.header }

// Body returns the whole body.
func (r *Response) Body() []byte { return r.body }

// hopByHopHeaders concern one connection only and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// stripHopByHop removes the headers of one connection, those named by Connection included.
func stripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
