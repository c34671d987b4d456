// Package record defines the configuration records that operators publish (services, resources and
// routes) and the change sets that carry them. Values are immutable; codecs convert them field by field.
package record

import "time"

// Schema is the version of the format in which a record is written.
type Schema uint16

// Schemas that this binary understands.
const (
	// Schema1 is the first format. A route has only a path, a service and the idempotent flag.
	Schema1 Schema = 1
	// Schema2 adds timeouts, resources and objectives to routes.
	Schema2 Schema = 2
	// SchemaNewest is the newest format that this binary understands.
	SchemaNewest = Schema2
)

// Version identifies an accepted configuration. It is the log offset after the change set that was
// accepted last, so versions increase with every accepted change set but are not consecutive. Zero means
// that no change set has been accepted yet. A routing table has a Version too, the number in the operator's
// document from which the table was decoded.
type Version uint64

// Kind is the type of a record.
type Kind uint8

// Kinds of records.
const (
	KindService Kind = iota + 1
	KindResource
	KindRoute
)

// String returns the name used in record files and messages.
func (k Kind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindResource:
		return "resource"
	case KindRoute:
		return "route"
	}
	return "unknown"
}

// ParseKind returns the kind with the given name, and false if there is none.
func ParseKind(name string) (Kind, bool) {
	for _, k := range []Kind{KindService, KindResource, KindRoute} {
		if k.String() == name {
			return k, true
		}
	}
	return 0, false
}

// ID identifies a record by kind and name.
type ID struct {
	kind Kind
	name string
}

// NewID returns the ID of the record with the given kind and name.
func NewID(kind Kind, name string) ID { return ID{kind: kind, name: name} }

// Kind returns the kind of the record.
func (id ID) Kind() Kind { return id.kind }

// Name returns the name of the record, which is unique within its kind.
func (id ID) Name() string { return id.name }

// String returns the kind and the name joined by a slash, such as "route/catalogue".
func (id ID) String() string { return id.kind.String() + "/" + id.name }

// Compare orders IDs by kind, then by name.
func (id ID) Compare(other ID) int {
	if id.kind != other.kind {
		return int(id.kind) - int(other.kind)
	}
	if id.name < other.name {
		return -1
	}
	if id.name > other.name {
		return 1
	}
	return 0
}

// Record is a configuration record: a Service, a Resource or a Route.
type Record interface {
	// ID returns the kind and name of the record.
	ID() ID
	// Schema returns the format in which the record is written.
	Schema() Schema
	// References returns the IDs of the records that must exist for this one to be valid.
	References() []ID
}

// Service is a group of backend servers that serve the same routes.
type Service struct {
	schema Schema
	name   string
	slots  int
}

// NewService returns a service whose backend servers each run up to slots concurrent calls. If slots is
// zero, the number that each backend server announces applies.
func NewService(schema Schema, name string, slots int) Service {
	return Service{schema: schema, name: name, slots: slots}
}

// ID implements Record.
func (s Service) ID() ID { return NewID(KindService, s.name) }

// Schema implements Record.
func (s Service) Schema() Schema { return s.schema }

// References implements Record. A service has no references.
func (s Service) References() []ID { return nil }

// Name returns the service name that backend servers announce.
func (s Service) Name() string { return s.name }

// Slots returns the number of concurrent calls per backend server, or zero if each backend server
// announces its own.
func (s Service) Slots() int { return s.slots }

// Resource is a rate limit that routes can share. Each node enforces it separately.
type Resource struct {
	schema Schema
	name   string
	rate   float64
	burst  int
}

// NewResource returns a rate limit of rate calls per second on each node, with bursts of up to burst calls.
func NewResource(schema Schema, name string, rate float64, burst int) Resource {
	return Resource{schema: schema, name: name, rate: rate, burst: burst}
}

// ID implements Record.
func (r Resource) ID() ID { return NewID(KindResource, r.name) }

// Schema implements Record.
func (r Resource) Schema() Schema { return r.schema }

// References implements Record. A resource has no references.
func (r Resource) References() []ID { return nil }

// Name returns the name by which routes refer to the resource.
func (r Resource) Name() string { return r.name }

// Rate returns the number of calls per second allowed on each node.
func (r Resource) Rate() float64 { return r.rate }

// Burst returns the number of calls that may exceed the rate at once.
func (r Resource) Burst() int { return r.burst }

// Objective is the service level objective of a route.
type Objective struct {
	target  float64
	latency time.Duration
}

// NewObjective returns an objective that the fraction target of all calls, between 0 and 1, succeeds within
// latency. The zero Objective means that there is none.
func NewObjective(target float64, latency time.Duration) Objective {
	return Objective{target: target, latency: latency}
}

// Target returns the fraction of calls that must be good.
func (o Objective) Target() float64 { return o.target }

// Latency returns the time within which a successful call counts as good.
func (o Objective) Latency() time.Duration { return o.latency }

// IsZero reports whether there is no objective.
func (o Objective) IsZero() bool { return o == Objective{} }

// DefaultTimeout is the timeout of routes that set none, which includes all routes of Schema1.
const DefaultTimeout = 5 * time.Second

// Route directs calls that match a path prefix to a service.
type Route struct {
	schema     Schema
	name       string
	path       string
	service    string
	idempotent bool
	timeout    time.Duration
	resources  []string
	objective  Objective
}

// NewRoute returns a route of Schema1 that directs calls below the prefix path to service. Calls on a
// route that is not idempotent need a request key and run at most once.
func NewRoute(name, path, service string, idempotent bool) Route {
	return Route{schema: Schema1, name: name, path: path, service: service, idempotent: idempotent, timeout: DefaultTimeout}
}

// NewRoute2 returns a route of Schema2. A timeout of zero means DefaultTimeout. The route retains
// resources, so the caller must not modify the slice afterwards.
func NewRoute2(name, path, service string, idempotent bool, timeout time.Duration, resources []string, objective Objective) Route {
	r := NewRoute(name, path, service, idempotent)
	r.schema = Schema2
	r.resources = resources
	r.objective = objective
	if timeout > 0 {
		r.timeout = timeout
	}
	return r
}

// WithSchema returns a copy of the route with another schema. Decoders use it to represent routes of
// schemas that this binary does not understand.
func (r Route) WithSchema(schema Schema) Route {
	r.schema = schema
	return r
}

// ID implements Record.
func (r Route) ID() ID { return NewID(KindRoute, r.name) }

// Schema implements Record.
func (r Route) Schema() Schema { return r.schema }

// References implements Record. It returns the service and the resources of the route.
func (r Route) References() []ID {
	ids := make([]ID, 0, len(r.resources)+1)
	ids = append(ids, NewID(KindService, r.service))
	for _, name := range r.resources {
		ids = append(ids, NewID(KindResource, name))
	}
	return ids
}

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Path returns the path prefix. It starts with a slash in every accepted route.
func (r Route) Path() string { return r.path }

// Service returns the name of the service that receives the calls.
func (r Route) Service() string { return r.service }

// Idempotent reports whether a call may run more than once.
func (r Route) Idempotent() bool { return r.idempotent }

// Timeout returns the total time allowed for a call, including retries.
func (r Route) Timeout() time.Duration { return r.timeout }

// Resources returns the names of the rate limits that apply to the route. The caller must not modify the
// slice.
func (r Route) Resources() []string { return r.resources }

// Objective returns the service level objective, which is zero if there is none.
func (r Route) Objective() Objective { return r.objective }
