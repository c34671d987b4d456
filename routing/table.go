// Package routing holds the routing table that operators publish: which service a request is sent to, whether it may be
// retried after it may have run, and how long it may take. Values are immutable.
package routing

import (
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// Kind states whether the requests of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// KindUnsafe is for requests that may run at most once.
	KindUnsafe Kind = iota
	// KindSafe is for idempotent requests.
	KindSafe
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	if k == KindSafe {
		return "safe"
	}
	return "unsafe"
}

// WeightedService is a service that receives a share of the requests of a route.
type WeightedService struct {
	service string
	weight  int
}

// NewWeightedService returns a service with a weight.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the weight, which is relative to the sum of the weights of the route.
func (s WeightedService) Weight() int { return s.weight }

// RouteFields are the fields of a Route.
type RouteFields struct {
	Name          string
	Host          string
	Prefix        string
	Kind          Kind
	Timeout       time.Duration
	TargetLatency time.Duration
	Priority      int
	MaxAttempts   int
	Services      []WeightedService
	AuthExempt    bool
}

// Route describes how requests of one host and path prefix are handled.
type Route struct {
	fields      RouteFields
	totalWeight float64 // sum of the weights
}

// NewRoute returns a route. It retains the slice of services.
func NewRoute(fields RouteFields) Route {
	r := Route{fields: fields}
	for _, s := range fields.Services {
		r.totalWeight += float64(s.weight)
	}
	return r
}

// Name returns the name of the route.
func (r Route) Name() string { return r.fields.Name }

// Host returns the host whose requests the route matches.
func (r Route) Host() string { return r.fields.Host }

// Prefix returns the path prefix, which begins and ends with a slash.
func (r Route) Prefix() string { return r.fields.Prefix }

// Kind returns whether requests may run more than once.
func (r Route) Kind() Kind { return r.fields.Kind }

// Timeout returns the maximum time until a request is answered. The caller may state a shorter one.
func (r Route) Timeout() time.Duration { return r.fields.Timeout }

// TargetLatency returns the latency within which a request counts as answered in time.
func (r Route) TargetLatency() time.Duration { return r.fields.TargetLatency }

// Priority returns the priority of the requests. 0 is the most urgent.
func (r Route) Priority() int { return r.fields.Priority }

// MaxAttempts returns the maximum number of servers that one request may reach. Attempts known not to have reached a
// server do not count.
func (r Route) MaxAttempts() int { return max(r.fields.MaxAttempts, 1) }

// Services returns the services that requests are distributed to. The caller must not modify the slice.
func (r Route) Services() []WeightedService { return r.fields.Services }

// AuthExempt reports whether requests need no API key of an organisation.
func (r Route) AuthExempt() bool { return r.fields.AuthExempt }

// ChooseService picks a service by weight, given a random number that is uniform in [0, 1).
func (r Route) ChooseService(uniform float64) string {
	remaining := uniform * r.totalWeight
	for _, s := range r.fields.Services {
		if remaining -= float64(s.weight); remaining < 0 {
			return s.service
		}
	}
	return r.fields.Services[len(r.fields.Services)-1].service
}

// Service holds the published settings of a service.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
}

// NewService returns a service whose servers answer health checks at healthPath and accept up to maxConnections
// connections each.
func NewService(name, healthPath string, maxConnections int) Service {
	return Service{name: name, healthPath: healthPath, maxConnections: maxConnections}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of health checks. If it is empty, the node uses its default.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns the maximum number of connections that one server accepts. Nodes do not enforce it.
func (s Service) MaxConnections() int { return s.maxConnections }

// Limits bound the size and duration of what callers send. Zero values mean the defaults of the node.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one complete version of the routes.
type Table struct {
	version       record.Version
	routes        []Route
	indexes       map[routeKey]int    // of the routes
	portHosts     map[string]struct{} // hosts of routes that name a port; nil if there are none
	services      map[string]Service
	limits        Limits
	organisations *Organisations // nil if requests need no API keys
}

// routeKey identifies a route of a table.
type routeKey struct {
	host   string
	prefix string
}

// NewTable returns a table. Each route must have at least one service. It keeps the slice of routes.
func NewTable(version record.Version, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{version: version, routes: routes, indexes: make(map[routeKey]int, len(routes)), services: make(map[string]Service, len(services)), limits: limits}
	for i := range routes {
		fields := &routes[i].fields
		t.indexes[routeKey{host: fields.Host, prefix: fields.Prefix}] = i
		if len(withoutPort(fields.Host)) != len(fields.Host) {
			t.addPortHost(fields.Host)
		}
	}
	for _, s := range services {
		t.services[s.name] = s
	}
	return t
}

func (t *Table) addPortHost(host string) {
	if t.portHosts == nil {
		t.portHosts = make(map[string]struct{})
	}
	t.portHosts[host] = struct{}{}
}

// Version returns the version of the table.
func (t *Table) Version() record.Version { return t.version }

// Limits returns the limits on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// WithOrganisations returns a copy of the table whose requests need API keys of organisations. It keeps organisations.
func (t *Table) WithOrganisations(organisations *Organisations) *Table {
	copied := *t
	copied.organisations = organisations
	return &copied
}

// Organisations returns the organisations, or nil if requests need no API keys.
func (t *Table) Organisations() *Organisations { return t.organisations }

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of a host with the longest matching path prefix. A port in host is ignored unless a route
// names it.
func (t *Table) Match(host, path string) (Route, bool) {
	if _, named := t.portHosts[host]; !named {
		host = withoutPort(host)
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if i, ok := t.indexes[routeKey{host: host, prefix: path[:end+1]}]; ok {
			return t.routes[i], true
		}
	}
	return Route{}, false
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}
