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
	TTL      time.Duration // time from the minting of a key until it is no longer run or replayed
	Skew     time.Duration // largest difference between the clocks of two nodes
	MaxKeys  int           // keys remembered
	MaxBytes int           // bytes of kept answers

	ExportKeys  int // keys of an export, at most MaxExportKeys
	ExportBytes int // bytes of answers in an export, at most MaxExportAnswers
}

// Defaults of Settings.
const (
	DefaultTTL      = 5 * time.Minute
	DefaultSkew     = 10 * time.Second
	DefaultMaxKeys  = 1 << 16
	DefaultMaxBytes = 16 << 20
)

type phase uint8

const (
	phaseRunning phase = iota + 1
	phaseAnswered
	phaseNotRun
	phaseUnknown
)

type entry struct {
	key    Key
	minted time.Time
	index  int // position in the queue
	fp     Fingerprint
	phase  phase
	answer Answer
}

// Machine decides about request keys. It is not safe for concurrent use; Ledger is.
type Machine struct {
	settings Settings
	owner    Tag
	now      time.Time
	floor    time.Time // unknown keys minted at or before are not run
	entries  map[Key]*entry
	queue    mintQueue
	bytes    int
	answers  []*entry // entries with a kept answer, oldest answer first
	frozen   bool     // for good
	frozenAt time.Time

	forget  func(m *Machine, e *entry)            // seam: raises the floor when an entry is dropped
	sealed  func(m *Machine) bool                 // seam: whether the ledger may be exported
	covered func(floor, left time.Time) time.Time // seam: floor of an export that left out a key
}

// NewMachine returns an empty ledger of the process with that tag, which started at start.
func NewMachine(settings Settings, owner Tag, start time.Time) *Machine {
	return &Machine{
		settings: settings.withDefaults(),
		owner:    owner,
		now:      start,
		floor:    start.Truncate(time.Millisecond).Add(-time.Millisecond),
		entries:  make(map[Key]*entry),
		forget:   raiseFloor,
		sealed:   isFrozen,
		covered:  floorAt,
	}
}

func (s Settings) withDefaults() Settings {
	if s.TTL <= 0 {
		s.TTL = DefaultTTL
	}
	if s.Skew <= 0 {
		s.Skew = DefaultSkew
	}
	if s.MaxKeys <= 0 {
		s.MaxKeys = DefaultMaxKeys
	}
	if s.MaxBytes <= 0 {
		s.MaxBytes = DefaultMaxBytes
	}
	if s.ExportKeys <= 0 || s.ExportKeys > MaxExportKeys {
		s.ExportKeys = MaxExportKeys
	}
	if s.ExportBytes <= 0 || s.ExportBytes > MaxExportAnswers {
		s.ExportBytes = MaxExportAnswers
	}
	return s
}

// Begin decides what to do with an arrival of a key. The Answer is set with VerdictReplay.
func (m *Machine) Begin(now time.Time, key Key, fp Fingerprint) (Verdict, Answer) {
	m.advance(now)
	if e, ok := m.entries[key]; ok {
		return e.verdict(fp), e.answer
	}
	if m.frozen || key.Owner() != m.owner {
		return VerdictStale, Answer{}
	}
	minted := key.Minted()
	if minted.After(m.now.Add(m.settings.Skew)) {
		return VerdictFuture, Answer{}
	}
	if !minted.After(m.floor) {
		return VerdictStale, Answer{}
	}
	m.add(&entry{key: key, minted: minted, fp: fp, phase: phaseRunning})
	if _, kept := m.entries[key]; !kept {
		return VerdictStale, Answer{}
	}
	return VerdictRun, Answer{}
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
func (m *Machine) Finish(now time.Time, key Key, answer Answer) {
	m.advance(now)
	e, ok := m.settle(key, phaseAnswered)
	if !ok {
		return
	}
	e.answer = answer
	m.bytes += answer.size()
	m.answers = append(m.answers, e)
	for m.bytes > m.settings.MaxBytes || len(m.answers) > m.settings.MaxKeys {
		m.dropAnswer()
	}
}

// dropAnswer forgets the oldest kept answer. Its key stays known.
func (m *Machine) dropAnswer() {
	e := m.answers[0]
	m.answers[0] = nil
	m.answers = m.answers[1:]
	m.bytes -= e.answer.size()
	e.answer = Answer{}
	e.phase = phaseUnknown
}

// Lose records that the outcome of a call that Begin gave to run is not known, or that its answer is
// not kept.
func (m *Machine) Lose(now time.Time, key Key) {
	m.advance(now)
	m.settle(key, phaseUnknown)
}

// Refuse records that a call that Begin gave to run did not run and never will.
func (m *Machine) Refuse(now time.Time, key Key) {
	m.advance(now)
	m.settle(key, phaseNotRun)
}

func (m *Machine) settle(key Key, to phase) (*entry, bool) {
	e, ok := m.entries[key]
	if !ok || e.phase != phaseRunning {
		return nil, false
	}
	e.phase = to
	return e, true
}

// Len returns the number of keys remembered.
func (m *Machine) Len() int { return len(m.entries) }

// Bytes returns the size of the kept answers.
func (m *Machine) Bytes() int { return m.bytes }

// advance moves the clock, never backwards, and drops keys older than the TTL.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
	expired := m.now.Add(-m.settings.TTL)
	if expired.After(m.floor) {
		m.floor = expired
	}
	for len(m.queue) > 0 && !m.queue[0].minted.After(expired) {
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
	m.bytes -= e.answer.size()
	e.answer = Answer{}
	m.forget(m, e)
}

// raiseFloor makes sure that a forgotten key is never taken for a new one.
func raiseFloor(m *Machine, e *entry) {
	if e.minted.After(m.floor) {
		m.floor = e.minted
	}
}

type mintQueue []*entry

func (q mintQueue) Len() int { return len(q) }

func (q mintQueue) Less(i, j int) bool { return q[i].minted.Before(q[j].minted) }

func (q mintQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *mintQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

func (q *mintQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*q = old[:last]
	return e
}
