package ledger

// Fingerprint is a hash of a request, to detect that one key is used for two requests.
type Fingerprint uint64

// Response is a whole answer kept for replay.
type Response struct {
	status int
	header []HeaderField
	body   []byte
}

// HeaderField is one header field of a kept answer.
type HeaderField struct {
	Name  string
	Value string
}

// NewResponse returns an answer. It keeps the slices, so the caller must not change them afterwards.
func NewResponse(status int, header []HeaderField, body []byte) Response {
	return Response{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a Response) Status() int { return a.status }

// Header returns the header fields. The caller must not change it.
func (a Response) Header() []HeaderField { return a.header }

// Body returns the body. The caller must not change it.
func (a Response) Body() []byte { return a.body }

// size estimates the memory that the answer takes, in bytes.
func (a Response) size() int {
	sum := len(a.body)
	for _, f := range a.header {
		sum += fieldSize + len(f.Name) + len(f.Value)
	}
	return sum
}

// fieldSize is the size of a Field without the text, in bytes.
const fieldSize = 32
