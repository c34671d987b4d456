package proxy

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/member"
)

// Backend is the backend server on the node's VM.
type Backend struct {
	id      string
	started int64
	address netip.AddrPort
	server  member.Server
}

// NewBackend returns a backend server.
func NewBackend(id string, address netip.AddrPort, server member.Server) Backend {
	return Backend{id: id, address: address, server: server}
}

// WithStarted returns the backend server with the start of its process in Unix milliseconds, 0 if not known. It tells
// processes that use the same ID apart.
func (b Backend) WithStarted(unixMilli int64) Backend {
	b.started = unixMilli
	return b
}

func (b Backend) process() serverProcess { return serverProcess{id: b.id, started: b.started} }

// isProcess reports whether the server is a process, as far as its start is known.
func (b Backend) isProcess(p serverProcess) bool {
	return b.id == p.id && (b.started == p.started || b.started == 0)
}

// Started returns the start of the server's process in Unix milliseconds, 0 if not known.
func (b Backend) Started() int64 { return b.started }

// ID returns the ID of the server.
func (b Backend) ID() string { return b.id }

// Address returns the address on which the server accepts requests.
func (b Backend) Address() netip.AddrPort { return b.address }

// Server returns the service, state and slots of the server.
func (b Backend) Server() member.Server { return b.server }
