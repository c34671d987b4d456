package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxContents bounds the contents in a Table.
	maxContents = 4096
	// maxCrashes bounds the crashes that are kept of one content, refuted ones included.
	maxCrashes = 16
	// suspectRetention is how long a crash counts against a request that is not quarantined.
	suspectRetention = 10 * time.Minute
	// quarantineRetention is how long a quarantined request is remembered after its last crash or trial.
	quarantineRetention = 24 * time.Hour
)

// Table holds the crashes and trials of requests as one node knows them. Tables of different nodes that have exchanged
// their crashes and trials are equal, in whatever order they did. It is not safe for concurrent use.
type Table struct {
	entries map[Content]*entry
	digest  uint64
	view    *View // nil after a change
}

// entry is what is known of one content.
type entry struct {
	crashes []Crash // of different servers or callers
	trial   Trial   // the last one; its number is 0 without one
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[Content]*entry)} }

// RecordCrash adds a crash and reports whether it is new, or newly refuted.
func (t *Table) RecordCrash(now time.Time, c Crash) bool {
	if now.Sub(c.at) >= quarantineRetention {
		return false
	}
	e := t.entry(c.request.content)
	for i, known := range e.crashes {
		if known.server != c.server || known.request != c.request {
			continue
		}
		if known.refuted || !c.refuted {
			return false
		}
		t.refute(e, i)
		return true
	}
	if len(e.crashes) >= maxCrashes {
		last := e.lastCrash()
		if !c.before(e.crashes[last]) {
			return false
		}
		t.removeCrash(e, last)
	}
	e.crashes = append(e.crashes, c)
	t.digest ^= c.hash()
	t.view = nil
	return true
}

// entry returns the entry of a content, and creates it if necessary.
func (t *Table) entry(content Content) *entry {
	e := t.entries[content]
	if e == nil {
		t.makeRoom()
		e = &entry{}
		t.entries[content] = e
	}
	return e
}

// lastCrash returns the index of the crash that is dropped if there are too many, which is the same one on all nodes.
func (e *entry) lastCrash() int {
	last := 0
	for i, c := range e.crashes {
		if e.crashes[last].before(c) {
			last = i
		}
	}
	return last
}

// before orders the crashes of one content. Records without a server come last, so that crashes are kept.
func (c Crash) before(other Crash) bool {
	if (c.server == 0) != (other.server == 0) {
		return other.server == 0
	}
	if c.server != other.server {
		return c.server < other.server
	}
	return c.request.caller < other.request.caller
}

func (t *Table) removeCrash(e *entry, i int) {
	t.digest ^= e.crashes[i].hash()
	e.crashes = slices.Delete(e.crashes, i, i+1)
	t.view = nil
}

func (t *Table) refute(e *entry, i int) {
	t.digest ^= e.crashes[i].hash()
	e.crashes[i].refuted = true
	t.digest ^= e.crashes[i].hash()
	t.view = nil
}

// Refute records that a server has run a request to its end, and returns the crashes and trials that this changes. The
// same content sent by other callers stays suspected.
func (t *Table) Refute(now time.Time, request Request) ([]Crash, []Trial) {
	e := t.entries[request.content]
	if e == nil {
		return nil, nil
	}
	var changed []Crash
	for i, c := range e.crashes {
		if c.request == request && !c.refuted {
			t.refute(e, i)
			changed = append(changed, e.crashes[i])
		}
	}
	if len(changed) > 0 {
		return changed, t.passTrials(e)
	}
	if cleared := NewCrash(request, 0, now).Refute(); t.RecordCrash(now, cleared) {
		changed = append(changed, cleared)
	}
	return changed, nil
}

// passTrials records that the trials so far no longer delay further ones, if a content is cleared for all callers.
func (t *Table) passTrials(e *entry) []Trial {
	if e.count() > 0 || e.trial.passed == e.trial.number {
		return nil
	}
	t.setTrial(e, e.trial.WithPassed(e.trial.number))
	return []Trial{e.trial}
}

func (t *Table) setTrial(e *entry, trial Trial) {
	t.digest ^= e.trial.hash()
	e.trial = trial
	t.digest ^= trial.hash()
	t.view = nil
}

// Release refutes all crashes of a content, and returns the crashes and trials that this changes.
func (t *Table) Release(content Content) ([]Crash, []Trial) {
	e := t.entries[content]
	if e == nil {
		return nil, nil
	}
	var changed []Crash
	for i, c := range e.crashes {
		if !c.refuted {
			t.refute(e, i)
			changed = append(changed, e.crashes[i])
		}
	}
	return changed, t.passTrials(e)
}

// RecordTrial adds a trial and reports whether it is new, or newly passed.
func (t *Table) RecordTrial(trial Trial) bool {
	e := t.entries[trial.content]
	if e == nil {
		return false
	}
	merged := e.trial
	if trial.number > merged.number {
		merged = trial
	}
	merged.passed = max(trial.passed, e.trial.passed)
	if merged.number == e.trial.number && merged.passed == e.trial.passed {
		return false
	}
	t.setTrial(e, merged)
	return true
}

// Expire removes the crashes that no longer count.
func (t *Table) Expire(now time.Time) {
	for content, e := range t.entries {
		if e.quarantined() {
			if now.Sub(e.lastAt()) >= quarantineRetention {
				t.remove(content)
			}
			continue
		}
		for i := len(e.crashes) - 1; i >= 0; i-- {
			if now.Sub(e.crashes[i].at) >= suspectRetention {
				t.removeCrash(e, i)
			}
		}
		if len(e.crashes) == 0 {
			t.remove(content)
		}
	}
}

// makeRoom removes the content that matters least if the table is full.
func (t *Table) makeRoom() {
	if len(t.entries) < maxContents {
		return
	}
	var least Content
	var leastEntry *entry
	for content, e := range t.entries {
		if leastEntry == nil || e.mattersLess(leastEntry) {
			least, leastEntry = content, e
		}
	}
	t.remove(least)
}

func (t *Table) remove(content Content) {
	e := t.entries[content]
	for _, c := range e.crashes {
		t.digest ^= c.hash()
	}
	t.digest ^= e.trial.hash()
	delete(t.entries, content)
	t.view = nil
}

// Digest returns a hash over the crashes and trials, 0 if there are none. Equal tables have the same one.
func (t *Table) Digest() uint64 { return t.digest }

// Crashes returns all crashes, those of quarantined contents first.
func (t *Table) Crashes() []Crash {
	var crashes []Crash
	for _, content := range t.sorted() {
		crashes = append(crashes, t.entries[content].crashes...)
	}
	return crashes
}

// Trials returns the last trial of each content that has one.
func (t *Table) Trials() []Trial {
	var trials []Trial
	for _, content := range t.sorted() {
		if trial := t.entries[content].trial; trial.number > 0 {
			trials = append(trials, trial)
		}
	}
	return trials
}

// sorted returns the contents, those that matter most first.
func (t *Table) sorted() []Content {
	contents := make([]Content, 0, len(t.entries))
	for content := range t.entries {
		contents = append(contents, content)
	}
	slices.SortFunc(contents, func(a, b Content) int {
		switch x, y := t.entries[a], t.entries[b]; {
		case y.mattersLess(x):
			return -1
		case x.mattersLess(y):
			return 1
		}
		return bytes.Compare(a[:], b[:])
	})
	return contents
}

// View returns what decisions about requests need. It does not change afterwards.
func (t *Table) View() *View {
	if t.view != nil {
		return t.view
	}
	v := &View{records: make(map[Content]record)}
	for content, e := range t.entries {
		if e.count() > 0 {
			v.records[content] = record{crashes: slices.Clone(e.crashes), trial: e.trial, lastAt: e.lastAt()}
		}
	}
	t.view = v
	return v
}

// count returns the number of crashes that are not refuted.
func (e *entry) count() int {
	n := 0
	for _, c := range e.crashes {
		if !c.refuted {
			n++
		}
	}
	return n
}

func (e *entry) quarantined() bool { return e.count() >= CrashLimit }

// lastAt returns the time of the last crash or trial.
func (e *entry) lastAt() time.Time {
	last := e.trial.at
	for _, c := range e.crashes {
		if c.server != 0 && c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// mattersLess orders contents by their crashes and then by age.
func (e *entry) mattersLess(other *entry) bool {
	if n, m := min(e.count(), CrashLimit), min(other.count(), CrashLimit); n != m {
		return n < m
	}
	return e.lastAt().Before(other.lastAt())
}

func (c Crash) hash() uint64 {
	b := binary.BigEndian.AppendUint64(c.request.content[:], uint64(c.server))
	b = binary.BigEndian.AppendUint64(b, uint64(c.request.caller))
	if c.refuted {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// hash returns 0 for the record of no trial.
func (t Trial) hash() uint64 {
	if t.number == 0 {
		return 0
	}
	b := binary.BigEndian.AppendUint32(t.content[:], uint32(t.number))
	return xxhash.Sum64(binary.BigEndian.AppendUint32(b, uint32(t.passed)))
}
