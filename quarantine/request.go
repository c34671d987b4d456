// Package quarantine decides which requests no server may run any more, because the servers that ran them crashed. It
// counts, for each request content, the server processes that ended while they ran it. The package is deterministic and
// has no network: control passes crashes and refutations between the nodes.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

var errContent = errors.New("a content has 32 hexadecimal digits")

// ContentBytes is the size of a Content, in bytes.
const ContentBytes = 16

// Content identifies what a request asks for: method, host, path with query, and body. It is a cryptographic hash, so that
// callers cannot construct a request with the content of another one.
type Content [ContentBytes]byte

// ParseContent returns the content with the given hexadecimal digits.
func ParseContent(text string) (Content, error) {
	var c Content
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != ContentBytes {
		return c, errContent
	}
	copy(c[:], data)
	return c, nil
}

// String returns the content in hexadecimal digits.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// Caller identifies who sends a request, by the calling service and the credentials that the request carries. The zero
// value stands for no caller.
type Caller uint64

// Request identifies a request that its caller may send again.
type Request struct {
	content Content
	caller  Caller
}

// NewRequest returns the identity of a request.
func NewRequest(content Content, caller Caller) Request {
	return Request{content: content, caller: caller}
}

// Content returns what the request asks for.
func (r Request) Content() Content { return r.content }

// Caller returns who sends the request.
func (r Request) Caller() Caller { return r.caller }

// NewContent returns the content of a request. target is the path with the query.
func NewContent(method, host, target string, body []byte) Content {
	var c Content
	copy(c[:], digestOf(body, method, host, target))
	return c
}

// NewCaller returns the identity of a caller from the service that calls and its credentials.
func NewCaller(service string, credentials ...string) Caller {
	return Caller(binary.BigEndian.Uint64(digestOf(nil, append([]string{service}, credentials...)...)))
}

// digestOf returns a hash over parts, which are kept apart, and the rest.
func digestOf(rest []byte, parts ...string) []byte {
	buffer := make([]byte, 0, 256)
	for _, part := range parts {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	h := sha256.New()
	_, _ = h.Write(buffer) // never fails
	_, _ = h.Write(rest)
	return h.Sum(buffer[:0])
}
