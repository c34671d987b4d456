// Package ledger keeps what became of the request keys that name this node process, so that each call
// runs at most once. It holds no more than a set number of keys: what it forgets it never runs again.
package ledger

import (
	"container/heap"
	"time"
)

// Verdict says what to do with a call that carries a request key.
type Verdict uint8

// Verdicts on a call.
const (
	// VerdictRun: the call is this arrival's to run. Finish, Lose or Refuse must follow.
	VerdictRun Verdict = iota + 1
	// VerdictWait: another arrival of the key is running.
	VerdictWait
	// VerdictReplay: the call was answered and the answer is kept.
	VerdictReplay
	// VerdictNotRun: the key was refused as not run and will never run.
	VerdictNotRun
	// VerdictUnknown: whether the call ran can't be told, or its answer is gone.
	VerdictUnknown
	// VerdictStale: the key is not remembered and too old to run, or names another process. It will
	// never run here, but an earlier arrival may have.
	VerdictStale
	// VerdictMismatch: the key belongs to another request.
	VerdictMismatch
	// VerdictFuture: the key claims to be minted in the future.
	VerdictFuture
)

// Settings bound a ledger.
type Settings struct {
	TTL              time.Duration // time from the minting of a key until it is no longer run or replayed
	MaxClockSkew     time.Duration // largest difference between the clocks of two nodes
	MaxKeys          int           // keys remembered
	MaxResponseBytes int           // bytes of kept answers

	MaxExportKeys          int // keys of an export, at most MaxExportKeys
	MaxExportResponseBytes int // bytes of answers in an export, at most MaxExportAnswers
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
	index    int // position in the queue
	fp       Fingerprint
	phase    phase
	response Response
}

// Machine decides about request keys. It is not safe for concurrent use; Ledger is.
type Machine struct {
	settings      Settings
	owner         Tag
	now           time.Time
	floor         time.Time // unknown keys minted at or before are not run
	entries       map[Key]*entry
	queue         expiryQueue
	responseBytes int
	withResponse  []*entry // entries with a kept answer, oldest answer first
	frozen        bool     // for good
	frozenAt      time.Time

	afterDrop     func(m *Machine, e *entry)            // seam: raises the floor when an entry is dropped
	exportAllowed func(m *Machine) bool                 // seam: whether the ledger may be exported
	exportFloor   func(floor, left time.Time) time.Time // seam: floor of an export that left out a key
}

// NewMachine returns an empty ledger of the process with that tag, which started at start.
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

// Begin decides what to do with an arrival of a key. The Answer is set with VerdictReplay.
func (m *Machine) Begin(now time.Time, key Key, fp Fingerprint) (Verdict, Response) {
	m.advance(now)
	if e, ok := m.entries[key]; ok {
		return e.verdict(fp), e.response
	}
	if m.frozen || key.Owner() != m.owner {
		return VerdictStale, Response{}
	}
	minted := key.IssuedAt()
	if minted.After(m.now.Add(m.settings.MaxClockSkew)) {
		return VerdictFuture, Response{}
	}
	if !minted.After(m.floor) {
		return VerdictStale, Response{}
	}
	m.add(&entry{key: key, issuedAt: minted, fp: fp, phase: phaseRunning})
	if _, kept := m.entries[key]; !kept {
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

// Finish records the whole answer of a call that Begin gave to run.
func (m *Machine) Finish(now time.Time, key Key, answer Response) {
	m.advance(now)
	e, ok := m.setFinalPhase(key, phaseAnswered)
	if !ok {
		return
	}
	e.response = answer
	m.responseBytes += answer.size()
	m.withResponse = append(m.withResponse, e)
	for m.responseBytes > m.settings.MaxResponseBytes || len(m.withResponse) > m.settings.MaxKeys {
		m.dropOldestResponse()
	}
}

// dropOldestResponse forgets the oldest kept answer. Its key stays known.
func (m *Machine) dropOldestResponse() {
	e := m.withResponse[0]
	m.withResponse[0] = nil
	m.withResponse = m.withResponse[1:]
	m.responseBytes -= e.response.size()
	e.response = Response{}
	e.phase = phaseUnknown
}

// MarkUnknown records that the outcome of a call that Begin gave to run is not known, or that its answer is
// not kept.
func (m *Machine) MarkUnknown(now time.Time, key Key) {
	m.advance(now)
	m.setFinalPhase(key, phaseUnknown)
}

// MarkNotRun records that a call that Begin gave to run did not run and never will.
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

// Len returns the number of keys remembered.
func (m *Machine) Len() int { return len(m.entries) }

// ResponseBytes returns the size of the kept answers.
func (m *Machine) ResponseBytes() int { return m.responseBytes }

// advance moves the clock, never backwards, and drops keys older than the TTL.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
	expired := m.now.Add(-m.settings.TTL)
	if expired.After(m.floor) {
		m.floor = expired
	}
	for len(m.queue) > 0 && !m.queue[0].issuedAt.After(expired) {
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

// raiseFloor makes sure that a forgotten key is never taken for a new one.
func raiseFloor(m *Machine, e *entry) {
	if e.issuedAt.After(m.floor) {
		m.floor = e.issuedAt
	}
}

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
