package setting

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/tomldoc"
)

// Defaults and bounds of the log's timeouts.
const (
	defaultReadTimeout   = 5 * time.Second
	defaultAppendTimeout = 3 * time.Second
	minLogTimeout        = 50 * time.Millisecond
	maxLogTimeout        = time.Minute
)

// Log is the section [log]: the platform's append-only log service.
type Log struct {
	address       netip.AddrPort
	readTimeout   time.Duration
	appendTimeout time.Duration
}

func readLog(t *tomldoc.Table) Log {
	t.Require("address", "an IP number with a port, such as \"10.0.0.2:7000\"")
	return Log{
		address:       t.AddrPort("address", netip.AddrPort{}),
		readTimeout:   t.Duration("read_timeout", defaultReadTimeout, minLogTimeout, maxLogTimeout),
		appendTimeout: t.Duration("append_timeout", defaultAppendTimeout, minLogTimeout, maxLogTimeout),
	}
}

// Address returns the address at which the log service accepts HTTP requests.
func (l Log) Address() netip.AddrPort { return l.address }

// ReadTimeout returns the timeout of a read in addition to its wait for the first entry.
func (l Log) ReadTimeout() time.Duration { return l.readTimeout }

// AppendTimeout returns the timeout of an append, after which its outcome counts as unknown.
func (l Log) AppendTimeout() time.Duration { return l.appendTimeout }
