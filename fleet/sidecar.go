package fleet

import (
	"net/netip"
	"time"
)

// rendezvousRenewals is the number of times that an entry of the rendezvous stream is renewed while the store keeps
// it.
const rendezvousRenewals = 4

// SidecarSettings returns the settings of the fleet of that name, whose store keeps entries for keep. hints may be out of
// date. Callers wait for a second or two, so a node that is gone has to be noticed within about two: that gives the periods of
// probing. Entries of the rendezvous stream are renewed well within the time for which the store keeps them, so that nodes
// which all start at once find each other in it.
func SidecarSettings(name string, hints []netip.AddrPort, keep time.Duration) Settings {
	renewal := min(keep/rendezvousRenewals, DefaultRendezvousMaxAge)
	return Settings{
		Fleet:                name,
		Hints:                hints,
		ProbePeriod:          500 * time.Millisecond,  // with SuspectTimeout, gone nodes are dropped in about two seconds
		AckTimeout:           150 * time.Millisecond,  // above the 100 ms for which a VM may be out of processor time
		SuspectTimeout:       1200 * time.Millisecond, // two probes by others
		GossipPeriod:         100 * time.Millisecond,  // each tick: servers that leave are known in some hundred ms
		GatewayProbePeriod:   500 * time.Millisecond,  // the other region's news may be that much older
		RegionSuspectTimeout: 3 * time.Second,         // six probes between regions
		SyncSettleTime:       time.Second,             // gossip has ended by then
		JoinRetryInterval:    100 * time.Millisecond,  // a lost datagram delays a start by that

		// Starting nodes know each other within formationLimit of the tests.
		RendezvousStartDelay:    50 * time.Millisecond,
		RendezvousAppendDelay:   200 * time.Millisecond,
		RendezvousRetryInterval: 250 * time.Millisecond,
		RendezvousGracePeriod:   1500 * time.Millisecond,
		RendezvousMaxBackoff:    time.Second, // a store that is back is used within about two seconds
		RendezvousReadPeriod:    renewal,
		RendezvousMaxAge:        renewal,
		RendezvousAppendAtStart: true,
		RendezvousTailEntries:   1024, // above the nodes that may start within one retention
	}
}
