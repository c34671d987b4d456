package setting

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/tomldoc"
)

const maxHints = 64 // addresses

// Fleet is the section [fleet]: what all nodes of a fleet have in common.
type Fleet struct {
	name      string
	logRegion member.Region
	hints     []netip.AddrPort
}

func readFleet(t *tomldoc.Table) Fleet {
	return Fleet{
		name:      requiredName(t, "name"),
		logRegion: member.Region(requiredName(t, "log_region")),
		hints:     t.AddrPorts("hints", maxHints),
	}
}

// Name returns the name of the fleet. Nodes and operators of another fleet are refused.
func (f Fleet) Name() string { return f.name }

// LogRegion returns the region in which the platform's log stands.
func (f Fleet) LogRegion() member.Region { return f.logRegion }

// Hints returns peer addresses at which a starting node looks for others first. They may be out of
// date: the rendezvous stream of the log finds the fleet without them.
func (f Fleet) Hints() []netip.AddrPort { return f.hints }
