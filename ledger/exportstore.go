package ledger

import (
	"errors"
	"slices"
	"time"
)

// Limits of the exports that a node stores.
const (
	maxStoredExports     = 16
	maxStoredExportBytes = 32 << 20
	// exportEntrySize estimates the memory use of an export entry without its response, in bytes.
	exportEntrySize = 160
)

// ErrExportRejected reports an export that is expired, exceeds the size limit or claims to be of the process that
// receives it.
var ErrExportRejected = errors.New("the export is expired, too large or contradicts another")

// ExportStore holds the exports of terminated processes. It never allows a key to run. It is not safe for
// concurrent use.
type ExportStore struct {
	exports []*storedExport // oldest arrival first
	bytes   int
}

type storedExport struct {
	export    Export
	expiresAt time.Time
	bytes     int
}

// NewExportStore returns an empty store.
func NewExportStore() *ExportStore { return &ExportStore{} }

// Add stores an export until its keys expire or newer exports evict it. It ignores further exports of the same
// process. The error is ErrExportRejected.
func (s *ExportStore) Add(now time.Time, e Export) error {
	s.expire(now)
	if slices.ContainsFunc(s.exports, func(k *storedExport) bool { return k.export.owner == e.owner }) {
		return nil
	}
	x := &storedExport{export: e, expiresAt: earlierTime(now, e.frozenAt).Add(e.ttl), bytes: e.size()}
	if !x.expiresAt.After(now) || x.bytes > maxStoredExportBytes {
		return ErrExportRejected
	}
	s.exports = append(s.exports, x)
	s.bytes += x.bytes
	for len(s.exports) > maxStoredExports || s.bytes > maxStoredExportBytes {
		s.drop(0)
	}
	return nil
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (e Export) size() int {
	sum := len(e.entries) * exportEntrySize
	for _, x := range e.entries {
		sum += x.response.size()
	}
	return sum
}

// Lookup returns the recorded outcome of a key. VerdictNotRun is final, since the process that owns the key is
// frozen. VerdictStale means that no stored export covers the key.
func (s *ExportStore) Lookup(now time.Time, key Key, fp Fingerprint) (Verdict, Response) {
	s.expire(now)
	n := slices.IndexFunc(s.exports, func(k *storedExport) bool { return k.export.owner == key.Owner() })
	if n < 0 {
		return VerdictStale, Response{}
	}
	return s.exports[n].export.lookup(key, fp)
}

func (e Export) lookup(key Key, fp Fingerprint) (Verdict, Response) {
	n, found := slices.BinarySearchFunc(e.entries, exportEntry{key: key}, compareKeys)
	issuedAt := key.IssuedAt()
	if !found {
		if issuedAt.After(e.floor) && issuedAt.Before(e.frozenAt) {
			return VerdictNotRun, Response{}
		}
		return VerdictStale, Response{}
	}
	x := e.entries[n]
	switch {
	case x.fp != fp:
		return VerdictMismatch, Response{}
	case x.phase == phaseAnswered:
		return VerdictReplay, x.response
	case x.phase == phaseNotRun:
		return VerdictNotRun, Response{}
	}
	return VerdictUnknown, Response{}
}

// Len returns the number of stored exports.
func (s *ExportStore) Len() int { return len(s.exports) }

func (s *ExportStore) expire(now time.Time) {
	for n := len(s.exports) - 1; n >= 0; n-- {
		if !s.exports[n].expiresAt.After(now) {
			s.drop(n)
		}
	}
}

func (s *ExportStore) drop(n int) {
	s.bytes -= s.exports[n].bytes
	s.exports = slices.Delete(s.exports, n, n+1)
}
