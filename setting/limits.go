package setting

import "github.com/bambooknot/bambooknot/tomldoc"

// Default and bounds of the memory of a node in bytes.
const (
	defaultMemory = 192 << 20
	minMemory     = 32 << 20
	maxMemory     = 4 << 30
)

// Limits is the section [limits]: what the node may use of its VM.
type Limits struct {
	memory int64
}

func readLimits(t *tomldoc.Table) Limits {
	return Limits{memory: t.Int("memory", defaultMemory, minMemory, maxMemory)}
}

// Memory returns the soft limit on the memory of the process in bytes, as the Go runtime keeps it.
func (l Limits) Memory() int64 { return l.memory }
