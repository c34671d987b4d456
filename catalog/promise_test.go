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

// wholeOrNothing replays the accepted change sets on a plain map and compares it after each entry.
func wholeOrNothing(w world, p policy) error {
	s := newState(schema3, p)
	model := make(map[record.ID]record.Record)
	for _, e := range w.entries {
		result, err := s.Apply(e)
		if err != nil {
			return err
		}
		if result.Kind() == ResultAccepted {
			c := w.changes[e.Offset()]
			for _, id := range c.Removes() {
				delete(model, id)
			}
			for _, r := range c.Puts() {
				model[r.ID()] = r
			}
		}
		if got, want := fmt.Sprint(s.Snapshot().Records()), fmt.Sprint(NewSnapshot(0, 0, model).Records()); got != want {
			return fmt.Errorf("entry %d: holds %s, accepted were %s", e.Offset(), got, want)
		}
	}
	return nil
}

func closed(w world, p policy) error {
	s := newState(schema3, p)
	for _, e := range w.entries {
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

// versionsRise gives entries again and out of order.
func versionsRise(w world, p policy) error {
	s := newState(schema3, p)
	for i := 0; i < 3*len(w.entries); i++ {
		e := w.entries[(i+w.cut(i, len(w.entries)))%len(w.entries)]
		if i%2 == 0 && int(s.Head()) < len(w.entries) {
			e = w.entries[s.Head()]
		}
		version, head := s.Version(), s.Head()
		_, err := s.Apply(e)
		if s.Version() < version || s.Head() < head {
			return fmt.Errorf("entry %d: version %d after %d, head %d after %d", e.Offset(), s.Version(), version, s.Head(), head)
		}
		if err == nil && e.Offset() > head {
			return fmt.Errorf("entry %d was folded at head %d", e.Offset(), head)
		}
	}
	return nil
}

// samePrefix compares the fold from the first entry, the fold from a checkpoint and the load of a trimmed stream
// in pages, and what all three decide.
func samePrefix(w world, p policy) error {
	whole, err := foldAll(newState(schema3, p), w.entries)
	if err != nil {
		return err
	}
	middle := w.cut(0, len(w.entries)+1)
	early, err := foldAll(newState(schema3, p), w.entries[:middle])
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
	if _, err := foldAll(late, w.entries[middle/2:]); err != nil {
		return err
	}
	if err := sameState(whole, late); err != nil {
		return fmt.Errorf("restored at %d: %w", middle, err)
	}
	return nil
}

// loadsTrimmed loads the stream from an offset on, in pages, some of which arrive twice.
func loadsTrimmed(w world, p policy) error {
	start := w.cut(0, len(w.entries)+1)
	l := newLoader(record.Offset(start), 0, schema3, p)
	for i, from := 1, start; from < len(w.entries); i++ {
		to := min(len(w.entries), from+1+w.cut(i, 5))
		if err := l.Add(w.entries[max(start, from-w.cut(i+1, 3)):to]); err != nil {
			return fmt.Errorf("load from %d: %w", start, err)
		}
		from = to
	}
	if !loadable(w, start) {
		var lost *NoCheckpointError
		if err := l.End(); !errors.As(err, &lost) {
			return fmt.Errorf("load from %d: loaded what no checkpoint covers", start)
		}
		return nil
	}
	if err := l.End(); err != nil {
		return err
	}
	whole, err := foldAll(newState(schema3, p), w.entries)
	if err != nil {
		return err
	}
	return sameState(whole, l.State())
}

// loadable tells whether the world, whose checkpoints fit into one entry each, can be loaded from start.
func loadable(w world, start int) bool {
	for _, e := range w.entries[start:] {
		item, err := codec.Decode(e.Data())
		if chunk, ok := item.Chunk(); err == nil && ok && chunk.Head() >= record.Offset(start) {
			return true
		}
	}
	return start == 0
}

func foldAll(s *State, entries []record.Entry) (*State, error) {
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

// oneWins checks that no accepted change set touches a record that another one changed after its base, and
// that the loser of a race learns from whom it lost.
func oneWins(w world, p policy) error {
	s := newState(schema3, p)
	winners := make(map[record.ID]record.Outcome)
	for _, e := range w.entries {
		horizon, version := s.Horizon(), s.Version()
		result, err := s.Apply(e)
		if err != nil {
			return err
		}
		c, ok := w.changes[e.Offset()]
		outcome, _ := result.Outcome()
		if !ok || result.Kind() == ResultDuplicate {
			continue
		}
		tooOld := c.Base() < horizon && c.Base() < version
		for _, id := range touchedBy(c) {
			winner := winners[id]
			if winner.Version() <= c.Base() || tooOld {
				continue
			}
			if outcome.Accepted() || !tells(outcome, id, winner) {
				return fmt.Errorf("entry %d: %s was changed in version %d after base %d: %v", e.Offset(), id, winner.Version(), c.Base(), reasons(outcome))
			}
		}
		if outcome.Accepted() {
			for _, id := range touchedBy(c) {
				winners[id] = outcome
			}
		}
	}
	return nil
}

func touchedBy(c record.ChangeSet) []record.ID { return (&review{change: c}).touched() }

func tells(o record.Outcome, id record.ID, winner record.Outcome) bool {
	for _, f := range o.Faults() {
		if f.Reason() == record.ReasonConflict && f.Record() == id && strings.Contains(f.Detail(), winner.PublishID().String()) {
			return strings.Contains(f.Detail(), fmt.Sprintf("version %d ", winner.Version()))
		}
	}
	return false
}

// countsOnce checks that a publish ID is accepted once at most and never after a refusal, that a retry is told the
// outcome told before, and that a retry whose outcome is forgotten is refused for a conflict.
func countsOnce(w world, p policy) error {
	s := newState(schema3, p)
	told := make(map[record.PublishID]record.Outcome)
	var decided []record.PublishID
	for _, e := range w.entries {
		result, err := s.Apply(e)
		if err != nil {
			return err
		}
		outcome, ok := result.Outcome()
		if !ok {
			continue
		}
		if result.Kind() != ResultDuplicate {
			remembered := decided[max(0, len(decided)-p.outcomes):]
			if slices.Contains(remembered, outcome.PublishID()) {
				return fmt.Errorf("entry %d: publish %s was decided again", e.Offset(), outcome.PublishID())
			}
			decided = append(decided, outcome.PublishID())
		}
		before, again := told[outcome.PublishID()]
		told[outcome.PublishID()] = outcome
		if !again {
			continue
		}
		if result.Kind() == ResultAccepted {
			return fmt.Errorf("entry %d: publish %s was accepted again", e.Offset(), outcome.PublishID())
		}
		if result.Kind() == ResultDuplicate && !reflect.DeepEqual(outcome, before) {
			return fmt.Errorf("entry %d: publish %s was told another outcome", e.Offset(), outcome.PublishID())
		}
		if before.Accepted() && result.Kind() == ResultRefused && !conflicts(outcome) {
			return fmt.Errorf("entry %d: publish %s was refused without a conflict", e.Offset(), outcome.PublishID())
		}
	}
	return nil
}

func conflicts(o record.Outcome) bool {
	for _, f := range o.Faults() {
		if f.Reason() == record.ReasonConflict {
			return true
		}
	}
	return false
}

// binariesAgree folds with a binary that knows schema 3 and one that does not.
func binariesAgree(w world, p policy) error {
	newer, older := newState(schema3, p), newState(record.SchemaNewest, p)
	for _, e := range w.entries {
		got, err := older.Apply(e)
		want, newErr := newer.Apply(e)
		if newErr != nil {
			return newErr
		}
		var level *LevelError
		if errors.As(err, &level) {
			return staysPut(older, e, newer.Level() == schema3)
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

func staysPut(s *State, e record.Entry, raised bool) error {
	if !raised {
		return fmt.Errorf("entry %d: stopped though the level did not rise", e.Offset())
	}
	if s.Head() != e.Offset() || s.Level() >= schema3 {
		return fmt.Errorf("entry %d: went on to head %d, level %d", e.Offset(), s.Head(), s.Level())
	}
	return nil
}
