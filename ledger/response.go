package ledger

// Fingerprint is a hash of a request. It detects the use of one key for two different requests.
type Fingerprint uint64

// Response is a complete HTTP response stored for replay.
type Response struct {
	status int
	header []HeaderField
	body   []byte
}

// HeaderField is one header field of a stored response.
type HeaderField struct {
	Name  string
	Value string
}

// NewResponse returns a response that refers to the given slices. The caller must not modify them afterwards.
func NewResponse(status int, header []HeaderField, body []byte) Response {
	return Response{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Header returns the header fields. The caller must not modify them.
func (r Response) Header() []HeaderField { return r.header }

// Body returns the body. The caller must not modify it.
func (r Response) Body() []byte { return r.body }

// size estimates the memory use of the response in bytes.
func (r Response) size() int {
	sum := len(r.body)
	for _, f := range r.header {
		sum += fieldSize + len(f.Name) + len(f.Value)
	}
	return sum
}

// fieldSize is the memory use of a HeaderField without its text, in bytes.
const fieldSize = 32
