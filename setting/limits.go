package setting

import "github.com/bambooknot/bambooknot/tomldoc"

// Defaults and bounds of the section [limits].
const (
	defaultMemory       = 64 << 20
	minMemory           = 32 << 20
	maxMemory           = 4 << 30
	defaultControlBytes = 21_000
	minControlBytes     = 1_000
	maxControlBytes     = 10_000_000
)

// Limits is the section [limits]: what the node may use of its VM.
type Limits struct {
	memory       int64
	controlBytes int64
}

func readLimits(t *tomldoc.Table) Limits {
	return Limits{
		memory:       t.Int("memory", defaultMemory, minMemory, maxMemory),
		controlBytes: t.Int("control_bytes", defaultControlBytes, minControlBytes, maxControlBytes),
	}
}

// Memory returns the soft limit on the memory of the process in bytes, as the Go runtime keeps it.
func (l Limits) Memory() int64 { return l.memory }

// ControlBytes returns the bytes per second that the node may send for control.
func (l Limits) ControlBytes() int64 { return l.controlBytes }
