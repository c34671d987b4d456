package ledger

// Fingerprint is a hash of a request, to detect that one key is used for two requests.
type Fingerprint uint64

// Answer is a whole answer kept for replay.
type Answer struct {
	status int
	header []Field
	body   []byte
}

// Field is one header field of a kept answer.
type Field struct {
	Name  string
	Value string
}

// NewAnswer returns an answer. It keeps the slices, so the caller must not change them afterwards.
func NewAnswer(status int, header []Field, body []byte) Answer {
	return Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Header returns the header fields. The caller must not change it.
func (a Answer) Header() []Field { return a.header }

// Body returns the body. The caller must not change it.
func (a Answer) Body() []byte { return a.body }

// size estimates the memory that the answer takes, in bytes.
func (a Answer) size() int {
	sum := len(a.body)
	for _, f := range a.header {
		sum += fieldSize + len(f.Name) + len(f.Value)
	}
	return sum
}

// fieldSize is the size of a Field without the text, in bytes.
const fieldSize = 32
