package fleet

import (
	"net/netip"
	"time"
)

// Settings say whom to contact first and how often to do what. Zero values mean the defaults.
type Settings struct {
	// Fleet is the name of the fleet, which marks the entries of the rendezvous stream.
	Fleet string
	// Hints are addresses of nodes that probably live. There may be none.
	Hints []netip.AddrPort
	// ProbePeriod is the time between two probes that a node starts.
	ProbePeriod time.Duration
	// AckTimeout is how long a probe waits before others are asked to probe too.
	AckTimeout time.Duration
	// IndirectProbes is how many members are asked.
	IndirectProbes int
	// SuspectTimeout is how long a suspect member may refute before it counts as dead.
	SuspectTimeout time.Duration
	// GossipPeriod is the time between two rounds of gossip.
	GossipPeriod time.Duration
	// GossipFanout is the number of members that are sent the claims of a round.
	GossipFanout int
	// Retention is how long claims of dead and left members are kept.
	Retention time.Duration
	// PauseGap is the time between two calls of the machine from which on it takes itself for paused.
	PauseGap time.Duration
	// SyncSettle is how long a view must be unchanged before a difference of views counts as loss.
	SyncSettle time.Duration
	// SyncDatagrams is the number of datagrams a second spent on answers to comparisons of views.
	SyncDatagrams int
	// Gateways is the number of nodes per region that talk to other regions.
	Gateways int
	// GatewayPeriod is the time between two probes by a gateway of another region.
	GatewayPeriod time.Duration
	// RegionLost is how long a region may be silent before its members are marked suspect in the view.
	RegionLost time.Duration
	// RegionExpiry is how long a region may be silent before its members leave the view.
	RegionExpiry time.Duration
	// RendezvousRead is the time between two reads of the rendezvous stream by a gateway.
	RendezvousRead time.Duration
	// RendezvousAge is the age of the newest entry of the rendezvous stream from which on a gateway
	// appends, and the least time between two appends of one node.
	RendezvousAge time.Duration
	// RendezvousStart bounds the random delay before a node's first read of the rendezvous stream.
	RendezvousStart time.Duration
	// RendezvousSpread bounds the random delay before a node that knows nobody appends.
	RendezvousSpread time.Duration
	// RendezvousRetry is the mean time between two reads of a node that knows nobody.
	RendezvousRetry time.Duration
	// RendezvousGrace is how long a node that knows nobody tries addresses written before its start.
	RendezvousGrace time.Duration
	// RendezvousBackoff bounds the time between two reads while the log fails.
	RendezvousBackoff time.Duration
	// RendezvousEager has every node append its address to the rendezvous stream at its start, before it reads, so that
	// of two nodes which start at once one finds the other.
	RendezvousEager bool
	// RendezvousTail is the number of entries read from the end of the rendezvous stream.
	RendezvousTail int
	// JoinRetry is the least time between two attempts to join; up to as much is added at random.
	JoinRetry time.Duration
}

// Defaults of Settings.
const (
	DefaultProbePeriod    = time.Second
	DefaultAckTimeout     = 300 * time.Millisecond
	DefaultIndirectProbes = 3
	DefaultSuspectTimeout = 3 * time.Second
	DefaultGossipPeriod   = 200 * time.Millisecond
	DefaultGossipFanout   = 3
	DefaultRetention      = 5 * time.Minute
	DefaultPauseGap       = 500 * time.Millisecond
	DefaultSyncSettle     = 2 * time.Second
	DefaultSyncDatagrams  = 64
	DefaultGateways       = 2
	DefaultGatewayPeriod  = 2 * time.Second
	DefaultRegionLost     = 20 * time.Second
	DefaultRegionExpiry   = time.Hour
	DefaultRendezvousRead = 20 * time.Second
	DefaultRendezvousAge  = time.Minute

	DefaultRendezvousStart   = time.Second
	DefaultRendezvousSpread  = 8 * time.Second
	DefaultRendezvousRetry   = 2 * time.Second
	DefaultRendezvousGrace   = 5 * time.Second
	DefaultRendezvousBackoff = 30 * time.Second
	DefaultRendezvousTail    = 16
	DefaultJoinRetry         = 500 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	setDuration(&s.ProbePeriod, DefaultProbePeriod)
	setDuration(&s.AckTimeout, DefaultAckTimeout)
	setDuration(&s.SuspectTimeout, DefaultSuspectTimeout)
	setDuration(&s.GossipPeriod, DefaultGossipPeriod)
	setDuration(&s.Retention, DefaultRetention)
	setDuration(&s.PauseGap, DefaultPauseGap)
	setDuration(&s.SyncSettle, DefaultSyncSettle)
	setDuration(&s.GatewayPeriod, DefaultGatewayPeriod)
	setDuration(&s.RegionLost, DefaultRegionLost)
	setDuration(&s.RegionExpiry, DefaultRegionExpiry)
	setDuration(&s.RendezvousRead, DefaultRendezvousRead)
	setDuration(&s.RendezvousAge, DefaultRendezvousAge)
	setDuration(&s.RendezvousStart, DefaultRendezvousStart)
	setDuration(&s.RendezvousSpread, DefaultRendezvousSpread)
	setDuration(&s.RendezvousRetry, DefaultRendezvousRetry)
	setDuration(&s.RendezvousGrace, DefaultRendezvousGrace)
	setDuration(&s.RendezvousBackoff, DefaultRendezvousBackoff)
	setDuration(&s.JoinRetry, DefaultJoinRetry)
	setCount(&s.IndirectProbes, DefaultIndirectProbes)
	setCount(&s.GossipFanout, DefaultGossipFanout)
	setCount(&s.SyncDatagrams, DefaultSyncDatagrams)
	setCount(&s.Gateways, DefaultGateways)
	setCount(&s.RendezvousTail, DefaultRendezvousTail)
	return s
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setCount(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
