package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Bridge abandons the log entries between the head of this node and gapEnd, the end of the gap in Status, by appending
// a checkpoint. This node, like the others, applies the checkpoint only when it reads it from the log. Bridge calls
// done exactly once, within a call of a method of the Core.
func (c *Core) Bridge(now time.Time, gapEnd record.Offset, done func(message.BridgeReceipt)) []message.Action {
	return c.relay.Bridge(now, gapEnd, c.isMember, done)
}

// isMember reports whether the peer is a member, dead or alive, that has not left.
func (c *Core) isMember(peer netip.AddrPort) bool {
	return slices.ContainsFunc(c.fleet.Members(), func(m member.Member) bool {
		return m.Key().Peer() == peer && m.Health() != member.HealthLeft
	})
}
