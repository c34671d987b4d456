package ledger

import (
	"errors"
	"slices"
	"time"
)

// Bounds of the exports that a node keeps.
const (
	maxDeparted          = 16
	maxStoredExportBytes = 32 << 20
	// exportEntrySize estimates the memory of a listed key without its answer, in bytes.
	exportEntrySize = 160
)

// ErrExportRejected says that an export is expired, too large or contradicts one that is kept.
var ErrExportRejected = errors.New("the export is expired, too large or contradicts another")

// ExportStore keeps the exports of processes that are gone. It never gives a key to run. It is not safe
// for concurrent use.
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

// Add stores an export until its keys are expired, or until newer exports need the place. A second one
// of the same process changes nothing. The error is ErrNotKept.
func (d *ExportStore) Add(now time.Time, e Export) error {
	d.expire(now)
	if slices.ContainsFunc(d.exports, func(k *storedExport) bool { return k.export.owner == e.owner }) {
		return nil
	}
	x := &storedExport{export: e, expiresAt: earlierTime(now, e.frozen).Add(e.ttl), bytes: e.size()}
	if !x.expiresAt.After(now) || x.bytes > maxStoredExportBytes {
		return ErrExportRejected
	}
	d.exports = append(d.exports, x)
	d.bytes += x.bytes
	for len(d.exports) > maxDeparted || d.bytes > maxStoredExportBytes {
		d.drop(0)
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

// Lookup tells what became of a key. VerdictNotRun is final, as the process named is frozen. VerdictStale
// means that no export is kept that could tell.
func (d *ExportStore) Lookup(now time.Time, key Key, fp Fingerprint) (Verdict, Response) {
	d.expire(now)
	n := slices.IndexFunc(d.exports, func(k *storedExport) bool { return k.export.owner == key.Owner() })
	if n < 0 {
		return VerdictStale, Response{}
	}
	return d.exports[n].export.lookup(key, fp)
}

func (e Export) lookup(key Key, fp Fingerprint) (Verdict, Response) {
	n, found := slices.BinarySearchFunc(e.entries, exportEntry{key: key}, compareKeys)
	minted := key.IssuedAt()
	if !found {
		if minted.After(e.floor) && minted.Before(e.frozen) {
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

// Len returns the number of exports kept.
func (d *ExportStore) Len() int { return len(d.exports) }

func (d *ExportStore) expire(now time.Time) {
	for n := len(d.exports) - 1; n >= 0; n-- {
		if !d.exports[n].expiresAt.After(now) {
			d.drop(n)
		}
	}
}

func (d *ExportStore) drop(n int) {
	d.bytes -= d.exports[n].bytes
	d.exports = slices.Delete(d.exports, n, n+1)
}
