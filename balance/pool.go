package balance

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/member"
)

// pool returns the servers of a service in a view. Each view has its own pools, created on first use.
func (m *Machine) pool(now time.Time, view *member.View, service string) *pool {
	g := m.generation(now, view)
	p, ok := g.pools[service]
	if !ok {
		p = m.newPool(view, service, Filter{})
		g.pools[service] = p
	}
	return p
}

func (m *Machine) generation(now time.Time, view *member.View) *generation {
	for n := range m.generations {
		if m.generations[n].view == view {
			return &m.generations[n]
		}
	}
	m.addView(now, view)
	return &m.generations[0]
}

// addView makes a view the newest one. Targets of the previous view are kept, as calls in flight may use them.
func (m *Machine) addView(now time.Time, view *member.View) {
	previous := m.generations[0].view
	m.generations[1] = m.generations[0]
	m.generations[0] = generation{view: view, pools: make(map[string]*pool)}
	targets := make(map[member.Key]*target, len(m.targets))
	if previous != nil {
		for _, mem := range previous.Members() {
			if t, ok := m.targets[mem.Key()]; ok {
				targets[mem.Key()] = t
			}
		}
	}
	m.updateTargets(now, view, targets, previous == nil)
	m.targets = targets
}

// updateTargets creates and updates the targets of a view. Servers that are ready in the first view of the machine skip
// slow start.
func (m *Machine) updateTargets(now time.Time, view *member.View, targets map[member.Key]*target, first bool) {
	for _, mem := range view.Members() {
		if mem.Server().Service() == "" {
			continue
		}
		t, ok := m.targets[mem.Key()]
		if !ok {
			t = &target{rank: m.rank(mem.Key())}
		}
		t.update(now, mem, first)
		targets[mem.Key()] = t
	}
}

func (t *target) update(now time.Time, mem member.Member, first bool) {
	ready := mem.Server().State() == member.ServerReady && mem.Health() <= member.HealthSuspect
	if ready && !t.ready && !first {
		t.readySince = now
		t.drainBackoffUntil, t.ejectedUntil, t.unreachableUntil = time.Time{}, time.Time{}, time.Time{} // what was seen before concerns the server's last process
	}
	t.ready = ready
	t.member = mem
}

// newPool selects a subset of the ready servers per distance that a filter allows, which bounds the number of connections
// in a large fleet.
func (m *Machine) newPool(view *member.View, service string, f Filter) *pool {
	p := &pool{}
	for _, mem := range view.Service(service) {
		if t := m.targets[mem.Key()]; t != nil && t.ready && f.Allows(mem) {
			d := m.distance(mem.Place())
			p.tiers[d] = append(p.tiers[d], t)
		}
	}
	for d := range p.tiers {
		p.tiers[d] = m.subset(p.tiers[d])
		p.size += len(p.tiers[d])
	}
	return p
}

// subset returns the servers with the highest rendezvous hashes, so that a change of the fleet moves few
// connections.
func (m *Machine) subset(tier []*target) []*target {
	if len(tier) <= m.settings.SubsetSize {
		return tier
	}
	slices.SortFunc(tier, func(a, b *target) int {
		return cmp.Compare(b.rank, a.rank)
	})
	return tier[:m.settings.SubsetSize]
}

func (m *Machine) rank(key member.Key) uint64 {
	buf := make([]byte, 0, 64)
	buf = appendKey(buf, m.self)
	buf = appendKey(buf, key)
	return xxhash.Sum64(buf)
}

func appendKey(buf []byte, key member.Key) []byte {
	addr := key.Peer().Addr().As16()
	buf = append(buf, addr[:]...)
	buf = binary.BigEndian.AppendUint16(buf, key.Peer().Port())
	return binary.BigEndian.AppendUint64(buf, uint64(key.Incarnation()))
}

func (m *Machine) distance(place member.Place) distance {
	switch {
	case place == m.place:
		return sameDomain
	case place.Region() == m.place.Region():
		return sameRegion
	}
	return otherRegion
}
