package catalog

import (
	"slices"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// index holds the records in force. Its lookup tables make the cost of a change set independent of the number of
// records.
type index struct {
	records   map[record.ID]record.Record
	stamps    map[record.ID]codec.Stamp
	referrers map[record.ID]map[record.ID]struct{} // keyed by the referenced ID
	paths     map[string]record.ID                 // of routes
	size      int                                  // sum of maxEncodedSize over all records, in bytes
}

func newIndex() index {
	return index{
		records:   make(map[record.ID]record.Record),
		stamps:    make(map[record.ID]codec.Stamp),
		referrers: make(map[record.ID]map[record.ID]struct{}),
		paths:     make(map[string]record.ID),
	}
}

// putAll removes the old paths and references before it adds the new ones, so that routes can swap paths.
func (x *index) putAll(puts []record.Record, stamp codec.Stamp) {
	for _, r := range puts {
		x.remove(r.ID())
	}
	for _, r := range puts {
		x.put(codec.StampedRecord{Record: r, Stamp: stamp})
	}
}

func (x *index) put(s codec.StampedRecord) {
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
	old, ok := x.records[id]
	if !ok {
		return
	}
	delete(x.records, id)
	delete(x.stamps, id)
	x.size -= maxEncodedSize(old)
	if route, ok := old.(record.Route); ok {
		delete(x.paths, route.Path())
	}
	for _, ref := range old.References() {
		delete(x.referrers[ref], id)
		if len(x.referrers[ref]) == 0 {
			delete(x.referrers, ref)
		}
	}
}

// referrersOf returns the IDs of the records that refer to id, sorted.
func (x *index) referrersOf(id record.ID) []record.ID {
	ids := make([]record.ID, 0, len(x.referrers[id]))
	for ref := range x.referrers[id] {
		ids = append(ids, ref)
	}
	slices.SortFunc(ids, record.ID.Compare)
	return ids
}

// sorted returns the records with their stamps, sorted by ID.
func (x *index) sorted() []codec.StampedRecord {
	all := make([]codec.StampedRecord, 0, len(x.records))
	for id, r := range x.records {
		all = append(all, codec.StampedRecord{Record: r, Stamp: x.stamps[id]})
	}
	slices.SortFunc(all, func(a, b codec.StampedRecord) int { return a.Record.ID().Compare(b.Record.ID()) })
	return all
}

// recordOverheadBytes is an upper bound on the encoded size of a record in a checkpoint, excluding its strings.
const recordOverheadBytes = 128

// maxEncodedSize returns an upper bound on the size of a record in a checkpoint, in bytes.
func maxEncodedSize(r record.Record) int {
	size := recordOverheadBytes + len(r.ID().Name())
	route, ok := r.(record.Route)
	if !ok {
		return size
	}
	size += len(route.Path()) + len(route.Service())
	for _, name := range route.Resources() {
		size += len(name) + 2 // the header of a CBOR text string of this length takes up to 2 bytes
	}
	return size
}
