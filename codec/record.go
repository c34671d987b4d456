package codec

import (
	"errors"
	"fmt"
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// Placeholder replaces a record whose schema is above the level at which its entry was decoded. It keeps the record's
// ID and schema, so that binaries of all versions refuse the record alike.
type Placeholder struct {
	id     record.ID
	schema record.Schema
}

// NewPlaceholder returns a placeholder for the record with an ID and a schema.
func NewPlaceholder(id record.ID, schema record.Schema) Placeholder {
	return Placeholder{id: id, schema: schema}
}

// ID implements record.Record.
func (p Placeholder) ID() record.ID { return p.id }

// Schema implements record.Record.
func (p Placeholder) Schema() record.Schema { return p.schema }

// References implements record.Record. The references of the replaced record are not decoded.
func (Placeholder) References() []record.ID { return nil }

var errRouteFields = errors.New("the schema has no place for the route's timeout, resources or objective")

func toWireRecord(r record.Record) (wireRecord, error) {
	if route, ok := r.(record.Route); ok && !schemaHolds(route) {
		return wireRecord{}, errRouteFields
	}
	body, err := encMode.Marshal(toWireBody(r))
	if err != nil {
		return wireRecord{}, err
	}
	id := r.ID()
	return wireRecord{Kind: uint8(id.Kind()), Name: id.Name(), Schema: uint16(r.Schema()), Body: body}, nil
}

// schemaHolds reports whether the route's schema has all fields that are set, so that encoding loses none.
func schemaHolds(r record.Route) bool {
	schema1Suffices := len(r.Resources()) == 0 && r.Objective().IsZero() && r.Timeout() == record.DefaultTimeout
	return schema1Suffices || r.Schema() != record.Schema1
}

func toWireBody(r record.Record) any {
	switch r := r.(type) {
	case record.Service:
		return wireService{Slots: r.Slots()}
	case record.Resource:
		return wireResource{Rate: r.Rate(), Burst: r.Burst()}
	case record.Route:
		return toWireRouteBody(r)
	}
	return struct{}{}
}

func toWireRouteBody(r record.Route) any {
	if r.Schema() == record.Schema1 {
		return wireRoute1{Path: r.Path(), Service: r.Service(), Idempotent: r.Idempotent()}
	}
	return wireRoute2{
		Path: r.Path(), Service: r.Service(), Idempotent: r.Idempotent(), Timeout: int64(r.Timeout()),
		Resources: r.Resources(), Target: r.Objective().Target(), Latency: int64(r.Objective().Latency()),
	}
}

func (w wireRecord) id() record.ID { return record.NewID(record.Kind(w.Kind), w.Name) }

// decode decodes the body, or returns a Placeholder if the schema is above level.
func (w wireRecord) decode(level record.Schema) (record.Record, error) {
	schema := record.Schema(w.Schema)
	if schema > level {
		return NewPlaceholder(w.id(), schema), nil
	}
	switch record.Kind(w.Kind) {
	case record.KindService:
		return w.decodeService(schema)
	case record.KindResource:
		return w.decodeResource(schema)
	case record.KindRoute:
		return w.decodeRoute(schema)
	}
	return nil, fmt.Errorf("kind %d is unknown", w.Kind)
}

func (w wireRecord) decodeService(schema record.Schema) (record.Record, error) {
	var body wireService
	if err := decMode.Unmarshal(w.Body, &body); err != nil {
		return nil, err
	}
	return record.NewService(schema, w.Name, body.Slots), nil
}

func (w wireRecord) decodeResource(schema record.Schema) (record.Record, error) {
	var body wireResource
	if err := decMode.Unmarshal(w.Body, &body); err != nil {
		return nil, err
	}
	return record.NewResource(schema, w.Name, body.Rate, body.Burst), nil
}

func (w wireRecord) decodeRoute(schema record.Schema) (record.Record, error) {
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
