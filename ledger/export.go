package ledger

import (
	"errors"
	"slices"
	"strings"
	"time"
)

// Bounds of an export.
const (
	// MaxExportKeys bounds the keys of an export.
	MaxExportKeys = DefaultMaxKeys
	// MaxExportResponseBytes bounds the kept answers of an export, in bytes.
	MaxExportResponseBytes = 4 << 20
	// maxExportTTL bounds the TTL that an export may claim.
	maxExportTTL = time.Hour
)

// ErrNotFrozen says that a ledger which may still run a key can't be exported.
var ErrNotFrozen = errors.New("the ledger is not frozen")

// Export is what became of the keys of a process that runs nothing any more. It is final and immutable.
type Export struct {
	owner   Tag
	floor   time.Time // keys minted at or before are not covered
	frozen  time.Time // keys minted at or after are covered only if they are listed
	ttl     time.Duration
	entries []exportEntry // ordered by minting time, then by key
}

type exportEntry struct {
	key      Key
	fp       Fingerprint
	phase    phase
	response Response
}

// Owner returns the tag of the process.
func (e Export) Owner() Tag { return e.owner }

// Len returns the number of keys listed.
func (e Export) Len() int { return len(e.entries) }

// Freeze ends the running of keys for good: from now on Begin gives no key to run. There is no way
// back. A key that still runs may have run, and is exported as unknown.
func (m *Machine) Freeze(now time.Time) {
	m.advance(now)
	if m.frozen {
		return
	}
	m.frozen = true
	m.frozenAt = m.now
}

// Export returns what became of the keys of the frozen process. The error is ErrNotFrozen. Keys beyond
// the bound raise the floor of the export, answers beyond
// the bound are left out, those of the oldest keys first.
func (m *Machine) Export() (Export, error) {
	if !m.exportAllowed(m) {
		return Export{}, ErrNotFrozen
	}
	e := Export{owner: m.owner, floor: truncateToMillis(m.floor), frozen: truncateToMillis(m.frozenAt), ttl: min(m.settings.TTL, maxExportTTL)}
	for _, kept := range m.entries {
		if kept.key.Owner() == m.owner {
			e.entries = append(e.entries, kept.export())
		}
	}
	slices.SortFunc(e.entries, compareKeys)
	return e.trim(m.settings, m.exportFloor), nil
}

func (e *entry) export() exportEntry {
	x := exportEntry{key: e.key, fp: e.fp, phase: e.phase, response: e.response}
	if x.phase == phaseRunning {
		x.phase = phaseUnknown
	}
	return x
}

// compareKeys orders by key: its first bits are the minting time.
func compareKeys(a, b exportEntry) int { return slices.Compare(a.key.id[:], b.key.id[:]) }

// trim leaves out what exceeds the bounds.
func (e Export) trim(s Settings, covered func(floor, left time.Time) time.Time) Export {
	if over := len(e.entries) - s.MaxExportKeys; over > 0 {
		e.floor = covered(e.floor, e.entries[over-1].key.IssuedAt())
		e.entries = e.entries[over:]
	}
	left := s.MaxExportResponseBytes
	for n := len(e.entries) - 1; n >= 0; n-- {
		x := &e.entries[n]
		if x.phase != phaseAnswered {
			continue
		}
		if !x.response.exportable() || x.response.size() > left {
			x.response, x.phase = Response{}, phaseUnknown
			continue
		}
		left -= x.response.size()
	}
	return e
}

// exportable tells whether the answer can be part of an export.
func (a Response) exportable() bool {
	for _, f := range a.header {
		if strings.Contains(f.Name, "\n") || strings.Contains(f.Value, "\n") {
			return false
		}
	}
	return validStatus(a.status)
}

// raisedExportFloor raises the floor to the newest key that was left out.
func raisedExportFloor(floor, left time.Time) time.Time {
	if left.After(floor) {
		return left
	}
	return floor
}

func isFrozen(m *Machine) bool { return m.frozen }

// truncateToMillis rounds down to the resolution of minting times. Floors lose nothing by it, and a time of freezing
// covers less.
func truncateToMillis(t time.Time) time.Time { return time.UnixMilli(t.UnixMilli()) }
