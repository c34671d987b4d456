package member

import (
	"net/netip"
	"slices"
)

// View is an immutable snapshot of the fleet as one node knows it, the node itself included. It contains alive
// and suspect nodes, but no dead nodes and none that left.
type View struct {
	self     Key
	members  []Member
	byPeer   map[netip.AddrPort]int
	services map[string][]Member
}

// NewView returns the view of the node self. It keeps and sorts members.
func NewView(self Key, members []Member) *View {
	slices.SortFunc(members, func(a, b Member) int { return a.key.peer.Compare(b.key.peer) })
	v := &View{self: self, members: members, byPeer: make(map[netip.AddrPort]int, len(members)), services: make(map[string][]Member)}
	for i, m := range members {
		v.byPeer[m.key.peer] = i
		if name := m.server.service; name != "" {
			v.services[name] = append(v.services[name], m)
		}
	}
	return v
}

// Self returns the key of the node whose view this is.
func (v *View) Self() Key { return v.self }

// Members returns all members, ordered by address. The slice must not be changed.
func (v *View) Members() []Member { return v.members }

// Member returns the member at a peer address.
func (v *View) Member(peer netip.AddrPort) (Member, bool) {
	i, ok := v.byPeer[peer]
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Service returns the members whose backend servers belong to a service, in any state, ordered by
// address. The slice must not be changed.
func (v *View) Service(name string) []Member { return v.services[name] }
