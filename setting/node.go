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

// Node is the section [node]: where the node runs and how it ends.
type Node struct {
	region       member.Region
	domain       member.FailureDomain
	peer         netip.AddrPort
	drainTimeout time.Duration
}

func readNode(t *tomldoc.Table) Node {
	t.Require("peer", "an IP number with a port, such as \"10.0.0.7:7100\"")
	return Node{
		region:       member.Region(requiredName(t, "region")),
		domain:       member.FailureDomain(requiredName(t, "failure_domain")),
		peer:         t.AddrPort("peer", netip.AddrPort{}),
		drainTimeout: t.Duration("drain_timeout", defaultDrainTimeout, minDrainTimeout, maxDrainTimeout),
	}
}

// Place returns the region and failure domain in which the node runs.
func (n Node) Place() member.Place { return member.NewPlace(n.region, n.domain) }

// Region returns the region in which the node runs.
func (n Node) Region() member.Region { return n.region }

// PeerAddress returns the address for other nodes, over UDP and TCP.
func (n Node) PeerAddress() netip.AddrPort { return n.peer }

// DrainTimeout returns how long calls in flight may take to end while the node drains.
func (n Node) DrainTimeout() time.Duration { return n.drainTimeout }
