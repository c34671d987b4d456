package fleet

import (
	"net/netip"
	"time"
)

// Settings hold the contact addresses, periods and limits of the membership protocol. A field with its zero value
// takes its default.
type Settings struct {
	// Fleet is the name of the fleet. Rendezvous entries carry it, and entries of other fleets are ignored.
	Fleet string
	// Hints are addresses of nodes that are probably running. The list may be empty.
	Hints []netip.AddrPort
	// ProbePeriod is the time between the starts of two probes by a node.
	ProbePeriod time.Duration
	// AckTimeout is how long a probe waits for an ack before other members are asked to probe the target.
	AckTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe the target.
	IndirectProbes int
	// SuspectTimeout is how long a suspect member may refute the suspicion before it is declared dead. While a
	// node's own probes keep failing, it waits up to maxHealthMultiplier times as long.
	SuspectTimeout time.Duration
	// GossipPeriod is the time between two gossip rounds.
	GossipPeriod time.Duration
	// GossipFanout is the number of members that receive the claims of a gossip round.
	GossipFanout int
	// TombstoneRetention is how long claims about dead members and members that left are kept.
	TombstoneRetention time.Duration
	// PauseThreshold is the shortest gap between two calls of the machine that is treated as a pause of the node.
	PauseThreshold time.Duration
	// SyncSettleTime is how long a view must be unchanged before a difference from another view is attributed to
	// lost messages.
	SyncSettleTime time.Duration
	// SyncDatagramRate is the number of datagrams a second that may be spent on answers to view comparisons.
	SyncDatagramRate int
	// GatewaysPerRegion is the number of nodes per region that exchange messages with other regions.
	GatewaysPerRegion int
	// GatewayProbePeriod is the time between two probes of another region by a gateway.
	GatewayProbePeriod time.Duration
	// RegionSuspectTimeout is how long a region may be silent before the view shows its members as suspect.
	RegionSuspectTimeout time.Duration
	// RegionDeadTimeout is how long a region may be silent before its members are removed from the view.
	RegionDeadTimeout time.Duration
	// RendezvousReadPeriod is the mean time between two reads of the rendezvous stream by a gateway, and between
	// two contacts of a gateway with hints once it is no longer starting.
	RendezvousReadPeriod time.Duration
	// RendezvousMaxAge is the age at which the newest entry of the rendezvous stream is outdated, so that a
	// gateway appends a new one. It is also the least time between two appends of one node.
	RendezvousMaxAge time.Duration
	// RendezvousStartDelay bounds the random delay before a node's first read of the rendezvous stream. It is also
	// the smallest backoff after a failed read.
	RendezvousStartDelay time.Duration
	// RendezvousAppendDelay bounds the random delay between a read that finds no recent entry and the append of a
	// new one.
	RendezvousAppendDelay time.Duration
	// RendezvousRetryInterval is the mean time between two reads by a node that has not joined.
	RendezvousRetryInterval time.Duration
	// RendezvousGracePeriod is how long after its start a node that has not joined relies on entries written
	// before, to try their addresses, instead of appending its own.
	RendezvousGracePeriod time.Duration
	// RendezvousMaxBackoff bounds the mean time between two reads while the log fails.
	RendezvousMaxBackoff time.Duration
	// RendezvousAppendAtStart makes every node append its address to the rendezvous stream at its start, before it
	// relies on what it reads, so that of two nodes that start at the same time one finds the other.
	RendezvousAppendAtStart bool
	// RendezvousEmptyAtStart states that no node has used the rendezvous stream before, so that a node that appends its
	// address at its start need not read first.
	RendezvousEmptyAtStart bool
	// RendezvousTailEntries is the number of entries read from the end of the rendezvous stream.
	RendezvousTailEntries int
	// JoinRetryInterval is the least time between two attempts to join. A random delay of up to the same length is
	// added.
	JoinRetryInterval time.Duration
}

// Defaults of the fields of Settings.
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
