package recordfile

import (
	"bytes"
	"fmt"

	"github.com/BurntSushi/toml"
	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/record"
)

// fileTOML is the layout of a record file.
type fileTOML struct {
	PublishID string         `toml:"publish_id,omitempty"`
	Operator  string         `toml:"operator,omitempty"`
	Base      *uint64        `toml:"base,omitempty"`
	Level     uint16         `toml:"level,omitzero"`
	Services  []serviceTOML  `toml:"service,omitempty"`
	Resources []resourceTOML `toml:"resource,omitempty"`
	Routes    []routeTOML    `toml:"route,omitempty"`
	Removes   []removeTOML   `toml:"remove,omitempty"`
}

type serviceTOML struct {
	Schema uint16 `toml:"schema"`
	Name   string `toml:"name"`
	Slots  int    `toml:"slots,omitzero"`
}

type resourceTOML struct {
	Schema uint16  `toml:"schema"`
	Name   string  `toml:"name"`
	Rate   float64 `toml:"rate"`
	Burst  int     `toml:"burst"`
}

type routeTOML struct {
	Schema     uint16         `toml:"schema"`
	Name       string         `toml:"name"`
	Path       string         `toml:"path"`
	Service    string         `toml:"service"`
	Idempotent bool           `toml:"idempotent"`
	Timeout    string         `toml:"timeout,omitempty"`
	Resources  []string       `toml:"resources,omitempty"`
	Objective  *objectiveTOML `toml:"objective,omitempty"`
}

type objectiveTOML struct {
	Target  float64 `toml:"target"`
	Latency string  `toml:"latency"`
}

type removeTOML struct {
	Kind string `toml:"kind"`
	Name string `toml:"name"`
}

// Format returns the file as TOML that Parse can read. A record of an unsupported kind or schema is an error,
// as writing it would lose fields.
func Format(f File) ([]byte, error) {
	w := fileTOML{Operator: f.operator, Level: uint16(f.level)}
	if f.publishID != uuid.Nil {
		w.PublishID = f.publishID.String()
	}
	if f.hasBase {
		base := uint64(f.base)
		w.Base = &base
	}
	for _, r := range f.puts {
		if err := w.add(r); err != nil {
			return nil, err
		}
	}
	for _, id := range f.removes {
		w.Removes = append(w.Removes, removeTOML{Kind: id.Kind().String(), Name: id.Name()})
	}
	var out bytes.Buffer
	encoder := toml.NewEncoder(&out)
	encoder.Indent = ""
	if err := encoder.Encode(w); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func (w *fileTOML) add(r record.Record) error {
	if r.Schema() < record.Schema1 || r.Schema() > record.SchemaNewest {
		return fmt.Errorf("%s: schema %d; understood are 1 to %d", r.ID(), r.Schema(), record.SchemaNewest)
	}
	switch r := r.(type) {
	case record.Service:
		w.Services = append(w.Services, serviceTOML{Schema: uint16(r.Schema()), Name: r.Name(), Slots: r.Slots()})
	case record.Resource:
		w.Resources = append(w.Resources, resourceTOML{Schema: uint16(r.Schema()), Name: r.Name(), Rate: r.Rate(), Burst: r.Burst()})
	case record.Route:
		w.Routes = append(w.Routes, newRouteTOML(r))
	default:
		return fmt.Errorf("%s: kind not understood", r.ID())
	}
	return nil
}

func newRouteTOML(r record.Route) routeTOML {
	w := routeTOML{
		Schema: uint16(r.Schema()), Name: r.Name(), Path: r.Path(),
		Service: r.Service(), Idempotent: r.Idempotent(),
	}
	if r.Schema() == record.Schema1 {
		return w
	}
	w.Timeout, w.Resources = r.Timeout().String(), r.Resources()
	if o := r.Objective(); !o.IsZero() {
		w.Objective = &objectiveTOML{Target: o.Target(), Latency: o.Latency().String()}
	}
	return w
}
