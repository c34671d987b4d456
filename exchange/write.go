package exchange

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
)

// buffers recycles the buffers of encoded messages.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the largest buffer, in bytes, that is recycled.
const maxPooledBuffer = 64 << 10

func getBuffer() *bytes.Buffer {
	b, _ := buffers.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		buffers.Put(b)
	}
}

// encodeRequest writes a request that leaves its connection open.
func encodeRequest(b *bytes.Buffer, r *Request) {
	b.WriteString(r.method)
	b.WriteByte(' ')
	b.WriteString(r.target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.host)
	b.WriteString("\r\n")
	_ = r.header.Write(b) // writing to a bytes.Buffer does not fail
	if len(r.body) > 0 || expectsBody(r.method) {
		writeContentLength(b, len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
}

// expectsBody reports whether requests with the method must state the length of a body even if it is empty.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeContentLength(b *bytes.Buffer, n int) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(n))
	b.WriteString("\r\n")
}

// encodeResponse writes the response to a request with the given method. The response to HEAD has no body.
func encodeResponse(b *bytes.Buffer, r *Response, method string, closeAfter bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(r.status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(r.status))
	b.WriteString("\r\n")
	_ = r.header.Write(b) // writing to a bytes.Buffer does not fail
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	bodiless := r.status == http.StatusNoContent || r.status == http.StatusNotModified || r.status < http.StatusOK
	if !bodiless {
		writeContentLength(b, len(r.body))
	}
	b.WriteString("\r\n")
	if !bodiless && method != http.MethodHead {
		b.Write(r.body)
	}
}
