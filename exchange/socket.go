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

// A peer behind a partition or without power answers nothing, so connections must notice that by
// themselves. Together these find a silent peer in about two seconds.
const (
	// keepAliveIdle is how long a connection may be silent before it is probed.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is the number of unanswered probes that end a connection.
	keepAliveCount = 2
	// userTimeout bounds the time for which sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a connection that notices a silent peer.
func Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, oops.In("exchange.dial").With("peer", to).Wrap(err)
	}
	return conn, nil
}

// Listen binds an address whose connections notice a silent peer.
func Listen(at netip.AddrPort) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	listener, err := l.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, oops.In("exchange.listen").With("address", at).Wrap(err)
	}
	return listener, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
