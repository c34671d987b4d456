package link

import (
	"net/http"
	"strconv"

	"storj.io/drpc"
)

// responseWriter writes a response as messages of a drpc stream.
type responseWriter struct {
	stream  drpc.Stream
	header  http.Header
	started bool
	buf     rawMessage
	err     error
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.started || status < http.StatusOK {
		return
	}
	w.started = true
	head, err := encodeResponseHead(nil, status, w.header, w.length())
	if err != nil {
		w.err = err
		return
	}
	w.err = w.stream.MsgSend(&head, rawEncoding{})
}

func (w *responseWriter) length() int64 {
	n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	written := 0
	for len(p) > 0 && w.err == nil {
		n := min(len(p), chunkSize)
		w.buf = append(append(w.buf[:0], tagChunk), p[:n]...)
		if w.err = w.stream.MsgSend(&w.buf, rawEncoding{}); w.err == nil {
			written += n
		}
		p = p[n:]
	}
	return written, w.err
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.err = flush(w.stream)
	}
}

// finish announces the end of the body.
func (w *responseWriter) finish() error {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return w.err
	}
	return w.stream.MsgSend(&rawMessage{tagEnd}, rawEncoding{})
}
