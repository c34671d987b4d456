package member

import (
	"net/netip"
	"slices"
	"sync"
)

// View is an immutable snapshot of the fleet as one node knows it, the node itself included. It contains alive
// and suspect nodes, but no dead nodes and none that left.
type View struct {
	self     Key
	members  []Member
	services func() map[string][]Member // computed on first use, as many views are replaced before any request needs one
}

// NewView returns the view of the node self. It keeps and sorts members.
func NewView(self Key, members []Member) *View {
	slices.SortFunc(members, func(a, b Member) int { return a.key.peer.Compare(b.key.peer) })
	return &View{self: self, members: members, services: sync.OnceValue(func() map[string][]Member { return byService(members) })}
}

func byService(members []Member) map[string][]Member {
	services := make(map[string][]Member)
	for i := range members {
		if name := members[i].server.service; name != "" {
			services[name] = append(services[name], members[i])
		}
	}
	return services
}

// Self returns the key of the node whose view this is.
func (v *View) Self() Key { return v.self }

// Members returns all members, ordered by address. The slice must not be changed.
func (v *View) Members() []Member { return v.members }

// Member returns the member at a peer address.
func (v *View) Member(peer netip.AddrPort) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, peer, func(m Member, p netip.AddrPort) int { return m.key.peer.Compare(p) })
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Service returns the members whose backend servers belong to a service, in any state, ordered by
// address. The slice must not be changed.
func (v *View) Service(name string) []Member { return v.services()[name] }
