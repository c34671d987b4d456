package setting

import "github.com/bambooknot/bambooknot/tomldoc"

// Default and bounds of a node's memory limit in bytes.
const (
	defaultMemory = 192 << 20
	minMemory     = 32 << 20
	maxMemory     = 4 << 30
)

// Limits is the section [limits]: the resources of the VM that the node may use.
type Limits struct {
	memory int64
}

func readLimits(t *tomldoc.Table) Limits {
	return Limits{memory: t.Int("memory", defaultMemory, minMemory, maxMemory)}
}

// Memory returns the soft memory limit of the Go runtime in bytes.
func (l Limits) Memory() int64 { return l.memory }
