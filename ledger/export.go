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
	entries []exported // ordered by minting time, then by key
}

type exported struct {
	key    Key
	fp     Fingerprint
	phase  phase
	answer Response
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
	if !m.sealed(m) {
		return Export{}, ErrNotFrozen
	}
	e := Export{owner: m.owner, floor: millis(m.floor), frozen: millis(m.frozenAt), ttl: min(m.settings.TTL, maxExportTTL)}
	for _, kept := range m.entries {
		if kept.key.Owner() == m.owner {
			e.entries = append(e.entries, kept.exported())
		}
	}
	slices.SortFunc(e.entries, byMinting)
	return e.bounded(m.settings, m.covered), nil
}

func (e *entry) exported() exported {
	x := exported{key: e.key, fp: e.fp, phase: e.phase, answer: e.answer}
	if x.phase == phaseRunning {
		x.phase = phaseUnknown
	}
	return x
}

// byMinting orders by key: its first bits are the minting time.
func byMinting(a, b exported) int { return slices.Compare(a.key.id[:], b.key.id[:]) }

// bounded leaves out what exceeds the bounds.
func (e Export) bounded(s Settings, covered func(floor, left time.Time) time.Time) Export {
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
		if !x.answer.portable() || x.answer.size() > left {
			x.answer, x.phase = Response{}, phaseUnknown
			continue
		}
		left -= x.answer.size()
	}
	return e
}

// portable tells whether the answer can be part of an export.
func (a Response) portable() bool {
	for _, f := range a.header {
		if strings.Contains(f.Name, "\n") || strings.Contains(f.Value, "\n") {
			return false
		}
	}
	return goodStatus(a.status)
}

// floorAt raises the floor to the newest key that was left out.
func floorAt(floor, left time.Time) time.Time {
	if left.After(floor) {
		return left
	}
	return floor
}

func isFrozen(m *Machine) bool { return m.frozen }

// millis rounds down to the resolution of minting times. Floors lose nothing by it, and a time of freezing
// covers less.
func millis(t time.Time) time.Time { return time.UnixMilli(t.UnixMilli()) }
