package exchange

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

// Limits are the size limits of requests.
type Limits struct {
	MaxHeaderBytes int // maximum size of the request line and headers, not enforced to the byte
	MaxBodyBytes   int // maximum size of the body
}

// Errors of requests that cannot be read.
var (
	errHeaderTooLarge = errors.New("request line and headers exceed the size limit")
	errBodyTooLarge   = errors.New("body exceeds the size limit")
	errMalformed      = errors.New("malformed request")
)

// headLimiter is a reader that fails after a number of bytes, to limit the size of a request head.
type headLimiter struct {
	reader    io.Reader
	remaining int
	exceeded  bool
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, errHeaderTooLarge
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	l.remaining -= n
	return n, err
}

// unlimited disables the headLimiter while a body is read, whose size is limited separately.
const unlimited = 1 << 62

// readHead reads the request line and headers of a request. The error is errHeaderTooLarge, errMalformed or an error of
// the connection. The limit is not exact: bytes that br already holds are not counted, and br.Size() more are allowed,
// since br may read that far beyond the head.
func readHead(br *bufio.Reader, limiter *headLimiter, limits Limits) (*http.Request, error) {
	limiter.remaining = limits.MaxHeaderBytes + br.Size()
	req, err := http.ReadRequest(br)
	limiter.remaining = unlimited
	switch {
	case limiter.exceeded:
		return nil, errHeaderTooLarge
	case err == nil && req.Host == "":
		return nil, errMalformed
	case err == nil:
		return req, nil
	case isConnectionError(err):
		return nil, err
	}
	return nil, errors.Join(errMalformed, err)
}

func isConnectionError(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout)
}

// readBody reads a body of at most limit bytes.
func readBody(body io.Reader, length int64, limit int) ([]byte, error) {
	if length > int64(limit) {
		return nil, errBodyTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && len(data) > limit {
		return nil, errBodyTooLarge
	}
	return data, err
}
