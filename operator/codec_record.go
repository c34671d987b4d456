package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/record"
)

// EncodeChangeSet encodes a change set as JSON.
func EncodeChangeSet(c record.ChangeSet) ([]byte, error) {
	w := wireChangeSet{PublishID: c.PublishID().String(), Operator: c.Operator(), Base: uint64(c.Base()), Level: uint16(c.Level())}
	for _, r := range c.Puts() {
		wr, err := toWireRecord(r)
		if err != nil {
			return nil, err
		}
		w.Puts = append(w.Puts, wr)
	}
	for _, id := range c.Removes() {
		w.Removes = append(w.Removes, toWireID(id))
	}
	return json.Marshal(w)
}

// DecodeChangeSet decodes a change set encoded by EncodeChangeSet.
func DecodeChangeSet(data []byte) (record.ChangeSet, error) {
	var w wireChangeSet
	if err := decodeStrict(data, &w); err != nil {
		return record.ChangeSet{}, err
	}
	publish, err := uuid.Parse(w.PublishID)
	if err != nil || publish == uuid.Nil {
		return record.ChangeSet{}, fmt.Errorf("publish_id %q: not a UUID other than the nil UUID", w.PublishID)
	}
	puts, err := fromWireRecords(w.Puts)
	if err != nil {
		return record.ChangeSet{}, err
	}
	var removes []record.ID
	for _, wid := range w.Removes {
		id, err := fromWireID(wid)
		if err != nil {
			return record.ChangeSet{}, err
		}
		removes = append(removes, id)
	}
	c := record.NewChangeSet(publish, w.Operator, record.Version(w.Base), puts, removes)
	return c.WithLevel(record.Schema(w.Level)), nil
}

func toWireID(id record.ID) wireID { return wireID{Kind: id.Kind().String(), Name: id.Name()} }

func fromWireID(w wireID) (record.ID, error) {
	kind, ok := record.ParseKind(w.Kind)
	if !ok {
		return record.ID{}, fmt.Errorf("kind %q: not service, resource or route", w.Kind)
	}
	return record.NewID(kind, w.Name), nil
}

func toWireRecord(r record.Record) (wireRecord, error) {
	switch r := r.(type) {
	case record.Service:
		return wireRecord{Service: &wireService{Schema: uint16(r.Schema()), Name: r.Name(), Slots: r.Slots()}}, nil
	case record.Resource:
		w := &wireResource{Schema: uint16(r.Schema()), Name: r.Name(), Rate: r.Rate(), Burst: r.Burst()}
		return wireRecord{Resource: w}, nil
	case record.Route:
		return wireRecord{Route: toWireRoute(r)}, nil
	}
	return wireRecord{}, fmt.Errorf("%s: kind not understood", r.ID())
}

func toWireRoute(r record.Route) *wireRoute {
	w := &wireRoute{
		Schema: uint16(r.Schema()), Name: r.Name(), Path: r.Path(),
		Service: r.Service(), Idempotent: r.Idempotent(),
	}
	if r.Schema() == record.Schema1 {
		return w
	}
	w.Timeout, w.Resources = r.Timeout().String(), r.Resources()
	if o := r.Objective(); !o.IsZero() {
		w.Objective = &wireObjective{Target: o.Target(), Latency: o.Latency().String()}
	}
	return w
}

func fromWireRecords(wire []wireRecord) ([]record.Record, error) {
	var records []record.Record
	for i, w := range wire {
		r, err := fromWireRecord(w)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		records = append(records, r)
	}
	return records, nil
}

func fromWireRecord(w wireRecord) (record.Record, error) {
	switch {
	case w.Service != nil && w.Resource == nil && w.Route == nil:
		s := w.Service
		return record.NewService(record.Schema(s.Schema), s.Name, s.Slots), nil
	case w.Service == nil && w.Resource != nil && w.Route == nil:
		r := w.Resource
		return record.NewResource(record.Schema(r.Schema), r.Name, r.Rate, r.Burst), nil
	case w.Service == nil && w.Resource == nil && w.Route != nil:
		return fromWireRoute(w.Route)
	}
	return nil, errors.New("not exactly one of service, resource and route")
}

// fromWireRoute returns an error for fields that the route's schema cannot represent, as they would be lost.
func fromWireRoute(w *wireRoute) (record.Record, error) {
	if record.Schema(w.Schema) == record.Schema1 {
		if w.Timeout != "" || len(w.Resources) > 0 || w.Objective != nil {
			return nil, fmt.Errorf("route %q: schema 1 has no timeout, resources and objective", w.Name)
		}
		return record.NewRoute(w.Name, w.Path, w.Service, w.Idempotent), nil
	}
	timeout, err := parseTimeout(w.Timeout)
	if err != nil {
		return nil, fmt.Errorf("route %q: %w", w.Name, err)
	}
	objective, err := fromWireObjective(w.Objective)
	if err != nil {
		return nil, fmt.Errorf("route %q: %w", w.Name, err)
	}
	r := record.NewRoute2(w.Name, w.Path, w.Service, w.Idempotent, timeout, w.Resources, objective)
	return r.WithSchema(record.Schema(w.Schema)), nil
}

func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(text)
	if err == nil && timeout <= 0 {
		return 0, fmt.Errorf("timeout %s is not above 0", timeout)
	}
	return timeout, err
}

func fromWireObjective(w *wireObjective) (record.Objective, error) {
	if w == nil {
		return record.Objective{}, nil
	}
	latency, err := time.ParseDuration(w.Latency)
	if err != nil {
		return record.Objective{}, err
	}
	objective := record.NewObjective(w.Target, latency)
	if objective.IsZero() {
		return record.Objective{}, errors.New("the objective promises nothing")
	}
	return objective, nil
}

// Records is the configuration of a node.
type Records struct {
	version record.Version
	level   record.Schema
	records []record.Record
}

// NewRecords returns the configuration of a version. It retains the slice.
func NewRecords(version record.Version, level record.Schema, records []record.Record) Records {
	return Records{version: version, level: level, records: records}
}

// Version returns the version of the configuration.
func (r Records) Version() record.Version { return r.version }

// Level returns the newest schema that the fleet accepts.
func (r Records) Level() record.Schema { return r.level }

// Records returns the records. The caller must not change the slice.
func (r Records) Records() []record.Record { return r.records }

// EncodeRecords encodes a configuration as JSON.
func EncodeRecords(r Records) ([]byte, error) {
	w := wireRecords{Version: uint64(r.version), Level: uint16(r.level), Records: make([]wireRecord, 0, len(r.records))}
	for _, rec := range r.records {
		wr, err := toWireRecord(rec)
		if err != nil {
			return nil, err
		}
		w.Records = append(w.Records, wr)
	}
	return json.Marshal(w)
}

// DecodeRecords decodes a configuration encoded by EncodeRecords.
func DecodeRecords(data []byte) (Records, error) {
	var w wireRecords
	if err := json.Unmarshal(data, &w); err != nil {
		return Records{}, err
	}
	records, err := fromWireRecords(w.Records)
	if err != nil {
		return Records{}, err
	}
	return NewRecords(record.Version(w.Version), record.Schema(w.Level), records), nil
}
