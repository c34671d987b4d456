package catalog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// Bounds of a configuration. They keep the whole state below codec.MaxCheckpoint.
const (
	// MaxRecords is the number of records.
	MaxRecords = 20_000
	// MaxConfigurationBytes is the size of all records in bytes, as weightOf counts it.
	MaxConfigurationBytes = 8 << 20
)

// Bounds of an outcome, so that a refusal stays small however bad the change set is.
const (
	maxFaults    = 256
	maxShownName = 64 // bytes
)

// fieldBase names the base version in faults.
const fieldBase = "base"

// rule adds the faults of one sort that a change set has.
type rule func(v *review)

func defaultRules() []rule {
	return []rule{
		(*review).checkHeader, (*review).checkLevel, (*review).checkTwice, (*review).checkFields,
		(*review).checkConflicts, (*review).checkMissing, (*review).checkReferences, (*review).checkRemoved,
		(*review).checkPaths, (*review).checkCount,
	}
}

// review is the examination of one change set against a state.
type review struct {
	state   *State
	change  record.ChangeSet
	puts    map[record.ID]record.Record
	removes map[record.ID]bool
	faults  []record.Fault
}

func (s *State) review(c record.ChangeSet) []record.Fault {
	v := &review{
		state: s, change: c,
		puts:    make(map[record.ID]record.Record, len(c.Puts())),
		removes: make(map[record.ID]bool, len(c.Removes())),
	}
	for _, r := range c.Puts() {
		v.puts[r.ID()] = r
	}
	for _, id := range c.Removes() {
		v.removes[id] = true
	}
	for _, check := range s.policy.rules {
		check(v)
	}
	return v.faults
}

// Check returns the faults that a change set would be refused for if it were the next entry. It changes
// nothing. Operators learn most mistakes from it before anything is appended. A publish that was decided before has
// the faults of its first outcome.
func (s *State) Check(c record.ChangeSet) []record.Fault {
	data, err := codec.EncodeChange(c)
	if err != nil {
		return []record.Fault{record.NewFault(record.ReasonMalformed, record.ID{}, "", err.Error())}
	}
	item, err := codec.DecodeAt(data, s.level)
	if entryErr, ok := err.(*codec.EntryError); ok {
		return boundFaults(entryErr.Faults())
	}
	change, _ := item.Change()
	if outcome, ok := s.Outcome(change.PublishID()); ok {
		return outcome.Faults()
	}
	if _, ok := s.trace(change); ok {
		return nil
	}
	return boundFaults(s.review(change))
}

func (v *review) add(reason record.Reason, id record.ID, field, format string, args ...any) {
	v.faults = append(v.faults, record.NewFault(reason, shownID(id), field, fmt.Sprintf(format, args...)))
}

func shownID(id record.ID) record.ID { return record.NewID(id.Kind(), shown(id.Name())) }

// shown shortens a name that may be over-long.
func shown(name string) string {
	if len(name) <= maxShownName {
		return name
	}
	return strings.ToValidUTF8(name[:maxShownName], "") + "..."
}

func boundFaults(faults []record.Fault) []record.Fault {
	if len(faults) <= maxFaults {
		return faults
	}
	more := fmt.Sprintf("%d more faults", len(faults)-maxFaults)
	last := faults[maxFaults]
	return append(slices.Clone(faults[:maxFaults]), record.NewFault(last.Reason(), record.ID{}, "", more))
}

func (v *review) checkHeader() {
	c := v.change
	if c.PublishID() == (record.PublishID{}) {
		v.add(record.ReasonInvalid, record.ID{}, "publish", "the publish ID is missing")
	}
	if c.Base() > v.state.version {
		v.add(record.ReasonInvalid, record.ID{}, fieldBase, "base version %d is above version %d in force", c.Base(), v.state.version)
	}
	if len(c.Operator()) > maxNameBytes {
		v.add(record.ReasonInvalid, record.ID{}, "operator", "the name exceeds %d bytes", maxNameBytes)
	}
	if len(c.Puts())+len(c.Removes()) == 0 && c.Level() == 0 {
		v.add(record.ReasonInvalid, record.ID{}, "", "the change set changes nothing")
	}
	if c.Base() < v.state.horizon && c.Base() < v.state.version {
		v.add(record.ReasonConflict, record.ID{}, fieldBase,
			"base version %d is too old: decisions and removals are remembered from version %d on", c.Base(), v.state.horizon)
	}
}

// checkLevel lets the level rise by one step only, so that a slip can't ask for a schema which no binary
// will understand for years.
func (v *review) checkLevel() {
	s, level := v.state, v.change.Level()
	if level == 0 {
		return
	}
	if s.levelStamp.Version > v.change.Base() {
		v.add(record.ReasonConflict, record.ID{}, "level", "level %d was set %s", s.level, by(s.levelStamp))
		return
	}
	if level != s.level+1 {
		v.add(record.ReasonInvalid, record.ID{}, "level", "the level is %d and may rise to %d only", s.level, s.level+1)
	}
}

func by(s codec.Stamp) string {
	return fmt.Sprintf("in version %d by publish %s", s.Version, s.Publish)
}

func (v *review) checkTwice() {
	seen := make(map[record.ID]bool)
	for _, id := range v.touched() {
		if seen[id] {
			v.add(record.ReasonInvalid, id, "", "the record occurs twice in the change set")
		}
		seen[id] = true
	}
}

// touched returns the IDs of all records put or removed, in the order of the change set.
func (v *review) touched() []record.ID {
	ids := make([]record.ID, 0, len(v.change.Puts())+len(v.change.Removes()))
	for _, r := range v.change.Puts() {
		ids = append(ids, r.ID())
	}
	return append(ids, v.change.Removes()...)
}

func (v *review) checkConflicts() {
	base := v.change.Base()
	for _, id := range v.touched() {
		if stamp, held := v.state.index.stamps[id]; held {
			if stamp.Version > base {
				v.add(record.ReasonConflict, id, "", "changed %s, after base version %d", by(stamp), base)
			}
			continue
		}
		if stamp, ok := v.state.graves.byID[id]; ok && stamp.Version > base {
			v.add(record.ReasonConflict, id, "", "removed %s, after base version %d", by(stamp), base)
		}
	}
}

func (v *review) checkMissing() {
	for _, id := range v.change.Removes() {
		_, held := v.state.index.records[id]
		if !held && v.state.graves.byID[id].Version <= v.change.Base() {
			v.add(record.ReasonMissing, id, "", "there is no such record to remove")
		}
	}
}

// exists tells whether a record will exist once the change set is accepted.
func (v *review) exists(id record.ID) bool {
	if _, ok := v.puts[id]; ok {
		return true
	}
	_, held := v.state.index.records[id]
	return held && !v.removes[id]
}

func (v *review) checkReferences() {
	for _, r := range v.change.Puts() {
		for _, ref := range r.References() {
			if !v.exists(ref) {
				v.add(record.ReasonDangling, r.ID(), ref.Kind().String(), "%s does not exist", shownID(ref))
			}
		}
	}
}

func (v *review) checkRemoved() {
	for _, id := range v.change.Removes() {
		if _, put := v.puts[id]; put {
			continue
		}
		for _, user := range v.state.index.referrersOf(id) {
			if _, put := v.puts[user]; put || v.removes[user] {
				continue
			}
			v.add(record.ReasonDangling, id, "", "%s still refers to it", user)
		}
	}
}

func (v *review) checkPaths() {
	paths := make(map[string]record.ID)
	for _, r := range v.change.Puts() {
		route, ok := r.(record.Route)
		if !ok {
			continue
		}
		other, taken := paths[route.Path()]
		if !taken {
			other, taken = v.pathHolder(route.Path())
		}
		if taken && other != route.ID() {
			v.add(record.ReasonInvalid, route.ID(), "path", "%s has the same path", shownID(other))
		}
		paths[route.Path()] = route.ID()
	}
}

// pathHolder returns the route that holds a path and is not part of the change set.
func (v *review) pathHolder(path string) (record.ID, bool) {
	id, ok := v.state.index.paths[path]
	_, put := v.puts[id]
	return id, ok && !put && !v.removes[id]
}

func (v *review) checkCount() {
	count, weight := len(v.state.index.records), v.state.index.weight
	for id, r := range v.puts {
		count++
		weight += weightOf(r)
		if !v.removes[id] {
			v.discount(id, &count, &weight)
		}
	}
	for id := range v.removes {
		v.discount(id, &count, &weight)
	}
	if count > MaxRecords {
		v.add(record.ReasonTooLarge, record.ID{}, "", "the configuration would hold %d records, %d are allowed", count, MaxRecords)
	}
	if weight > MaxConfigurationBytes {
		v.add(record.ReasonTooLarge, record.ID{}, "", "the configuration would take %d bytes, %d are allowed", weight, MaxConfigurationBytes)
	}
}

// discount subtracts a record in force that the change set replaces or removes.
func (v *review) discount(id record.ID, count, weight *int) {
	if held, ok := v.state.index.records[id]; ok {
		*count--
		*weight -= weightOf(held)
	}
}
