// Package exchange implements the HTTP/1.1 server and client of a node. The server answers pipelined requests in order
// and detects callers that disconnect. The client reports whether a request may have reached its server. Messages are
// parsed with net/http, but written here, and connections are managed here: http.Server stops detecting disconnects
// once a pipelined request has arrived, and http.Transport retries requests on its own and takes any response on a
// connection as the response to the request sent last.
package exchange

import (
	"net/http"
	"strings"
	"time"
)

// Request is a request with its complete body.
type Request struct {
	method     string
	target     string
	host       string
	header     http.Header
	body       []byte
	receivedAt time.Time
}

// NewRequest returns a request to be sent. target is the path with the query, as sent on the wire. The request refers
// to the given header and body. The header is written unchanged after Host and before Content-Length.
func NewRequest(method, target, host string, header http.Header, body []byte) *Request {
	return &Request{method: method, target: target, host: host, header: header, body: body}
}

// WithReceivedAt sets the time of receipt and returns the request.
func (r *Request) WithReceivedAt(receivedAt time.Time) *Request {
	r.receivedAt = receivedAt
	return r
}

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Target returns the path with the query, as the caller sent it.
func (r *Request) Target() string { return r.target }

// Host returns the host of the request.
func (r *Request) Host() string { return r.host }

// Header returns the headers, for a received request without hop-by-hop headers. The handler may modify them.
func (r *Request) Header() http.Header { return r.header }

// Body returns the body. It must not be modified.
func (r *Request) Body() []byte { return r.body }

// ReceivedAt returns when the request was received, or the zero time for a request to be sent.
func (r *Request) ReceivedAt() time.Time { return r.receivedAt }

// Response is a response with its complete body.
type Response struct {
	status     int
	header     http.Header
	body       []byte
	closeAfter bool
	aborted    bool
}

// NewResponse returns a response that refers to the given header and body. header may be nil.
func NewResponse(status int, header http.Header, body []byte) *Response {
	if header == nil {
		header = make(http.Header)
	}
	return &Response{status: status, header: header, body: body}
}

// NewAbort returns a response that closes the connection without sending anything.
func NewAbort() *Response { return &Response{aborted: true, closeAfter: true} }

// WithClose has the connection closed after the response and returns the response.
func (r *Response) WithClose() *Response {
	r.closeAfter = true
	return r
}

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// Header returns the headers, for a received response without hop-by-hop headers.
func (r *Response) Header() http.Header { return r.header }

// Body returns the body.
func (r *Response) Body() []byte { return r.body }

// hopByHopHeaders apply to a single connection and are never forwarded. Content-Length and Expect are among them:
// encoding sets the length anew, and the server itself answers Expect.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// stripHopByHop removes the hop-by-hop headers, including those listed in Connection.
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
