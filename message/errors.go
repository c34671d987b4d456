package message

import "net/netip"

// NotSentError is the error of a forward of which no byte reached the peer, so that nothing can have run.
type NotSentError struct {
	peer netip.AddrPort
	err  error
}

// NewNotSentError returns the error for a peer, with its cause.
func NewNotSentError(peer netip.AddrPort, err error) *NotSentError {
	return &NotSentError{peer: peer, err: err}
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent to " + e.peer.String() + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.err }

// Peer returns the peer that was not reached.
func (e *NotSentError) Peer() netip.AddrPort { return e.peer }
