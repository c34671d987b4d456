package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// checkAtomic replays the accepted change sets on a map as the model and compares the records after each entry.
func checkAtomic(sc scenario, p policy) error {
	s := newState(schema3, p)
	model := make(map[record.ID]record.Record)
	for _, e := range sc.entries {
		result, err := s.Apply(e)
		if err != nil {
			return err
		}
		if result.Kind() == ResultAccepted {
			c := sc.changes[e.Offset()]
			for _, id := range c.Removes() {
				delete(model, id)
			}
			for _, r := range c.Puts() {
				model[r.ID()] = r
			}
		}
		if got, want := fmt.Sprint(s.Snapshot().Records()), fmt.Sprint(NewSnapshot(0, 0, model).Records()); got != want {
			return fmt.Errorf("entry %d: got records %s, want %s", e.Offset(), got, want)
		}
	}
	return nil
}

// checkReferencesResolve checks after each entry that all references resolve and that no two routes share a path.
func checkReferencesResolve(sc scenario, p policy) error {
	s := newState(schema3, p)
	for _, e := range sc.entries {
		if _, err := s.Apply(e); err != nil {
			return err
		}
		snap := s.Snapshot()
		paths := make(map[string]bool)
		for _, r := range snap.Records() {
			for _, ref := range r.References() {
				if _, ok := snap.Record(ref); !ok {
					return fmt.Errorf("entry %d: %s refers to missing %s", e.Offset(), r.ID(), ref)
				}
			}
			route, ok := r.(record.Route)
			if !ok {
				continue
			}
			if paths[route.Path()] {
				return fmt.Errorf("entry %d: path %s occurs twice", e.Offset(), route.Path())
			}
			paths[route.Path()] = true
		}
		if len(snap.Routes()) != len(paths) {
			return fmt.Errorf("entry %d: %d routes for %d paths", e.Offset(), len(snap.Routes()), len(paths))
		}
	}
	return nil
}

// checkVersionsMonotonic applies entries repeatedly and out of order. Version and head must not decrease, and no
// entry above the head may be applied.
func checkVersionsMonotonic(sc scenario, p policy) error {
	s := newState(schema3, p)
	for i := 0; i < 3*len(sc.entries); i++ {
		e := sc.entries[(i+sc.choice(i, len(sc.entries)))%len(sc.entries)]
		if i%2 == 0 && int(s.Head()) < len(sc.entries) {
			e = sc.entries[s.Head()]
		}
		version, head := s.Version(), s.Head()
		_, err := s.Apply(e)
		if s.Version() < version || s.Head() < head {
			return fmt.Errorf("entry %d: version %d after %d, head %d after %d", e.Offset(), s.Version(), version, s.Head(), head)
		}
		if err == nil && e.Offset() > head {
			return fmt.Errorf("entry %d was applied at head %d", e.Offset(), head)
		}
	}
	return nil
}

// checkRestoreDeterministic compares the state after applying all entries with the state that was restored from a
// checkpoint in between.
func checkRestoreDeterministic(sc scenario, p policy) error {
	whole, err := applyAll(newState(schema3, p), sc.entries)
	if err != nil {
		return err
	}
	middle := sc.choice(0, len(sc.entries)+1)
	early, err := applyAll(newState(schema3, p), sc.entries[:middle])
	if err != nil {
		return err
	}
	data, err := early.Checkpoint()
	if err != nil {
		return err
	}
	late, err := restore(data, schema3, p)
	if err != nil {
		return err
	}
	if _, err := applyAll(late, sc.entries[middle/2:]); err != nil {
		return err
	}
	if err := sameState(whole, late); err != nil {
		return fmt.Errorf("restored at %d: %w", middle, err)
	}
	return nil
}

// checkLoadTrimmed loads the stream from an offset on in overlapping pages. The result must equal the state after
// applying all entries, or be a NoCheckpointError if no checkpoint covers the trimmed entries.
func checkLoadTrimmed(sc scenario, p policy) error {
	start := sc.choice(0, len(sc.entries)+1)
	l := newLoader(record.Offset(start), 0, schema3, p)
	for i, from := 1, start; from < len(sc.entries); i++ {
		to := min(len(sc.entries), from+1+sc.choice(i, 5))
		if err := l.Add(sc.entries[max(start, from-sc.choice(i+1, 3)):to]); err != nil {
			return fmt.Errorf("load from %d: %w", start, err)
		}
		from = to
	}
	if !hasUsableCheckpoint(sc, start) {
		var lost *NoCheckpointError
		if err := l.End(); !errors.As(err, &lost) {
			return fmt.Errorf("load from %d: succeeded although no checkpoint covers the trimmed entries", start)
		}
		return nil
	}
	if err := l.End(); err != nil {
		return err
	}
	whole, err := applyAll(newState(schema3, p), sc.entries)
	if err != nil {
		return err
	}
	return sameState(whole, l.State())
}

// hasUsableCheckpoint reports whether the scenario can be loaded from start. It relies on the checkpoints of a
// scenario being small enough for one entry each.
func hasUsableCheckpoint(sc scenario, start int) bool {
	for _, e := range sc.entries[start:] {
		item, err := codec.Decode(e.Data())
		if chunk, ok := item.Chunk(); err == nil && ok && chunk.Head() >= record.Offset(start) {
			return true
		}
	}
	return start == 0
}

func applyAll(s *State, entries []record.Entry) (*State, error) {
	for _, e := range entries {
		if _, err := s.Apply(e); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func sameState(a, b *State) error {
	if a.Chain() != b.Chain() || a.Version() != b.Version() || a.Head() != b.Head() {
		return fmt.Errorf("chain %x and %x, version %d and %d, head %d and %d",
			a.Chain(), b.Chain(), a.Version(), b.Version(), a.Head(), b.Head())
	}
	x, err := a.Checkpoint()
	if err != nil {
		return err
	}
	y, err := b.Checkpoint()
	if err != nil {
		return err
	}
	if !bytes.Equal(x, y) {
		return errors.New("the checkpoints differ")
	}
	return nil
}

// checkConflictsRefused checks that no accepted change set changes a record that another one changed after its base
// version, and that the fault of a refused one names the publish that it conflicts with.
func checkConflictsRefused(sc scenario, p policy) error {
	s := newState(schema3, p)
	winners := make(map[record.ID]record.Outcome)
	for _, e := range sc.entries {
		horizon, version := s.Horizon(), s.Version()
		result, err := s.Apply(e)
		if err != nil {
			return err
		}
		c, ok := sc.changes[e.Offset()]
		outcome, _ := result.Outcome()
		if !ok || result.Kind() == ResultDuplicate {
			continue
		}
		tooOld := c.Base() < horizon && c.Base() < version
		for _, id := range changedIDs(c) {
			winner := winners[id]
			if winner.Version() <= c.Base() || tooOld {
				continue
			}
			if outcome.Accepted() || !namesWinner(outcome, id, winner) {
				return fmt.Errorf("entry %d: %s was changed in version %d after base %d: %v", e.Offset(), id, winner.Version(), c.Base(), describeFaults(outcome))
			}
		}
		if outcome.Accepted() {
			for _, id := range changedIDs(c) {
				winners[id] = outcome
			}
		}
	}
	return nil
}

func changedIDs(c record.ChangeSet) []record.ID { return (&validator{change: c}).changedIDs() }

func namesWinner(o record.Outcome, id record.ID, winner record.Outcome) bool {
	for _, f := range o.Faults() {
		if f.Reason() == record.ReasonConflict && f.Record() == id && strings.Contains(f.Detail(), winner.PublishID().String()) {
			return strings.Contains(f.Detail(), fmt.Sprintf("version %d ", winner.Version()))
		}
	}
	return false
}

// checkRetriesIdempotent checks that a publish ID is accepted at most once and never after a refusal, and that a retry
// gets the same outcome as before or, if an accepted outcome was evicted, may be refused for a conflict instead.
func checkRetriesIdempotent(sc scenario, p policy) error {
	s := newState(schema3, p)
	reported := make(map[record.PublishID]record.Outcome)
	var decided []record.PublishID
	for _, e := range sc.entries {
		result, err := s.Apply(e)
		if err != nil {
			return err
		}
		outcome, ok := result.Outcome()
		if !ok {
			continue
		}
		if result.Kind() != ResultDuplicate {
			remembered := decided[max(0, len(decided)-p.maxOutcomes):]
			if slices.Contains(remembered, outcome.PublishID()) {
				return fmt.Errorf("entry %d: publish %s was decided again", e.Offset(), outcome.PublishID())
			}
			decided = append(decided, outcome.PublishID())
		}
		before, again := reported[outcome.PublishID()]
		reported[outcome.PublishID()] = outcome
		if !again {
			continue
		}
		if result.Kind() == ResultAccepted {
			return fmt.Errorf("entry %d: publish %s was accepted again", e.Offset(), outcome.PublishID())
		}
		if result.Kind() == ResultDuplicate && !reflect.DeepEqual(outcome, before) {
			return fmt.Errorf("entry %d: publish %s got another outcome", e.Offset(), outcome.PublishID())
		}
		if before.Accepted() && result.Kind() == ResultRefused && !hasConflict(outcome) {
			return fmt.Errorf("entry %d: publish %s was refused without a conflict", e.Offset(), outcome.PublishID())
		}
	}
	return nil
}

func hasConflict(o record.Outcome) bool {
	for _, f := range o.Faults() {
		if f.Reason() == record.ReasonConflict {
			return true
		}
	}
	return false
}

// checkBinariesAgree applies the entries with a binary that understands schema 3 and one that does not. Both must
// agree until the level rises to schema 3, where the older one must stop.
func checkBinariesAgree(sc scenario, p policy) error {
	newer, older := newState(schema3, p), newState(record.SchemaNewest, p)
	for _, e := range sc.entries {
		got, err := older.Apply(e)
		want, newErr := newer.Apply(e)
		if newErr != nil {
			return newErr
		}
		var level *LevelError
		if errors.As(err, &level) {
			return checkStopped(older, e, newer.Level() == schema3)
		}
		if err != nil {
			return err
		}
		if !reflect.DeepEqual(got, want) {
			return fmt.Errorf("entry %d: %v and %v", e.Offset(), got, want)
		}
		if err := sameState(newer, older); err != nil {
			return fmt.Errorf("entry %d: %w", e.Offset(), err)
		}
	}
	return nil
}

func checkStopped(s *State, e record.Entry, raised bool) error {
	if !raised {
		return fmt.Errorf("entry %d: stopped although the level did not rise", e.Offset())
	}
	if s.Head() != e.Offset() || s.Level() >= schema3 {
		return fmt.Errorf("entry %d: changed the state to head %d, level %d", e.Offset(), s.Head(), s.Level())
	}
	return nil
}
