package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Bridge gives up the entries between the head and first, the end of the gap that the status shows, and calls done
// exactly once. The checkpoint that it appends changes this node, too, only when it comes back from the log.
// done runs within a call of the Core.
func (c *Core) Bridge(now time.Time, first record.Offset, done func(message.BridgeReceipt)) []message.Action {
	return c.relay.Bridge(now, first, c.isMember, done)
}

func (c *Core) isMember(peer netip.AddrPort) bool {
	return slices.ContainsFunc(c.fleet.Members(), func(m member.Member) bool {
		return m.Key().Peer() == peer && m.Health() != member.HealthLeft
	})
}
