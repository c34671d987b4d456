package exchange

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

// A peer behind a network partition or without power does not respond, so connections must detect it by themselves.
// Together these settings detect an unresponsive peer within about two seconds.
const (
	// keepAliveIdle is how long a connection may be silent before the first keep-alive probe.
	keepAliveIdle = time.Second
	// keepAliveInterval is the interval between probes.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is the number of unanswered probes after which a connection is closed.
	keepAliveCount = 2
	// userTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a TCP connection that detects an unresponsive peer.
func Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, oops.In("exchange.dial").With("peer", to).Wrap(err)
	}
	return conn, nil
}

// Listen returns a TCP listener whose connections detect an unresponsive peer.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	listener, err := l.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, oops.In("exchange.listen").With("address", addr).Wrap(err)
	}
	return listener, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
