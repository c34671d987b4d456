package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/klauspost/compress/zstd"
)

// MaxExportBytes is the maximum size of an encoded export, both before and after compression.
const MaxExportBytes = 12 << 20

// Errors of encoding and decoding exports.
var (
	// ErrExportTooLarge: the export exceeds MaxExportBytes.
	ErrExportTooLarge = errors.New("the export is too large")
	// ErrExportMalformed: the data is not a valid export.
	ErrExportMalformed = errors.New("the export is malformed")
)

const (
	keySize         = 16
	fingerprintSize = 8
	exportFormat    = 1
	minStatus       = 200
	maxStatus       = 999
)

var newline = []byte("\n")

type wireExport struct {
	Format       int            `cbor:"0,keyasint"`
	Owner        uint32         `cbor:"1,keyasint"`
	Floor        int64          `cbor:"2,keyasint"` // milliseconds since 1970
	Frozen       int64          `cbor:"3,keyasint"` // milliseconds since 1970
	TTL          int64          `cbor:"4,keyasint"` // milliseconds
	Keys         []byte         `cbor:"5,keyasint"`
	Fingerprints []byte         `cbor:"6,keyasint"`
	Phases       []byte         `cbor:"7,keyasint"`
	Responses    []wireResponse `cbor:"8,keyasint"` // of the answered keys, in the order of Keys
}

type wireResponse struct {
	Status int    `cbor:"0,keyasint"`
	Header []byte `cbor:"1,keyasint"` // alternating names and values, each terminated by a newline
	Body   []byte `cbor:"2,keyasint"`
}

var exportEncoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	return e
})

var exportDecoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxExportBytes))
	if err != nil {
		panic(err) // the options are constant
	}
	return d
})

var exportDecMode = sync.OnceValue(func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: MaxExportKeys, MaxMapPairs: 16, MaxNestedLevels: 4,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
})

// EncodeExport returns an export as zstd-compressed CBOR. The error is ErrExportTooLarge.
func EncodeExport(e Export) ([]byte, error) {
	w := wireExport{
		Format: exportFormat, Owner: uint32(e.owner), Floor: e.floor.UnixMilli(), Frozen: e.frozenAt.UnixMilli(),
		TTL: e.ttl.Milliseconds(),
	}
	for _, x := range e.entries {
		w.Keys = append(w.Keys, x.key.id[:]...)
		w.Fingerprints = binary.BigEndian.AppendUint64(w.Fingerprints, uint64(x.fp))
		w.Phases = append(w.Phases, byte(x.phase))
		if x.phase == phaseAnswered {
			w.Responses = append(w.Responses, newWireResponse(x.response))
		}
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxExportBytes {
		return nil, ErrExportTooLarge
	}
	return exportEncoder().EncodeAll(data, nil), nil
}

func newWireResponse(r Response) wireResponse {
	w := wireResponse{Status: r.status, Body: r.body}
	for _, f := range r.header {
		w.Header = append(w.Header, f.Name+"\n"+f.Value+"\n"...)
	}
	return w
}

// DecodeExport decodes the output of EncodeExport. The errors are ErrExportTooLarge and ErrExportMalformed.
func DecodeExport(data []byte) (Export, error) {
	if len(data) > MaxExportBytes {
		return Export{}, ErrExportTooLarge
	}
	plain, err := exportDecoder().DecodeAll(data, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
		return Export{}, ErrExportTooLarge
	}
	if err != nil {
		return Export{}, ErrExportMalformed
	}
	var w wireExport
	if err := exportDecMode().Unmarshal(plain, &w); err != nil {
		return Export{}, ErrExportMalformed
	}
	return w.export()
}

func (w wireExport) export() (Export, error) {
	if !w.valid() {
		return Export{}, ErrExportMalformed
	}
	e := Export{
		owner: Tag(w.Owner), floor: time.UnixMilli(w.Floor), frozenAt: time.UnixMilli(w.Frozen),
		ttl: time.Duration(w.TTL) * time.Millisecond, entries: make([]exportEntry, len(w.Phases)),
	}
	responses, remaining := w.Responses, MaxExportResponseBytes
	for n := range e.entries {
		x := &e.entries[n]
		copy(x.key.id[:], w.Keys[n*keySize:])
		x.fp = Fingerprint(binary.BigEndian.Uint64(w.Fingerprints[n*fingerprintSize:]))
		x.phase = phase(w.Phases[n])
		if !x.validFor(e.owner) || n > 0 && compareKeys(e.entries[n-1], *x) >= 0 {
			return Export{}, ErrExportMalformed
		}
		if x.phase != phaseAnswered {
			continue
		}
		if len(responses) == 0 || !responses[0].valid() || responses[0].size() > remaining {
			return Export{}, ErrExportMalformed
		}
		remaining -= responses[0].size()
		x.response, responses = responses[0].response(), responses[1:]
	}
	if len(responses) > 0 {
		return Export{}, ErrExportMalformed
	}
	return e, nil
}

// valid reports whether the format is supported and the fields are consistent and within the limits.
func (w wireExport) valid() bool {
	n := len(w.Phases)
	switch {
	case w.Format != exportFormat || n > MaxExportKeys:
		return false
	case len(w.Keys) != n*keySize || len(w.Fingerprints) != n*fingerprintSize:
		return false
	case w.TTL <= 0 || w.TTL > maxExportTTL.Milliseconds():
		return false
	}
	return true
}

// validFor reports whether the key is a UUIDv7 of the owner and its phase is final.
func (x exportEntry) validFor(owner Tag) bool {
	if x.key.id.Version() != 7 || x.key.id.Variant() != uuid.RFC4122 || x.key.Owner() != owner {
		return false
	}
	return x.phase == phaseAnswered || x.phase == phaseNotRun || x.phase == phaseUnknown
}

// fieldCount returns the number of header fields.
func (w wireResponse) fieldCount() int { return bytes.Count(w.Header, newline) / 2 }

// size returns the value of Response.size for the decoded response, without allocating it.
func (w wireResponse) size() int {
	return len(w.Body) + len(w.Header) + (fieldSize-2)*w.fieldCount()
}

func (w wireResponse) valid() bool {
	terminated := len(w.Header) == 0 || bytes.HasSuffix(w.Header, newline)
	return validStatus(w.Status) && terminated && bytes.Count(w.Header, newline)%2 == 0
}

func (w wireResponse) response() Response {
	r := Response{status: w.Status, body: w.Body, header: make([]HeaderField, 0, w.fieldCount())}
	texts := strings.Split(string(w.Header), "\n")
	for n := range w.fieldCount() {
		r.header = append(r.header, HeaderField{Name: texts[2*n], Value: texts[2*n+1]})
	}
	return r
}

func validStatus(status int) bool { return status >= minStatus && status <= maxStatus }
