package record

// Offset is the position of an entry in a stream of the platform's log. The first entry has offset 0.
type Offset uint64

// Era is a period of the log without loss. It rises each time the log returns from a copy that lacks its last entries, so
// that offsets are given out again. Zero means not known.
type Era uint64

// Entry is one entry of the log.
type Entry struct {
	offset Offset
	data   []byte
}

// NewEntry returns the entry at offset. It retains data, so the caller must not modify it afterwards.
func NewEntry(offset Offset, data []byte) Entry { return Entry{offset: offset, data: data} }

// Offset returns the position of the entry.
func (e Entry) Offset() Offset { return e.offset }

// Data returns the content of the entry. The caller must not modify it.
func (e Entry) Data() []byte { return e.data }
