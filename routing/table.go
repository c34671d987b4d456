// Package routing holds the routes that operators publish, as nodes act on them: which service a request goes
// to, what may be repeated, and how long it may take. Values are immutable.
package routing

import (
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// Kind says what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// KindUnsafe requests may run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent.
	KindSafe
)

// String returns the word that logs use.
func (k Kind) String() string {
	if k == KindSafe {
		return "safe"
	}
	return "unsafe"
}

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	service string
	weight  int
}

// NewWeightedService returns the part of a route that goes to a service.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (p WeightedService) Service() string { return p.service }

// Weight returns the part's share among the weights of all parts.
func (p WeightedService) Weight() int { return p.weight }

// RouteFields are what a Route is made of.
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
}

// Route says where requests of one host and path prefix go.
type Route struct {
	fields RouteFields
	total  int // sum of the weights
}

// NewRoute returns a route. It keeps the slice of parts.
func NewRoute(fields RouteFields) Route {
	r := Route{fields: fields}
	for _, p := range fields.Services {
		r.total += p.weight
	}
	return r
}

// Name returns the name of the route.
func (r Route) Name() string { return r.fields.Name }

// Host returns the host whose requests the route takes.
func (r Route) Host() string { return r.fields.Host }

// Prefix returns the path prefix, which begins and ends with a slash.
func (r Route) Prefix() string { return r.fields.Prefix }

// Kind returns what may be repeated.
func (r Route) Kind() Kind { return r.fields.Kind }

// Timeout returns the longest time that a request may be kept waiting.
func (r Route) Timeout() time.Duration { return r.fields.Timeout }

// TargetLatency returns the time within which an answer has its full worth.
func (r Route) TargetLatency() time.Duration { return r.fields.TargetLatency }

// Priority returns the rank of the route's requests, 0 being the most urgent.
func (r Route) Priority() int { return r.fields.Priority }

// MaxAttempts returns the number of servers to which one request may be sent at most.
func (r Route) MaxAttempts() int { return max(r.fields.MaxAttempts, 1) }

// Services returns the services that the route's requests go to. The caller must not change it.
func (r Route) Services() []WeightedService { return r.fields.Services }

// ChooseService returns the service for a request, by a number that is uniform in [0, 1).
func (r Route) ChooseService(uniform float64) string {
	left := uniform * float64(r.total)
	for _, p := range r.fields.Services {
		if left -= float64(p.weight); left < 0 {
			return p.service
		}
	}
	return r.fields.Services[len(r.fields.Services)-1].service
}

// Service is what operators say of a service.
type Service struct {
	name        string
	healthPath  string
	connections int
}

// NewService returns a service whose servers answer health checks at a path and accept so many connections
// each.
func NewService(name, healthPath string, connections int) Service {
	return Service{name: name, healthPath: healthPath, connections: connections}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of health checks.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns the number of connections that one server accepts.
func (s Service) MaxConnections() int { return s.connections }

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routes, whole.
type Table struct {
	version  record.Version
	hosts    map[string]map[string]Route
	services map[string]Service
	limits   Limits
}

// NewTable returns a table. Routes must have parts.
func NewTable(version record.Version, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{version: version, hosts: make(map[string]map[string]Route), services: make(map[string]Service, len(services)), limits: limits}
	for _, r := range routes {
		if t.hosts[r.Host()] == nil {
			t.hosts[r.Host()] = make(map[string]Route)
		}
		t.hosts[r.Host()][r.Prefix()] = r
	}
	for _, s := range services {
		t.services[s.name] = s
	}
	return t
}

// Version returns the version of the table.
func (t *Table) Version() record.Version { return t.version }

// Limits returns what bounds callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service of that name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of a host with the longest prefix of a path.
func (t *Table) Match(host, path string) (Route, bool) {
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = t.hosts[withoutPort(host)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
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
