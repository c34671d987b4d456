// Package ledger records the outcomes of the request keys owned by this node process, so that each call runs at most
// once. The number of recorded keys is limited; a key whose record was dropped never runs again.
package ledger

import (
	"container/heap"
	"time"
)

// Verdict is the decision on a call that carries a request key.
type Verdict uint8

// Verdicts on a call.
const (
	// VerdictRun: this arrival must run the call and then call Finish, MarkUnknown or MarkNotRun.
	VerdictRun Verdict = iota + 1
	// VerdictWait: another arrival of the key is running.
	VerdictWait
	// VerdictReplay: the call was answered and its response is stored.
	VerdictReplay
	// VerdictNotRun: the call did not run and never will.
	VerdictNotRun
	// VerdictUnknown: it is unknown whether the call ran, or its response is no longer stored.
	VerdictUnknown
	// VerdictStale: the key is not recorded and too old to run, or is owned by another process, or the ledger is
	// frozen. It never runs here from now on, but an earlier arrival may have run.
	VerdictStale
	// VerdictMismatch: the key was used before for a different request.
	VerdictMismatch
	// VerdictFuture: the issue time of the key is in the future by more than the maximum clock skew.
	VerdictFuture
)

// Settings are the limits of a ledger. Zero values stand for the defaults.
type Settings struct {
	TTL              time.Duration // age at which a key is no longer run or replayed
	MaxClockSkew     time.Duration // maximum difference between the clocks of two nodes
	MaxKeys          int           // recorded keys
	MaxResponseBytes int           // total size of stored responses

	MaxExportKeys          int // keys in an export; at most the constant MaxExportKeys
	MaxExportResponseBytes int // total size of responses in an export; at most the constant MaxExportResponseBytes
}

// Defaults of Settings.
const (
	DefaultTTL              = 5 * time.Minute
	DefaultMaxClockSkew     = 10 * time.Second
	DefaultMaxKeys          = 1 << 16
	DefaultMaxResponseBytes = 16 << 20
)

type phase uint8

const (
	phaseRunning phase = iota + 1
	phaseAnswered
	phaseNotRun
	phaseUnknown
)

type entry struct {
	key      Key
	issuedAt time.Time
	index    int // index in the expiry queue
	fp       Fingerprint
	phase    phase
	response Response
}

// Machine is the deterministic state machine of a ledger. It is not safe for concurrent use; Ledger is.
type Machine struct {
	settings      Settings
	owner         Tag
	now           time.Time
	floor         time.Time // unrecorded keys issued at or before it are not run
	entries       map[Key]*entry
	queue         expiryQueue
	responseBytes int
	withResponse  []*entry // entries that had a response when added, oldest response first
	frozen        bool     // permanently
	frozenAt      time.Time

	afterDrop     func(m *Machine, e *entry)               // raises the floor after an entry is dropped; replaced in tests to inject faults
	exportAllowed func(m *Machine) bool                    // reports whether the ledger may be exported; replaced in tests to inject faults
	exportFloor   func(floor, omitted time.Time) time.Time // floor of an export that omits keys; replaced in tests to inject faults
}

// NewMachine returns an empty state machine for the process with the tag owner that started at start. Keys issued
// before start never run.
func NewMachine(settings Settings, owner Tag, start time.Time) *Machine {
	return &Machine{
		settings:      settings.withDefaults(),
		owner:         owner,
		now:           start,
		floor:         start.Truncate(time.Millisecond).Add(-time.Millisecond),
		entries:       make(map[Key]*entry),
		afterDrop:     raiseFloor,
		exportAllowed: isFrozen,
		exportFloor:   raisedExportFloor,
	}
}

func (s Settings) withDefaults() Settings {
	if s.TTL <= 0 {
		s.TTL = DefaultTTL
	}
	if s.MaxClockSkew <= 0 {
		s.MaxClockSkew = DefaultMaxClockSkew
	}
	if s.MaxKeys <= 0 {
		s.MaxKeys = DefaultMaxKeys
	}
	if s.MaxResponseBytes <= 0 {
		s.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if s.MaxExportKeys <= 0 || s.MaxExportKeys > MaxExportKeys {
		s.MaxExportKeys = MaxExportKeys
	}
	if s.MaxExportResponseBytes <= 0 || s.MaxExportResponseBytes > MaxExportResponseBytes {
		s.MaxExportResponseBytes = MaxExportResponseBytes
	}
	return s
}

// Begin returns the verdict on an arrival of a key. The Response is valid only with VerdictReplay.
func (m *Machine) Begin(now time.Time, key Key, fp Fingerprint) (Verdict, Response) {
	m.advance(now)
	if e, ok := m.entries[key]; ok {
		return e.verdict(fp), e.response
	}
	if m.frozen || key.Owner() != m.owner {
		return VerdictStale, Response{}
	}
	issuedAt := key.IssuedAt()
	if issuedAt.After(m.now.Add(m.settings.MaxClockSkew)) {
		return VerdictFuture, Response{}
	}
	if !issuedAt.After(m.floor) {
		return VerdictStale, Response{}
	}
	m.add(&entry{key: key, issuedAt: issuedAt, fp: fp, phase: phaseRunning})
	if _, recorded := m.entries[key]; !recorded {
		return VerdictStale, Response{}
	}
	return VerdictRun, Response{}
}

func (e *entry) verdict(fp Fingerprint) Verdict {
	if e.fp != fp {
		return VerdictMismatch
	}
	switch e.phase {
	case phaseRunning:
		return VerdictWait
	case phaseAnswered:
		return VerdictReplay
	case phaseNotRun:
		return VerdictNotRun
	}
	return VerdictUnknown
}

// Finish records the complete response of a call for which Begin returned VerdictRun.
func (m *Machine) Finish(now time.Time, key Key, response Response) {
	m.advance(now)
	e, ok := m.setFinalPhase(key, phaseAnswered)
	if !ok {
		return
	}
	e.response = response
	m.responseBytes += response.size()
	m.withResponse = append(m.withResponse, e)
	for m.responseBytes > m.settings.MaxResponseBytes || len(m.withResponse) > m.settings.MaxKeys {
		m.dropOldestResponse()
	}
}

// dropOldestResponse drops the oldest stored response. Its key stays recorded, as unknown.
func (m *Machine) dropOldestResponse() {
	e := m.withResponse[0]
	m.withResponse[0] = nil
	m.withResponse = m.withResponse[1:]
	m.responseBytes -= e.response.size()
	e.response = Response{}
	e.phase = phaseUnknown
}

// MarkUnknown records that the outcome of a call for which Begin returned VerdictRun is unknown, or that its response
// is not stored.
func (m *Machine) MarkUnknown(now time.Time, key Key) {
	m.advance(now)
	m.setFinalPhase(key, phaseUnknown)
}

// MarkNotRun records that a call for which Begin returned VerdictRun did not run and never will.
func (m *Machine) MarkNotRun(now time.Time, key Key) {
	m.advance(now)
	m.setFinalPhase(key, phaseNotRun)
}

func (m *Machine) setFinalPhase(key Key, to phase) (*entry, bool) {
	e, ok := m.entries[key]
	if !ok || e.phase != phaseRunning {
		return nil, false
	}
	e.phase = to
	return e, true
}

// Len returns the number of recorded keys.
func (m *Machine) Len() int { return len(m.entries) }

// ResponseBytes returns the total size of the stored responses.
func (m *Machine) ResponseBytes() int { return m.responseBytes }

// advance sets the current time unless now is earlier, and drops keys whose TTL has passed.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
	expiry := m.now.Add(-m.settings.TTL)
	if expiry.After(m.floor) {
		m.floor = expiry
	}
	for len(m.queue) > 0 && !m.queue[0].issuedAt.After(expiry) {
		m.drop(m.queue[0])
	}
}

func (m *Machine) add(e *entry) {
	m.entries[e.key] = e
	heap.Push(&m.queue, e)
	if len(m.queue) > m.settings.MaxKeys {
		m.drop(m.queue[0])
	}
}

func (m *Machine) drop(e *entry) {
	heap.Remove(&m.queue, e.index)
	delete(m.entries, e.key)
	m.responseBytes -= e.response.size()
	e.response = Response{}
	m.afterDrop(m, e)
}

// raiseFloor raises the floor to the issue time of a dropped entry, so that its key is never run as a new one.
func raiseFloor(m *Machine, e *entry) {
	if e.issuedAt.After(m.floor) {
		m.floor = e.issuedAt
	}
}

// expiryQueue is a heap of entries by issue time, the oldest first.
type expiryQueue []*entry

func (q expiryQueue) Len() int { return len(q) }

func (q expiryQueue) Less(i, j int) bool { return q[i].issuedAt.Before(q[j].issuedAt) }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

func (q *expiryQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*q = old[:last]
	return e
}
