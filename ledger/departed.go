package ledger

import (
	"errors"
	"slices"
	"time"
)

// Bounds of the exports that a node keeps.
const (
	maxDeparted      = 16
	maxDepartedBytes = 32 << 20
	// exportedSize estimates the memory of a listed key without its answer, in bytes.
	exportedSize = 160
)

// ErrNotKept says that an export is expired, too large or contradicts one that is kept.
var ErrNotKept = errors.New("the export is expired, too large or contradicts another")

// Departed keeps the exports of processes that are gone. It never gives a key to run. It is not safe
// for concurrent use.
type Departed struct {
	kept  []*departed // oldest arrival first
	bytes int
}

type departed struct {
	export Export
	until  time.Time
	bytes  int
}

// NewDeparted returns an empty store.
func NewDeparted() *Departed { return &Departed{} }

// Keep stores an export until its keys are expired, or until newer exports need the place. A second one
// of the same process changes nothing. The error is ErrNotKept.
func (d *Departed) Keep(now time.Time, e Export) error {
	d.expire(now)
	if slices.ContainsFunc(d.kept, func(k *departed) bool { return k.export.owner == e.owner }) {
		return nil
	}
	x := &departed{export: e, until: earlier(now, e.frozen).Add(e.ttl), bytes: e.memory()}
	if !x.until.After(now) || x.bytes > maxDepartedBytes {
		return ErrNotKept
	}
	d.kept = append(d.kept, x)
	d.bytes += x.bytes
	for len(d.kept) > maxDeparted || d.bytes > maxDepartedBytes {
		d.drop(0)
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (e Export) memory() int {
	sum := len(e.entries) * exportedSize
	for _, x := range e.entries {
		sum += x.answer.size()
	}
	return sum
}

// Ask tells what became of a key. VerdictNotRun is final, as the process named is frozen. VerdictStale
// means that no export is kept that could tell.
func (d *Departed) Ask(now time.Time, key Key, fp Fingerprint) (Verdict, Answer) {
	d.expire(now)
	n := slices.IndexFunc(d.kept, func(k *departed) bool { return k.export.owner == key.Owner() })
	if n < 0 {
		return VerdictStale, Answer{}
	}
	return d.kept[n].export.ask(key, fp)
}

func (e Export) ask(key Key, fp Fingerprint) (Verdict, Answer) {
	n, found := slices.BinarySearchFunc(e.entries, exported{key: key}, byMinting)
	minted := key.Minted()
	if !found {
		if minted.After(e.floor) && minted.Before(e.frozen) {
			return VerdictNotRun, Answer{}
		}
		return VerdictStale, Answer{}
	}
	x := e.entries[n]
	switch {
	case x.fp != fp:
		return VerdictMismatch, Answer{}
	case x.phase == phaseAnswered:
		return VerdictReplay, x.answer
	case x.phase == phaseNotRun:
		return VerdictNotRun, Answer{}
	}
	return VerdictUnknown, Answer{}
}

// Len returns the number of exports kept.
func (d *Departed) Len() int { return len(d.kept) }

func (d *Departed) expire(now time.Time) {
	for n := len(d.kept) - 1; n >= 0; n-- {
		if !d.kept[n].until.After(now) {
			d.drop(n)
		}
	}
}

func (d *Departed) drop(n int) {
	d.bytes -= d.kept[n].bytes
	d.kept = slices.Delete(d.kept, n, n+1)
}
