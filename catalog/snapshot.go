// Package catalog decides which change sets are accepted and holds the resulting configuration. Decisions are a
// pure function of the log prefix, so that all nodes decide alike.
package catalog

import (
	"slices"
	"strings"
	"sync"

	"github.com/bambooknot/bambooknot/record"
)

// Snapshot is an immutable, complete configuration of one version. It is safe for concurrent use.
type Snapshot struct {
	version record.Version
	level   record.Schema
	records map[record.ID]record.Record
	paths   map[string]record.ID // of the routes

	sortRoutes sync.Once
	routes     []record.Route // longest path first; set by sortRoutes
}

// NewSnapshot returns a configuration with the given records. It retains the map, so the caller must not
// modify it afterwards.
func NewSnapshot(version record.Version, level record.Schema, records map[record.ID]record.Record) *Snapshot {
	s := &Snapshot{version: version, level: level, records: records, paths: make(map[string]record.ID)}
	for id, r := range records {
		if route, ok := r.(record.Route); ok {
			s.paths[route.Path()] = id
		}
	}
	return s
}

func compareRoutes(a, b record.Route) int {
	if len(a.Path()) != len(b.Path()) {
		return len(b.Path()) - len(a.Path())
	}
	return strings.Compare(a.Name(), b.Name())
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() record.Version { return s.version }

// Level returns the schema level of the fleet, the newest record schema that it accepts.
func (s *Snapshot) Level() record.Schema { return s.level }

// Match returns the route with the longest prefix of path. A prefix matches only up to a slash or up to the
// end of path.
func (s *Snapshot) Match(path string) (record.Route, bool) {
	if r, ok := s.routeAt(path); ok {
		return r, true
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := s.routeAt(path[:end+1]); ok {
			return r, true
		}
		if r, ok := s.routeAt(path[:end]); ok {
			return r, true
		}
	}
	return record.Route{}, false
}

func (s *Snapshot) routeAt(path string) (record.Route, bool) {
	id, ok := s.paths[path]
	if !ok {
		return record.Route{}, false
	}
	r, ok := s.records[id].(record.Route)
	return r, ok
}

// Record returns the record with the given ID.
func (s *Snapshot) Record(id record.ID) (record.Record, bool) {
	r, ok := s.records[id]
	return r, ok
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (record.Service, bool) {
	r, ok := s.records[record.NewID(record.KindService, name)].(record.Service)
	return r, ok
}

// Resource returns the resource with the given name.
func (s *Snapshot) Resource(name string) (record.Resource, bool) {
	r, ok := s.records[record.NewID(record.KindResource, name)].(record.Resource)
	return r, ok
}

// Routes returns all routes, longest path first. The caller must not modify the slice.
func (s *Snapshot) Routes() []record.Route {
	s.sortRoutes.Do(func() {
		for _, id := range s.paths {
			if r, ok := s.records[id].(record.Route); ok {
				s.routes = append(s.routes, r)
			}
		}
		slices.SortFunc(s.routes, compareRoutes)
	})
	return s.routes
}

// Records returns all records, sorted by ID.
func (s *Snapshot) Records() []record.Record {
	all := make([]record.Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b record.Record) int { return a.ID().Compare(b.ID()) })
	return all
}
