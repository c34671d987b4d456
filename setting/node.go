package setting

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/tomldoc"
)

// Defaults and bounds of the stage timeouts.
const (
	defaultJoinTimeout  = 30 * time.Second
	defaultDrainTimeout = 30 * time.Second
	defaultLeaveTimeout = 2 * time.Second
	minStageTimeout     = 100 * time.Millisecond
	maxStageTimeout     = 10 * time.Minute
)

// Node is the section [node]: where the node runs and how long the stages of its life may take.
type Node struct {
	region       member.Region
	domain       member.FailureDomain
	peer         netip.AddrPort
	joinTimeout  time.Duration
	drainTimeout time.Duration
	leaveTimeout time.Duration
}

func readNode(t *tomldoc.Table) Node {
	t.Require("peer", "an IP number with a port, such as \"10.0.0.7:7100\"")
	return Node{
		region:       member.Region(requiredName(t, "region")),
		domain:       member.FailureDomain(requiredName(t, "failure_domain")),
		peer:         t.AddrPort("peer", netip.AddrPort{}),
		joinTimeout:  t.Duration("join_timeout", defaultJoinTimeout, minStageTimeout, maxStageTimeout),
		drainTimeout: t.Duration("drain_timeout", defaultDrainTimeout, minStageTimeout, maxStageTimeout),
		leaveTimeout: t.Duration("leave_timeout", defaultLeaveTimeout, minStageTimeout, maxStageTimeout),
	}
}

// Place returns the region and failure domain in which the node runs.
func (n Node) Place() member.Place { return member.NewPlace(n.region, n.domain) }

// Region returns the region in which the node runs.
func (n Node) Region() member.Region { return n.region }

// FailureDomain returns the failure domain in which the node runs.
func (n Node) FailureDomain() member.FailureDomain { return n.domain }

// Peer returns the address for other nodes, over UDP and TCP.
func (n Node) Peer() netip.AddrPort { return n.peer }

// JoinTimeout returns how long the node may take to hold a configuration before it reports a fault.
func (n Node) JoinTimeout() time.Duration { return n.joinTimeout }

// DrainTimeout returns how long calls in flight may take to end while the node drains.
func (n Node) DrainTimeout() time.Duration { return n.drainTimeout }

// LeaveTimeout returns how long the node may take to tell others that it leaves.
func (n Node) LeaveTimeout() time.Duration { return n.leaveTimeout }
