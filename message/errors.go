package message

import "net/netip"

// NotSentError is the error of a forwarded call of which no byte was sent to the peer, so that the call cannot have
// been executed.
type NotSentError struct {
	peer netip.AddrPort
	err  error
}

// NewNotSentError returns the error for a call to peer. err is the cause.
func NewNotSentError(peer netip.AddrPort, err error) *NotSentError {
	return &NotSentError{peer: peer, err: err}
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent to " + e.peer.String() + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.err }

// Peer returns the address of the peer.
func (e *NotSentError) Peer() netip.AddrPort { return e.peer }
