package call

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/ledger"
)

// maxBuffered is the size in bytes up to which a request or response body is held in memory, so that it
// can be sent again.
const maxBuffered = 64 << 10

// requestBody is the body of a request. A body of up to maxBuffered bytes is buffered completely.
type requestBody struct {
	buffered []byte
	rest     io.Reader // the body after buffered, nil if all of it is buffered
	length   int64     // total length in bytes, -1 if unknown
}

// readRequestBody reads and buffers a body up to maxBuffered.
func readRequestBody(r *http.Request) (requestBody, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return requestBody{}, nil
	}
	if r.ContentLength > 0 && r.ContentLength <= maxBuffered {
		data := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, data)
		return requestBody{buffered: data, length: r.ContentLength}, err
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBuffered+1))
	if err != nil {
		return requestBody{}, err
	}
	if len(data) <= maxBuffered {
		return requestBody{buffered: data, length: int64(len(data))}, nil
	}
	return requestBody{buffered: data, rest: r.Body, length: r.ContentLength}, nil
}

// repeatable reports whether the body is buffered completely and can be sent more than once.
func (body requestBody) repeatable() bool { return body.rest == nil }

// fingerprint hashes the method, the URI and the buffered body of a request, which identify it.
func (body requestBody) fingerprint(r *http.Request) ledger.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.WriteString(" ")
	_, _ = h.WriteString(r.URL.RequestURI())
	_, _ = h.WriteString("\n")
	_, _ = h.Write(body.buffered)
	return ledger.Fingerprint(h.Sum64())
}

// newOutgoingRequest returns a request that forwards r to host.
func newOutgoingRequest(ctx context.Context, r *http.Request, host string, body requestBody) *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header, len(r.Header)+4),
		Host:          r.Host,
		ContentLength: body.length,
	}
	copyEndToEndHeaders(out.Header, r.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	switch {
	case body.rest != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body.buffered), body.rest))
	case len(body.buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(body.buffered)) // without GetBody, net/http cannot send it again
	}
	return out.WithContext(ctx)
}

// SendOnce modifies and returns req so that net/http never sends it twice. When a reused connection breaks,
// net/http resends requests that have no body and either carry an Idempotency-Key or have a safe method.
func SendOnce(req *http.Request) *http.Request {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(bytes.NewReader(nil))
		req.ContentLength = -1
	}
	return req
}

// SendTrace records whether any part of a request may have been written to a connection.
type SendTrace struct {
	connected atomic.Bool
}

// NewSendTrace returns a trace for one request.
func NewSendTrace() *SendTrace { return &SendTrace{} }

// Connected reports whether the request got a connection.
func (s *SendTrace) Connected() bool { return s.connected.Load() }

// Context returns a context with the trace attached, under which the request must be sent.
func (s *SendTrace) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// copyBuffers pools buffers of copyBufferSize bytes.
var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferSize)
	return &buf
}}

const copyBufferSize = 16 << 10

// discard reads the rest of a short body and closes it, so that the connection can be reused.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
	resp.Body.Close()
}

// maxDiscard is the number of bytes up to which reading a body to its end is cheaper than a new connection.
const maxDiscard = 4 << 10

// errIncompleteResponse is returned if a response could not be copied to its end.
var errIncompleteResponse = errors.New("response copied incompletely")

// copyResponse copies a response body. On an error, the receiver has only part of the response.
func copyResponse(w http.ResponseWriter, resp *http.Response) error {
	if resp.ContentLength >= 0 {
		buf := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(buf)
		if _, err := io.CopyBuffer(w, resp.Body, *buf); err != nil {
			return errors.Join(errIncompleteResponse, err)
		}
		return nil
	}
	return copyFlushing(w, resp.Body)
}

// copyFlushing copies a body of unknown length and flushes after each read.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return errors.Join(errIncompleteResponse, werr)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Join(errIncompleteResponse, err)
		}
		_ = controller.Flush()
	}
}
