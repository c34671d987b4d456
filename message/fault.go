package message

import "net/netip"

// NotSent is the error of a forward of which no byte reached the peer, so that nothing can have run.
type NotSent struct {
	peer netip.AddrPort
	err  error
}

// NewNotSent returns the error for a peer, with its cause.
func NewNotSent(peer netip.AddrPort, err error) *NotSent { return &NotSent{peer: peer, err: err} }

// Error implements error.
func (e *NotSent) Error() string { return "not sent to " + e.peer.String() + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *NotSent) Unwrap() error { return e.err }

// Peer returns the peer that was not reached.
func (e *NotSent) Peer() netip.AddrPort { return e.peer }
