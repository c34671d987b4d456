package balance

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/member"
)

// pool returns the servers of a service, which are worked out anew with each view.
func (m *Machine) pool(now time.Time, view *member.View, service string) *pool {
	g := m.generation(now, view)
	p, ok := g.pools[service]
	if !ok {
		p = m.newPool(view, service)
		g.pools[service] = p
	}
	return p
}

func (m *Machine) generation(now time.Time, view *member.View) *generation {
	for n := range m.recent {
		if m.recent[n].view == view {
			return &m.recent[n]
		}
	}
	m.addView(now, view)
	return &m.recent[0]
}

// addView takes over the servers of a view and forgets those that are gone for two views.
func (m *Machine) addView(now time.Time, view *member.View) {
	before := m.recent[0].view
	m.recent[1] = m.recent[0]
	m.recent[0] = generation{view: view, pools: make(map[string]*pool)}
	targets := make(map[member.Key]*target, len(m.targets))
	if before != nil {
		for _, mem := range before.Members() {
			if t, ok := m.targets[mem.Key()]; ok {
				targets[mem.Key()] = t
			}
		}
	}
	m.update(now, view, targets, before == nil)
	m.targets = targets
}

// update brings the targets up to a view.
func (m *Machine) update(now time.Time, view *member.View, targets map[member.Key]*target, first bool) {
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
	}
	t.ready = ready
	t.member = mem
}

// newPool takes a subset of the servers per distance, so that connections stay few in a large fleet.
func (m *Machine) newPool(view *member.View, service string) *pool {
	p := &pool{}
	for _, mem := range view.Service(service) {
		if t := m.targets[mem.Key()]; t != nil && t.ready {
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

// subset keeps the servers with the highest rendezvous hashes, so that a change of the fleet moves few
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
