package catalog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// Limits of a configuration. They keep the size of a checkpoint below codec.MaxCheckpoint.
const (
	// MaxRecords is the maximum number of records.
	MaxRecords = 20_000
	// MaxConfigurationBytes is the maximum total size of the records, as maxEncodedSize counts it.
	MaxConfigurationBytes = 8 << 20
)

// Limits of an outcome, so that a refusal stays small regardless of the change set.
const (
	maxFaults         = 256
	maxFaultNameBytes = 64
)

// fieldBase is the field name of faults in the base version.
const fieldBase = "base"

// rule checks one aspect of a change set and adds the faults it finds.
type rule func(v *validator)

func defaultRules() []rule {
	return []rule{
		(*validator).checkHeader, (*validator).checkLevel, (*validator).checkDuplicates, (*validator).checkFields,
		(*validator).checkConflicts, (*validator).checkRemovesExist, (*validator).checkReferences, (*validator).checkReferrers,
		(*validator).checkPaths, (*validator).checkSize,
	}
}

// validator checks one change set against a state and collects the faults.
type validator struct {
	state   *State
	change  record.ChangeSet
	puts    map[record.ID]record.Record
	removes map[record.ID]bool
	faults  []record.Fault
}

func (s *State) validate(c record.ChangeSet) []record.Fault {
	v := &validator{
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

// Check returns the faults for which a change set would be refused if it were the next entry. It does not change
// the state. It lets operators find most mistakes before anything is appended to the log. For a publish that was
// decided before, it returns the faults of its first outcome.
func (s *State) Check(c record.ChangeSet) []record.Fault {
	data, err := codec.EncodeChange(c)
	if err != nil {
		return []record.Fault{record.NewFault(record.ReasonMalformed, record.ID{}, "", err.Error())}
	}
	item, err := codec.DecodeAtLevel(data, s.level)
	if entryErr, ok := err.(*codec.EntryError); ok {
		return limitFaults(entryErr.Faults())
	}
	change, _ := item.Change()
	if outcome, ok := s.Outcome(change.PublishID()); ok {
		return outcome.Faults()
	}
	if _, ok := s.acceptedStamp(change); ok {
		return nil
	}
	return limitFaults(s.validate(change))
}

func (v *validator) add(reason record.Reason, id record.ID, field, format string, args ...any) {
	v.faults = append(v.faults, record.NewFault(reason, truncateID(id), field, fmt.Sprintf(format, args...)))
}

func truncateID(id record.ID) record.ID { return record.NewID(id.Kind(), truncateName(id.Name())) }

// truncateName truncates a name that exceeds maxFaultNameBytes, at a character boundary.
func truncateName(name string) string {
	if len(name) <= maxFaultNameBytes {
		return name
	}
	return strings.ToValidUTF8(name[:maxFaultNameBytes], "") + "..."
}

func limitFaults(faults []record.Fault) []record.Fault {
	if len(faults) <= maxFaults {
		return faults
	}
	more := fmt.Sprintf("%d more faults", len(faults)-maxFaults)
	last := faults[maxFaults]
	return append(slices.Clone(faults[:maxFaults]), record.NewFault(last.Reason(), record.ID{}, "", more))
}

func (v *validator) checkHeader() {
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

// checkLevel allows the schema level to rise by one at a time only, so that a mistyped level can't require a
// schema that no binary will understand for years.
func (v *validator) checkLevel() {
	s, level := v.state, v.change.Level()
	if level == 0 {
		return
	}
	if s.levelStamp.Version > v.change.Base() {
		v.add(record.ReasonConflict, record.ID{}, "level", "level %d was set %s", s.level, describeStamp(s.levelStamp))
		return
	}
	if level != s.level+1 {
		v.add(record.ReasonInvalid, record.ID{}, "level", "the level is %d and may rise to %d only", s.level, s.level+1)
	}
}

func describeStamp(s codec.Stamp) string {
	return fmt.Sprintf("in version %d by publish %s", s.Version, s.PublishID)
}

func (v *validator) checkDuplicates() {
	seen := make(map[record.ID]bool)
	for _, id := range v.changedIDs() {
		if seen[id] {
			v.add(record.ReasonInvalid, id, "", "the record occurs twice in the change set")
		}
		seen[id] = true
	}
}

// changedIDs returns the IDs of all records put or removed, in the order of the change set.
func (v *validator) changedIDs() []record.ID {
	ids := make([]record.ID, 0, len(v.change.Puts())+len(v.change.Removes()))
	for _, r := range v.change.Puts() {
		ids = append(ids, r.ID())
	}
	return append(ids, v.change.Removes()...)
}

func (v *validator) checkConflicts() {
	base := v.change.Base()
	for _, id := range v.changedIDs() {
		if stamp, ok := v.state.index.stamps[id]; ok {
			if stamp.Version > base {
				v.add(record.ReasonConflict, id, "", "changed %s, after base version %d", describeStamp(stamp), base)
			}
			continue
		}
		if stamp, ok := v.state.tombstones.byID[id]; ok && stamp.Version > base {
			v.add(record.ReasonConflict, id, "", "removed %s, after base version %d", describeStamp(stamp), base)
		}
	}
}

func (v *validator) checkRemovesExist() {
	for _, id := range v.change.Removes() {
		_, ok := v.state.index.records[id]
		if !ok && v.state.tombstones.byID[id].Version <= v.change.Base() {
			v.add(record.ReasonMissing, id, "", "there is no such record to remove")
		}
	}
}

// exists reports whether a record would exist after the change set is accepted.
func (v *validator) exists(id record.ID) bool {
	if _, ok := v.puts[id]; ok {
		return true
	}
	_, ok := v.state.index.records[id]
	return ok && !v.removes[id]
}

func (v *validator) checkReferences() {
	for _, r := range v.change.Puts() {
		for _, ref := range r.References() {
			if !v.exists(ref) {
				v.add(record.ReasonDangling, r.ID(), ref.Kind().String(), "%s does not exist", truncateID(ref))
			}
		}
	}
}

func (v *validator) checkReferrers() {
	for _, id := range v.change.Removes() {
		if _, put := v.puts[id]; put {
			continue
		}
		for _, referrer := range v.state.index.referrersOf(id) {
			if _, put := v.puts[referrer]; put || v.removes[referrer] {
				continue
			}
			v.add(record.ReasonDangling, id, "", "%s still refers to it", referrer)
		}
	}
}

func (v *validator) checkPaths() {
	paths := make(map[string]record.ID)
	for _, r := range v.change.Puts() {
		route, ok := r.(record.Route)
		if !ok {
			continue
		}
		owner, found := paths[route.Path()]
		if !found {
			owner, found = v.pathOwner(route.Path())
		}
		if found && owner != route.ID() {
			v.add(record.ReasonInvalid, route.ID(), "path", "%s has the same path", truncateID(owner))
		}
		paths[route.Path()] = route.ID()
	}
}

// pathOwner returns the route in force with the given path, unless the change set puts or removes that route.
func (v *validator) pathOwner(path string) (record.ID, bool) {
	id, ok := v.state.index.paths[path]
	_, put := v.puts[id]
	return id, ok && !put && !v.removes[id]
}

func (v *validator) checkSize() {
	count, size := len(v.state.index.records), v.state.index.size
	for id, r := range v.puts {
		count++
		size += maxEncodedSize(r)
		if !v.removes[id] {
			v.subtractRecord(id, &count, &size)
		}
	}
	for id := range v.removes {
		v.subtractRecord(id, &count, &size)
	}
	if count > MaxRecords {
		v.add(record.ReasonTooLarge, record.ID{}, "", "the configuration would hold %d records, %d are allowed", count, MaxRecords)
	}
	if size > MaxConfigurationBytes {
		v.add(record.ReasonTooLarge, record.ID{}, "", "the configuration would take %d bytes, %d are allowed", size, MaxConfigurationBytes)
	}
}

// subtractRecord subtracts the record with the given ID from count and size if it is in force.
func (v *validator) subtractRecord(id record.ID, count, size *int) {
	if r, ok := v.state.index.records[id]; ok {
		*count--
		*size -= maxEncodedSize(r)
	}
}
