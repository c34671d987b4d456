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
	errLimitExceeded  = errors.New("message exceeds the size limit")
)

// readLimiter is a reader that fails after a number of bytes, to limit the size of a message or of a part of it.
type readLimiter struct {
	reader    io.Reader
	remaining int
	exceeded  bool
}

func (l *readLimiter) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, errLimitExceeded
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	l.remaining -= n
	return n, err
}

// unlimited disables the readLimiter while a body is read, whose size is limited separately.
const unlimited = 1 << 62

// readHead reads the request line and headers of a request. The error is errHeaderTooLarge, errMalformed or an error of
// the connection. The limit is not exact: bytes that br already holds are not counted, and br.Size() more are allowed,
// since br may read that far beyond the head.
func readHead(br *bufio.Reader, limiter *readLimiter, limits Limits) (*http.Request, error) {
	limiter.remaining = min(limits.MaxHeaderBytes, unlimited) + br.Size()
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

// minBodyBuffer is the first size of the buffer of a body, in bytes.
const minBodyBuffer = 4 << 10

// readBody reads a body of at most limit bytes. A length of -1 is not known. The buffer grows with the bytes that arrive,
// as a stated length may never come, and beyond UnbudgetedBytes only within the budget.
func readBody(body io.Reader, length int64, limit int, budget *Budget) ([]byte, error) {
	if length > int64(limit) {
		return nil, errBodyTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	most := min(limit, unlimited) + 1 // one more shows that the limit is exceeded
	if length > 0 {
		most = int(length)
	}
	data, reserved := make([]byte, 0, min(most, minBodyBuffer)), 0
	defer func() { budget.release(reserved) }()
	for len(data) < most {
		if len(data) == cap(data) {
			size := min(2*cap(data), most)
			if size > UnbudgetedBytes {
				if !budget.reserve(size) {
					return nil, errBudgetUsedUp
				}
				reserved += size
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			if old := cap(data); old > UnbudgetedBytes {
				budget.release(old)
				reserved -= old
			}
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	switch {
	case length > 0 && len(data) < most:
		return nil, io.ErrUnexpectedEOF
	case length < 0 && len(data) == most:
		return nil, errBodyTooLarge
	}
	return data, nil
}
