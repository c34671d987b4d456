package fleet

import (
	"net/netip"
	"time"
)

// renewalsPerRetention is how often the rendezvous entry is renewed within the time for which the store keeps
// entries.
const renewalsPerRetention = 4

// SidecarSettings returns the settings of the fleet of that name, whose store keeps entries for retention. hints
// may be outdated. Callers wait for one or two seconds, so a failed node must be detected within about two; the
// probing periods follow from that. Rendezvous entries are renewed well within the time for which the store keeps
// them, so that nodes that all start at the same time find each other through them.
func SidecarSettings(name string, hints []netip.AddrPort, retention time.Duration) Settings {
	renewal := min(retention/renewalsPerRetention, DefaultRendezvousMaxAge)
	return Settings{
		Fleet:                name,
		Hints:                hints,
		ProbePeriod:          500 * time.Millisecond,  // with SuspectTimeout, failed nodes are dropped in about two seconds
		AckTimeout:           150 * time.Millisecond,  // above the 100 ms for which a VM may get no CPU time
		SuspectTimeout:       1200 * time.Millisecond, // two probes by others
		GossipPeriod:         100 * time.Millisecond,  // every tick: servers that leave are known within a few hundred milliseconds
		GatewayProbePeriod:   500 * time.Millisecond,  // claims about the other region may be that much older
		RegionSuspectTimeout: 3 * time.Second,         // six probes between regions
		SyncSettleTime:       time.Second,             // gossip has ended by then
		JoinRetryInterval:    100 * time.Millisecond,  // a lost datagram delays joining by up to twice that

		// Nodes that start together know each other within formationLimit, which the tests check.
		RendezvousStartDelay:    50 * time.Millisecond,
		RendezvousAppendDelay:   200 * time.Millisecond,
		RendezvousRetryInterval: 250 * time.Millisecond,
		RendezvousGracePeriod:   1500 * time.Millisecond,
		RendezvousMaxBackoff:    time.Second, // a store that is available again is used within about two seconds
		RendezvousReadPeriod:    renewal,
		RendezvousMaxAge:        renewal,
		RendezvousAppendAtStart: true,
		RendezvousTailEntries:   1024, // above the number of nodes that may start within one retention
	}
}
