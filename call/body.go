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

// maxBuffered is the size in bytes up to which a request or an answer is held in memory, so that it
// can be sent again.
const maxBuffered = 64 << 10

// requestBody is the body of a request, whole if it is small.
type requestBody struct {
	buffered []byte
	rest     io.Reader // what follows data, nil if data is whole
	length   int64     // total length, -1 if not known
}

// readRequestBody reads a body up to maxBuffered.
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

// repeatable tells whether the body can be sent more than once.
func (p requestBody) repeatable() bool { return p.rest == nil }

// fingerprint hashes what tells one request from another.
func (p requestBody) fingerprint(r *http.Request) ledger.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.WriteString(" ")
	_, _ = h.WriteString(r.URL.RequestURI())
	_, _ = h.WriteString("\n")
	_, _ = h.Write(p.buffered)
	return ledger.Fingerprint(h.Sum64())
}

// newOutgoingRequest returns a request that passes r on to host.
func newOutgoingRequest(ctx context.Context, r *http.Request, host string, p requestBody) *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header, len(r.Header)+4),
		Host:          r.Host,
		ContentLength: p.length,
	}
	copyEndToEndHeaders(out.Header, r.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	switch {
	case p.rest != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(p.buffered), p.rest))
	case len(p.buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(p.buffered)) // without GetBody, net/http can't send it again
	}
	return out.WithContext(ctx)
}

// SendOnce returns req changed such that net/http itself never sends it twice: net/http repeats requests
// without a body that carry an Idempotency-Key, or whose method is safe, when a kept connection breaks.
func SendOnce(req *http.Request) *http.Request {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(bytes.NewReader(nil))
		req.ContentLength = -1
	}
	return req
}

// SendTrace tells whether any part of a request may have been written to a connection.
type SendTrace struct {
	connected atomic.Bool
}

// NewSendTrace returns a trace for one request.
func NewSendTrace() *SendTrace { return &SendTrace{} }

// Connected tells whether the request got a connection.
func (s *SendTrace) Connected() bool { return s.connected.Load() }

// Context returns a context under which the request is to be sent.
func (s *SendTrace) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// copyBuffers holds buffers of copyBuffer bytes.
var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferSize)
	return &buf
}}

const copyBufferSize = 16 << 10

// discard reads what is left of a short body, so that the connection can be used again.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
	resp.Body.Close()
}

// maxDiscard is the size in bytes up to which reading on is cheaper than a new connection.
const maxDiscard = 4 << 10

// errIncompleteResponse: an answer ended before its end.
var errIncompleteResponse = errors.New("the answer broke off")

// copyResponse copies an answer's body. An error means that the answer given is not whole.
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

// copyFlushing passes on each part of a body of unknown length as it comes.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	flush := http.NewResponseController(w)
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
		_ = flush.Flush()
	}
}
