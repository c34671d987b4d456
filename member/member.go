// Package member describes the members of the fleet, their backend servers, and the view of the membership
// from which a node routes calls and distributes configuration. Values are immutable.
package member

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/record"
)

// Incarnation distinguishes successive processes at one address. A newer process has a greater incarnation.
type Incarnation uint64

// Key identifies one node process.
type Key struct {
	peer        netip.AddrPort
	incarnation Incarnation
}

// NewKey returns the key of the process that listens for peers at that address.
func NewKey(peer netip.AddrPort, incarnation Incarnation) Key {
	return Key{peer: peer, incarnation: incarnation}
}

// Peer returns the address at which the node listens for other nodes, over UDP and TCP.
func (k Key) Peer() netip.AddrPort { return k.peer }

// Incarnation returns the incarnation of the process.
func (k Key) Incarnation() Incarnation { return k.incarnation }

// Region names one of the regions.
type Region string

// FailureDomain names a part of a region whose nodes can fail together.
type FailureDomain string

// Place is the location of a node.
type Place struct {
	region Region
	domain FailureDomain
}

// NewPlace returns the place in a region and failure domain.
func NewPlace(region Region, domain FailureDomain) Place {
	return Place{region: region, domain: domain}
}

// Region returns the region.
func (p Place) Region() Region { return p.region }

// FailureDomain returns the failure domain.
func (p Place) FailureDomain() FailureDomain { return p.domain }

// Health is the state of a node according to failure detection.
type Health uint8

// Health states. Of two claims with the same revision the one with the greater state overrides the other.
const (
	HealthAlive Health = iota + 1
	HealthSuspect
	HealthDead
	HealthLeft
)

// String returns the word that status output uses.
func (h Health) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead", "left"}
	if int(h) >= len(names) {
		return "unknown"
	}
	return names[h]
}

// ServerState is the state of a node's backend server.
type ServerState uint8

// States of a backend server. Only a server in ServerReady accepts new calls.
const (
	// ServerNone means that the node has no usable server: none has announced itself, its announcements have stopped, or
	// it has not passed a required health check.
	ServerNone ServerState = iota
	// ServerCold means that the server has announced itself but is not ready for calls yet.
	ServerCold
	ServerReady
	// ServerDraining means that the server finishes its calls and accepts no new ones, or has left.
	ServerDraining
)

// String returns the word that status output uses.
func (s ServerState) String() string {
	names := [...]string{"none", "cold", "ready", "draining"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Server is a backend server that reports to its node.
type Server struct {
	service string
	state   ServerState
	slots   int
	version string
}

// NewServer returns a backend server of a service that runs up to slots calls at once.
func NewServer(service string, state ServerState, slots int) Server {
	return Server{service: service, state: state, slots: slots}
}

// Service returns the name of the service that the server belongs to.
func (s Server) Service() string { return s.service }

// State returns the state that the server or its node announced.
func (s Server) State() ServerState { return s.state }

// Slots returns the number of calls that the server runs at once.
func (s Server) Slots() int { return s.slots }

// Version returns the version of the server's software, or "" if it is not known or the fleet does not use it.
func (s Server) Version() string { return s.version }

// WithVersion returns the same server with a version of its software.
func (s Server) WithVersion(version string) Server {
	s.version = version
	return s
}

// WithState returns the same server in another state.
func (s Server) WithState(state ServerState) Server {
	s.state = state
	return s
}

// Member is a node with its backend server, as announced by the node in a revision.
type Member struct {
	key          Key
	revision     uint64
	place        Place
	health       Health
	server       Server
	newestSchema record.Schema
}

// New returns an alive member at revision 0 without a backend server. newestSchema is the newest record
// schema that the node's binary supports.
func New(key Key, place Place, newestSchema record.Schema) Member {
	return Member{key: key, place: place, health: HealthAlive, newestSchema: newestSchema}
}

// WithServer returns a copy with that backend server.
func (m Member) WithServer(s Server) Member {
	m.server = s
	return m
}

// WithHealth returns a copy with that health.
func (m Member) WithHealth(h Health) Member {
	m.health = h
	return m
}

// WithRevision returns a copy at that revision.
func (m Member) WithRevision(revision uint64) Member {
	m.revision = revision
	return m
}

// Key returns the identity of the process.
func (m Member) Key() Key { return m.key }

// Revision returns the number of the announcement, which only the node itself increments.
func (m Member) Revision() uint64 { return m.revision }

// Place returns the location of the node.
func (m Member) Place() Place { return m.place }

// Health returns the state of the node according to failure detection.
func (m Member) Health() Health { return m.health }

// Server returns the node's backend server.
func (m Member) Server() Server { return m.server }

// NewestSchema returns the newest record schema that the node supports.
func (m Member) NewestSchema() record.Schema { return m.newestSchema }

// Overrides reports whether a claim about a node replaces the current one. A claim about a newer incarnation
// does; within an incarnation HealthLeft is final; otherwise the higher revision wins, and at the same
// revision the worse health. This is a total order, so the result is independent of the order of arrival.
func (m Member) Overrides(current Member) bool {
	if m.key.incarnation != current.key.incarnation {
		return m.key.incarnation > current.key.incarnation
	}
	if left, currentLeft := m.health == HealthLeft, current.health == HealthLeft; left != currentLeft {
		return left
	}
	if m.revision != current.revision {
		return m.revision > current.revision
	}
	return m.health > current.health
}
