package codec

import (
	"errors"
	"fmt"
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// Placeholder stands for a record of a schema above the level at which an entry was decoded. It keeps
// kind, name and schema, so that all binaries refuse the record alike.
type Placeholder struct {
	id     record.ID
	schema record.Schema
}

// NewPlaceholder returns a stand-in for a record.
func NewPlaceholder(id record.ID, schema record.Schema) Placeholder {
	return Placeholder{id: id, schema: schema}
}

// ID implements record.Record.
func (p Placeholder) ID() record.ID { return p.id }

// Schema implements record.Record.
func (p Placeholder) Schema() record.Schema { return p.schema }

// References implements record.Record. Those of the record are not known.
func (Placeholder) References() []record.ID { return nil }

var errFields = errors.New("the schema has no place for the route's timeout, resources or objective")

func toWireRecord(r record.Record) (wireRecord, error) {
	if route, ok := r.(record.Route); ok && !fits(route) {
		return wireRecord{}, errFields
	}
	body, err := encMode.Marshal(wireBody(r))
	if err != nil {
		return wireRecord{}, err
	}
	id := r.ID()
	return wireRecord{Kind: uint8(id.Kind()), Name: id.Name(), Schema: uint16(r.Schema()), Body: body}, nil
}

// fits tells whether the route's schema holds all of its fields, so that none is lost on the way.
func fits(r record.Route) bool {
	plain := len(r.Resources()) == 0 && r.Objective().IsZero() && r.Timeout() == record.DefaultTimeout
	return plain || r.Schema() != record.Schema1
}

func wireBody(r record.Record) any {
	switch r := r.(type) {
	case record.Service:
		return wireService{Slots: r.Slots()}
	case record.Resource:
		return wireResource{Rate: r.Rate(), Burst: r.Burst()}
	case record.Route:
		return wireRouteBody(r)
	}
	return struct{}{}
}

func wireRouteBody(r record.Route) any {
	if r.Schema() == record.Schema1 {
		return wireRoute1{Path: r.Path(), Service: r.Service(), Idempotent: r.Idempotent()}
	}
	return wireRoute2{
		Path: r.Path(), Service: r.Service(), Idempotent: r.Idempotent(), Timeout: int64(r.Timeout()),
		Resources: r.Resources(), Target: r.Objective().Target(), Latency: int64(r.Objective().Latency()),
	}
}

func (w wireRecord) id() record.ID { return record.NewID(record.Kind(w.Kind), w.Name) }

// record decodes the body unless its schema is above level.
func (w wireRecord) record(level record.Schema) (record.Record, error) {
	schema := record.Schema(w.Schema)
	if schema > level {
		return NewPlaceholder(w.id(), schema), nil
	}
	switch record.Kind(w.Kind) {
	case record.KindService:
		return w.service(schema)
	case record.KindResource:
		return w.resource(schema)
	case record.KindRoute:
		return w.route(schema)
	}
	return nil, fmt.Errorf("kind %d is unknown", w.Kind)
}

func (w wireRecord) service(schema record.Schema) (record.Record, error) {
	var body wireService
	if err := decMode.Unmarshal(w.Body, &body); err != nil {
		return nil, err
	}
	return record.NewService(schema, w.Name, body.Slots), nil
}

func (w wireRecord) resource(schema record.Schema) (record.Record, error) {
	var body wireResource
	if err := decMode.Unmarshal(w.Body, &body); err != nil {
		return nil, err
	}
	return record.NewResource(schema, w.Name, body.Rate, body.Burst), nil
}

func (w wireRecord) route(schema record.Schema) (record.Record, error) {
	if schema == record.Schema1 {
		var body wireRoute1
		if err := decMode.Unmarshal(w.Body, &body); err != nil {
			return nil, err
		}
		return record.NewRoute(w.Name, body.Path, body.Service, body.Idempotent), nil
	}
	var body wireRoute2
	if err := decMode.Unmarshal(w.Body, &body); err != nil {
		return nil, err
	}
	objective := record.NewObjective(body.Target, time.Duration(body.Latency))
	r := record.NewRoute2(w.Name, body.Path, body.Service, body.Idempotent, time.Duration(body.Timeout), body.Resources, objective)
	return r.WithSchema(schema), nil
}
