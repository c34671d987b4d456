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
	// TombstoneRetention is how long claims of dead and left members are kept.
	TombstoneRetention time.Duration
	// PauseThreshold is the time between two calls of the machine from which on it takes itself for paused.
	PauseThreshold time.Duration
	// SyncSettleTime is how long a view must be unchanged before a difference of views counts as loss.
	SyncSettleTime time.Duration
	// SyncDatagramRate is the number of datagrams a second spent on answers to comparisons of views.
	SyncDatagramRate int
	// GatewaysPerRegion is the number of nodes per region that talk to other regions.
	GatewaysPerRegion int
	// GatewayProbePeriod is the time between two probes by a gateway of another region.
	GatewayProbePeriod time.Duration
	// RegionSuspectTimeout is how long a region may be silent before its members are marked suspect in the view.
	RegionSuspectTimeout time.Duration
	// RegionDeadTimeout is how long a region may be silent before its members leave the view.
	RegionDeadTimeout time.Duration
	// RendezvousReadPeriod is the time between two reads of the rendezvous stream by a gateway.
	RendezvousReadPeriod time.Duration
	// RendezvousMaxAge is the age of the newest entry of the rendezvous stream from which on a gateway
	// appends, and the least time between two appends of one node.
	RendezvousMaxAge time.Duration
	// RendezvousStartDelay bounds the random delay before a node's first read of the rendezvous stream.
	RendezvousStartDelay time.Duration
	// RendezvousAppendDelay bounds the random delay before a node that knows nobody appends.
	RendezvousAppendDelay time.Duration
	// RendezvousRetryInterval is the mean time between two reads of a node that knows nobody.
	RendezvousRetryInterval time.Duration
	// RendezvousGracePeriod is how long a node that knows nobody tries addresses written before its start.
	RendezvousGracePeriod time.Duration
	// RendezvousMaxBackoff bounds the time between two reads while the log fails.
	RendezvousMaxBackoff time.Duration
	// RendezvousAppendAtStart has every node append its address to the rendezvous stream at its start, before it reads, so that
	// of two nodes which start at once one finds the other.
	RendezvousAppendAtStart bool
	// RendezvousTailEntries is the number of entries read from the end of the rendezvous stream.
	RendezvousTailEntries int
	// JoinRetryInterval is the least time between two attempts to join; up to as much is added at random.
	JoinRetryInterval time.Duration
}

// Defaults of Settings.
const (
	DefaultProbePeriod          = time.Second
	DefaultAckTimeout           = 300 * time.Millisecond
	DefaultIndirectProbes       = 3
	DefaultSuspectTimeout       = 3 * time.Second
	DefaultGossipPeriod         = 200 * time.Millisecond
	DefaultGossipFanout         = 3
	DefaultTombstoneRetention   = 5 * time.Minute
	DefaultPauseThreshold       = 500 * time.Millisecond
	DefaultSyncSettleTime       = 2 * time.Second
	DefaultSyncDatagramRate     = 64
	DefaultGatewaysPerRegion    = 2
	DefaultGatewayProbePeriod   = 2 * time.Second
	DefaultRegionSuspectTimeout = 20 * time.Second
	DefaultRegionDeadTimeout    = time.Hour
	DefaultRendezvousReadPeriod = 20 * time.Second
	DefaultRendezvousMaxAge     = time.Minute

	DefaultRendezvousStartDelay    = time.Second
	DefaultRendezvousAppendDelay   = 8 * time.Second
	DefaultRendezvousRetryInterval = 2 * time.Second
	DefaultRendezvousGracePeriod   = 5 * time.Second
	DefaultRendezvousMaxBackoff    = 30 * time.Second
	DefaultRendezvousTailEntries   = 16
	DefaultJoinRetryInterval       = 500 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	setDuration(&s.ProbePeriod, DefaultProbePeriod)
	setDuration(&s.AckTimeout, DefaultAckTimeout)
	setDuration(&s.SuspectTimeout, DefaultSuspectTimeout)
	setDuration(&s.GossipPeriod, DefaultGossipPeriod)
	setDuration(&s.TombstoneRetention, DefaultTombstoneRetention)
	setDuration(&s.PauseThreshold, DefaultPauseThreshold)
	setDuration(&s.SyncSettleTime, DefaultSyncSettleTime)
	setDuration(&s.GatewayProbePeriod, DefaultGatewayProbePeriod)
	setDuration(&s.RegionSuspectTimeout, DefaultRegionSuspectTimeout)
	setDuration(&s.RegionDeadTimeout, DefaultRegionDeadTimeout)
	setDuration(&s.RendezvousReadPeriod, DefaultRendezvousReadPeriod)
	setDuration(&s.RendezvousMaxAge, DefaultRendezvousMaxAge)
	setDuration(&s.RendezvousStartDelay, DefaultRendezvousStartDelay)
	setDuration(&s.RendezvousAppendDelay, DefaultRendezvousAppendDelay)
	setDuration(&s.RendezvousRetryInterval, DefaultRendezvousRetryInterval)
	setDuration(&s.RendezvousGracePeriod, DefaultRendezvousGracePeriod)
	setDuration(&s.RendezvousMaxBackoff, DefaultRendezvousMaxBackoff)
	setDuration(&s.JoinRetryInterval, DefaultJoinRetryInterval)
	setCount(&s.IndirectProbes, DefaultIndirectProbes)
	setCount(&s.GossipFanout, DefaultGossipFanout)
	setCount(&s.SyncDatagramRate, DefaultSyncDatagramRate)
	setCount(&s.GatewaysPerRegion, DefaultGatewaysPerRegion)
	setCount(&s.RendezvousTailEntries, DefaultRendezvousTailEntries)
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
