package ledger

import (
	"errors"
	"slices"
	"strings"
	"time"
)

// Limits of an export.
const (
	// MaxExportKeys is the maximum number of keys in an export.
	MaxExportKeys = DefaultMaxKeys
	// MaxExportResponseBytes is the maximum total size of the responses in an export.
	MaxExportResponseBytes = 4 << 20
	// maxExportTTL is the maximum TTL that an export may state.
	maxExportTTL = time.Hour
)

// ErrNotFrozen reports an attempt to export a ledger that may still run keys.
var ErrNotFrozen = errors.New("the ledger is not frozen")

// Export holds the final outcomes of the keys of a process that runs no more calls. It is immutable.
type Export struct {
	owner    Tag
	floor    time.Time // keys issued at or before it are not covered
	frozenAt time.Time // keys issued at or after it are covered only if they are listed
	ttl      time.Duration
	entries  []exportEntry // ordered by issue time, then by key
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

// Freeze permanently stops the ledger from running keys: Begin no longer returns VerdictRun. A key that is
// running at that time may take effect, so it is exported as unknown.
func (m *Machine) Freeze(now time.Time) {
	m.advance(now)
	if m.frozen {
		return
	}
	m.frozen = true
	m.frozenAt = m.now
}

// Export returns the outcomes of the keys of a frozen process. The error is ErrNotFrozen. Keys beyond the limit
// are omitted and raise the floor of the export. Responses beyond the limit are omitted and their keys exported
// as unknown. The oldest keys are affected first.
func (m *Machine) Export() (Export, error) {
	if !m.exportAllowed(m) {
		return Export{}, ErrNotFrozen
	}
	e := Export{owner: m.owner, floor: truncateToMillis(m.floor), frozenAt: truncateToMillis(m.frozenAt), ttl: min(m.settings.TTL, maxExportTTL)}
	for _, x := range m.entries {
		if x.key.Owner() == m.owner {
			e.entries = append(e.entries, x.export())
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

// compareKeys orders entries by key, and thereby by issue time, which is the most significant part of a key.
func compareKeys(a, b exportEntry) int { return slices.Compare(a.key.id[:], b.key.id[:]) }

// trim omits the keys and responses that exceed the limits.
func (e Export) trim(s Settings, exportFloor func(floor, omitted time.Time) time.Time) Export {
	if over := len(e.entries) - s.MaxExportKeys; over > 0 {
		e.floor = exportFloor(e.floor, e.entries[over-1].key.IssuedAt())
		e.entries = e.entries[over:]
	}
	remaining := s.MaxExportResponseBytes
	for n := len(e.entries) - 1; n >= 0; n-- {
		x := &e.entries[n]
		if x.phase != phaseAnswered {
			continue
		}
		if !x.response.exportable() || x.response.size() > remaining {
			x.response, x.phase = Response{}, phaseUnknown
			continue
		}
		remaining -= x.response.size()
	}
	return e
}

// exportable reports whether the response can be encoded in an export. The encoding separates header fields by
// newlines.
func (r Response) exportable() bool {
	for _, f := range r.header {
		if strings.Contains(f.Name, "\n") || strings.Contains(f.Value, "\n") {
			return false
		}
	}
	return validStatus(r.status)
}

// raisedExportFloor returns the floor of an export whose newest omitted key was issued at omitted.
func raisedExportFloor(floor, omitted time.Time) time.Time {
	if omitted.After(floor) {
		return omitted
	}
	return floor
}

func isFrozen(m *Machine) bool { return m.frozen }

// truncateToMillis rounds down to the resolution of issue times. Rounding does not change which keys a floor
// covers, and an earlier freeze time only reduces the covered range.
func truncateToMillis(t time.Time) time.Time { return time.UnixMilli(t.UnixMilli()) }
