package proxy

import (
	"context"
	"net"
	"net/netip"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/timer"
)

// OwnerSettings configure an Owner.
type OwnerSettings struct {
	Timers      *timer.Service
	Dial        func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // to the server; nil means exchange.Dial
	Log         zerolog.Logger
	AnsweredLog zerolog.Logger // for answered requests
	Scope       tally.Scope
	Budget      *exchange.Budget // of the memory for responses; nil for no bound
	// LinkBytesPerSecond is what the link of the VM carries; 0 for no limit.
	LinkBytesPerSecond float64
	// OnLeaving is called when the response to a request, or the node of a caller, shows that the server is about to leave.
	// It must make the server draining with SetBackend. Nil means that this is ignored.
	OnLeaving func(server Backend, requestID string)
	// OnEnded is called when the server refuses connections. It must take the server out of use with SetBackend until its
	// next heartbeat. Nil means that this is ignored.
	OnEnded func(server Backend)
	// Quarantine returns the requests that crash servers.
	Quarantine func() *quarantine.View
	// OnCrash is called when the server has ended while it was running requests, OnCleared when the server has run a
	// suspected request to its end, and OnTrial when a quarantined request is about to be sent to the server. They may
	// block for a short time. Nil means that this is ignored.
	OnCrash   func(server quarantine.Server, requests []quarantine.Request)
	OnCleared func(request quarantine.Request)
	OnTrial   func(content quarantine.Content, number int)
}

// withDefaults replaces missing functions.
func (s OwnerSettings) withDefaults() OwnerSettings {
	if s.Dial == nil {
		s.Dial = exchange.Dial
	}
	if s.OnLeaving == nil {
		s.OnLeaving = func(Backend, string) {}
	}
	if s.OnEnded == nil {
		s.OnEnded = func(Backend) {}
	}
	if s.Quarantine == nil {
		s.Quarantine = quarantine.NewView
	}
	if s.OnCrash == nil {
		s.OnCrash = func(quarantine.Server, []quarantine.Request) {}
	}
	if s.OnCleared == nil {
		s.OnCleared = func(quarantine.Request) {}
	}
	if s.OnTrial == nil {
		s.OnTrial = func(quarantine.Content, int) {}
	}
	return s
}
