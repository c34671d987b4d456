package setting

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/tomldoc"
)

const maxHints = 64 // addresses

// Fleet is the section [fleet]: the settings that all nodes of a fleet share.
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

// Name returns the name of the fleet. Nodes reject peers and operators of another fleet.
func (f Fleet) Name() string { return f.name }

// LogRegion returns the region in which the platform's log runs.
func (f Fleet) LogRegion() member.Region { return f.logRegion }

// Hints returns peer addresses that a starting node contacts first. They may be out of date, because a node also finds
// the fleet through the rendezvous stream of the log.
func (f Fleet) Hints() []netip.AddrPort { return f.hints }
