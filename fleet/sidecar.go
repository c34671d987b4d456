package fleet

import (
	"net/netip"
	"time"
)

// rendezvousRenewals is the number of times that an entry of the rendezvous stream is renewed while the store keeps
// it.
const rendezvousRenewals = 4

// ForSidecars returns the settings of the fleet of that name, whose store keeps entries for keep. hints may be out of
// date. Periods are shorter than the defaults, as callers wait for a second or two only. Entries of the rendezvous stream are renewed well within the time for which the store keeps them, so that nodes which
// all start at once find each other in it.
func ForSidecars(name string, hints []netip.AddrPort, keep time.Duration) Settings {
	renewal := min(keep/rendezvousRenewals, DefaultRendezvousAge)
	return Settings{
		Fleet:             name,
		Hints:             hints,
		ProbePeriod:       500 * time.Millisecond,
		AckTimeout:        150 * time.Millisecond,
		SuspectTimeout:    1200 * time.Millisecond,
		GossipPeriod:      100 * time.Millisecond,
		GatewayPeriod:     500 * time.Millisecond,
		RegionLost:        3 * time.Second,
		SyncSettle:        time.Second,
		JoinRetry:         100 * time.Millisecond,
		RendezvousStart:   50 * time.Millisecond,
		RendezvousSpread:  200 * time.Millisecond,
		RendezvousRetry:   250 * time.Millisecond,
		RendezvousGrace:   1500 * time.Millisecond,
		RendezvousBackoff: time.Second,
		RendezvousRead:    renewal,
		RendezvousAge:     renewal,
		RendezvousEager:   true,
		RendezvousTail:    1024,
	}
}
