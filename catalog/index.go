package catalog

import (
	"slices"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// index holds the records in force, with the lookups that keep a change set's cost apart from their number.
type index struct {
	records   map[record.ID]record.Record
	stamps    map[record.ID]codec.Stamp
	referrers map[record.ID]map[record.ID]struct{} // by the ID referred to
	paths     map[string]record.ID
	size      int // of all records, in bytes
}

func newIndex() index {
	return index{
		records:   make(map[record.ID]record.Record),
		stamps:    make(map[record.ID]codec.Stamp),
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
	x.records[id] = s.Record
	x.stamps[id] = s.Stamp
	x.size += maxEncodedSize(s.Record)
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
	delete(x.stamps, id)
	x.size -= maxEncodedSize(held)
	if route, ok := held.(record.Route); ok {
		delete(x.paths, route.Path())
	}
	for _, ref := range held.References() {
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

// sorted returns the records with their stamps, ordered by ID.
func (x *index) sorted() []codec.Stamped {
	all := make([]codec.Stamped, 0, len(x.records))
	for id, r := range x.records {
		all = append(all, codec.Stamped{Record: r, Stamp: x.stamps[id]})
	}
	slices.SortFunc(all, func(a, b codec.Stamped) int { return a.Record.ID().Compare(b.Record.ID()) })
	return all
}

// recordOverheadBytes bounds what a record takes in a checkpoint beside its text, in bytes.
const recordOverheadBytes = 128

// maxEncodedSize bounds the size of a record in a checkpoint, in bytes.
func maxEncodedSize(r record.Record) int {
	weight := recordOverheadBytes + len(r.ID().Name())
	route, ok := r.(record.Route)
	if !ok {
		return weight
	}
	weight += len(route.Path()) + len(route.Service())
	for _, name := range route.Resources() {
		weight += len(name) + 2 // a CBOR text has up to 2 bytes of header here
	}
	return weight
}
