package setting

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/tomldoc"
)

// Default and bounds of the drain timeout.
const (
	defaultDrainTimeout = 30 * time.Second
	minDrainTimeout     = 100 * time.Millisecond
	maxDrainTimeout     = 10 * time.Minute
)

// Node is the section [node]: the place and peer address of the node, and its drain timeout.
type Node struct {
	region        member.Region
	failureDomain member.FailureDomain
	peerAddress   netip.AddrPort
	drainTimeout  time.Duration
}

func readNode(t *tomldoc.Table) Node {
	t.Require("peer", "an IP number with a port, such as \"10.0.0.7:7100\"")
	return Node{
		region:        member.Region(requiredName(t, "region")),
		failureDomain: member.FailureDomain(requiredName(t, "failure_domain")),
		peerAddress:   t.AddrPort("peer", netip.AddrPort{}),
		drainTimeout:  t.Duration("drain_timeout", defaultDrainTimeout, minDrainTimeout, maxDrainTimeout),
	}
}

// Place returns the region and failure domain in which the node runs.
func (n Node) Place() member.Place { return member.NewPlace(n.region, n.failureDomain) }

// Region returns the region in which the node runs.
func (n Node) Region() member.Region { return n.region }

// PeerAddress returns the address for messages and calls of other nodes, over UDP and TCP.
func (n Node) PeerAddress() netip.AddrPort { return n.peerAddress }

// DrainTimeout returns the maximum time for calls in flight to finish while the node drains.
func (n Node) DrainTimeout() time.Duration { return n.drainTimeout }
