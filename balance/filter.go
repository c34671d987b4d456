package balance

import (
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Filter restricts the servers of a service to which a call may go. Pools are cached by view and ID, so filters with the
// same ID must allow the same members of a view. The zero Filter allows all servers.
type Filter struct {
	id     uint64
	allows func(member.Member) bool
}

// NewFilter returns the filter that allows the members for which allows returns true. The ID must not be 0.
func NewFilter(id uint64, allows func(member.Member) bool) Filter {
	return Filter{id: id, allows: allows}
}

// Allows reports whether a call may go to the server of a member.
func (f Filter) Allows(m member.Member) bool { return f.allows == nil || f.allows(m) }

// filteredKey identifies the pool of a service under a filter.
type filteredKey struct {
	service string
	filter  uint64
}

// ChooseFiltered is like Choose, for calls that may only go to the servers that a filter allows.
func (m *Machine) ChooseFiltered(now time.Time, view *member.View, service string, f Filter, tried []member.Key) (member.Member, bool) {
	if f.allows == nil {
		return m.Choose(now, view, service, tried)
	}
	return m.choose(now, m.filteredPool(now, view, service, f), tried)
}

// filteredPool returns the servers of a service in a view that a filter allows.
func (m *Machine) filteredPool(now time.Time, view *member.View, service string, f Filter) *pool {
	g := m.generation(now, view)
	key := filteredKey{service: service, filter: f.id}
	p, ok := g.filtered[key]
	if ok {
		return p
	}
	if g.filtered == nil || len(g.filtered) >= maxFilteredPools {
		g.filtered = make(map[filteredKey]*pool)
	}
	p = m.newPool(view, service, f)
	g.filtered[key] = p
	return p
}

// maxFilteredPools bounds the pools of one view. A view may outlive several steps of a roll-out, and each has filters of
// its own.
const maxFilteredPools = 256

// ejectionPool returns the servers that are counted when a server is to be ejected: the smallest pool in use that has it. Of
// the few servers that a filter allows, most would be ejected otherwise, as a large pool permits several at a time.
func (m *Machine) ejectionPool(now time.Time, t *target) *pool {
	var smallest *pool
	for _, p := range m.generations[0].filtered {
		if (smallest == nil || p.size < smallest.size) && p.contains(t) {
			smallest = p
		}
	}
	if smallest != nil {
		return smallest
	}
	return m.pool(now, m.generations[0].view, t.member.Server().Service())
}

func (p *pool) contains(t *target) bool {
	for _, tier := range p.tiers {
		if slices.Contains(tier, t) {
			return true
		}
	}
	return false
}
