package link

import (
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/fxamacker/cbor/v2"
)

// chunkSize is the largest part of a body, in bytes, that one message carries.
const chunkSize = 32 << 10

var errTag = errors.New("message has an unknown tag")

// Tags of the messages of one call.
const (
	tagHead byte = iota + 1
	tagChunk
	tagEnd
)

// requestHead is the wire form of a request without its body.
type requestHead struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Target string
	Host   string
	Header http.Header
	Length int64
}

// responseHead is the wire form of a response without its body.
type responseHead struct {
	_      struct{} `cbor:",toarray"`
	Status int
	Header http.Header
	Length int64
}

func encodeRequestHead(buf rawMessage, req *http.Request) (rawMessage, error) {
	head := requestHead{Method: req.Method, Target: req.URL.RequestURI(), Host: req.Host, Header: req.Header, Length: req.ContentLength}
	if req.Body == nil {
		head.Length = 0
	}
	return appendTagged(buf, tagHead, head)
}

func decodeRequestHead(data []byte) (*http.Request, error) {
	var head requestHead
	if err := decodeTagged(data, tagHead, &head); err != nil {
		return nil, err
	}
	target, err := url.ParseRequestURI(head.Target)
	if err != nil {
		return nil, err
	}
	if head.Header == nil {
		head.Header = make(http.Header)
	}
	return &http.Request{
		Method: head.Method, URL: target, Host: head.Host, Header: head.Header, ContentLength: head.Length,
		RequestURI: head.Target, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}, nil
}

func encodeResponseHead(buf rawMessage, status int, header http.Header, length int64) (rawMessage, error) {
	return appendTagged(buf, tagHead, responseHead{Status: status, Header: header, Length: length})
}

func decodeResponseHead(data []byte, req *http.Request) (*http.Response, error) {
	var head responseHead
	if err := decodeTagged(data, tagHead, &head); err != nil {
		return nil, err
	}
	if head.Header == nil {
		head.Header = make(http.Header)
	}
	return &http.Response{
		StatusCode: head.Status, Status: http.StatusText(head.Status), Header: head.Header, ContentLength: head.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: req,
	}, nil
}

func appendTagged(buf rawMessage, tag byte, head any) (rawMessage, error) {
	data, err := cbor.Marshal(head)
	if err != nil {
		return nil, err
	}
	return append(append(buf[:0], tag), data...), nil
}

func decodeTagged(data []byte, tag byte, head any) error {
	if len(data) == 0 || data[0] != tag {
		return errTag
	}
	return cbor.Unmarshal(data[1:], head)
}

// readChunk reads the next part of a body into a chunk message. At the end of the body it returns the
// end message, which tells a whole body from a broken one.
func readChunk(buf rawMessage, body io.Reader) (msg rawMessage, last bool, err error) {
	if cap(buf) < chunkSize+1 {
		buf = make(rawMessage, chunkSize+1)
	}
	buf = buf[:chunkSize+1]
	n, err := body.Read(buf[1:])
	if n > 0 {
		buf[0] = tagChunk
		return buf[:n+1], false, nil
	}
	if err == io.EOF {
		buf[0] = tagEnd
		return buf[:1], true, nil
	}
	return buf[:0], false, err
}
