package catalog

import (
	"slices"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// index holds the records in force, with the lookups that keep a change set's cost apart from their number.
type index struct {
	records   map[record.ID]codec.Stamped
	referrers map[record.ID]map[record.ID]struct{} // by the ID referred to
	paths     map[string]record.ID
}

func newIndex() index {
	return index{
		records:   make(map[record.ID]codec.Stamped),
		referrers: make(map[record.ID]map[record.ID]struct{}),
		paths:     make(map[string]record.ID),
	}
}

// putAll takes the old paths and references out before it adds new ones, so that routes may swap paths.
func (x *index) putAll(puts []record.Record, stamp codec.Stamp) {
	for _, r := range puts {
		x.remove(r.ID())
	}
	for _, r := range puts {
		x.put(codec.Stamped{Record: r, Stamp: stamp})
	}
}

func (x *index) put(s codec.Stamped) {
	id := s.Record.ID()
	x.records[id] = s
	if route, ok := s.Record.(record.Route); ok {
		x.paths[route.Path()] = id
	}
	for _, ref := range s.Record.References() {
		if x.referrers[ref] == nil {
			x.referrers[ref] = make(map[record.ID]struct{})
		}
		x.referrers[ref][id] = struct{}{}
	}
}

func (x *index) remove(id record.ID) {
	held, ok := x.records[id]
	if !ok {
		return
	}
	delete(x.records, id)
	if route, ok := held.Record.(record.Route); ok {
		delete(x.paths, route.Path())
	}
	for _, ref := range held.Record.References() {
		delete(x.referrers[ref], id)
		if len(x.referrers[ref]) == 0 {
			delete(x.referrers, ref)
		}
	}
}

// referrersOf returns the records that refer to id, ordered.
func (x *index) referrersOf(id record.ID) []record.ID {
	ids := make([]record.ID, 0, len(x.referrers[id]))
	for ref := range x.referrers[id] {
		ids = append(ids, ref)
	}
	slices.SortFunc(ids, record.ID.Compare)
	return ids
}

func (x *index) plain() map[record.ID]record.Record {
	records := make(map[record.ID]record.Record, len(x.records))
	for id, s := range x.records {
		records[id] = s.Record
	}
	return records
}

// sorted returns the records with their stamps, ordered by ID.
func (x *index) sorted() []codec.Stamped {
	all := make([]codec.Stamped, 0, len(x.records))
	for _, s := range x.records {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b codec.Stamped) int { return a.Record.ID().Compare(b.Record.ID()) })
	return all
}
