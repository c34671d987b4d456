package fleet

import (
	"slices"

	"github.com/bambooknot/bambooknot/member"
)

// roster lists live members by region. It is made anew when the table has changed.
type roster struct {
	version uint64
	regions []regionRoster
	live    []*entry
}

// regionRoster lists the live members of a region, ordered by address, and its gateways.
type regionRoster struct {
	region   member.Region
	members  []*entry
	gateways []*entry
}

func (m *Machine) refreshRoster() {
	if m.roster.version == m.table.version {
		return
	}
	r := roster{version: m.table.version}
	for _, e := range m.table.entries {
		if !e.live() {
			continue
		}
		r.live = append(r.live, e)
		i := slices.IndexFunc(r.regions, func(x regionRoster) bool { return x.region == e.region() })
		if i < 0 {
			i = len(r.regions)
			r.regions = append(r.regions, regionRoster{region: e.region()})
		}
		r.regions[i].members = append(r.regions[i].members, e)
	}
	for i := range r.regions {
		r.regions[i].gateways = rankGateways(r.regions[i].members, m.settings.GatewaysPerRegion)
	}
	m.roster = r
}

// rankGateways returns up to n members by rank, those of failure domains not yet taken first.
func rankGateways(members []*entry, n int) []*entry {
	var chosen []*entry
	for len(chosen) < min(n, len(members)) {
		var best *entry
		for _, e := range members {
			if !slices.Contains(chosen, e) && (best == nil || better(e, best, chosen)) {
				best = e
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

func better(a, b *entry, chosen []*entry) bool {
	freshA, freshB := freshDomain(a, chosen), freshDomain(b, chosen)
	if freshA != freshB {
		return freshA
	}
	return a.rank < b.rank
}

func freshDomain(e *entry, chosen []*entry) bool {
	return !slices.ContainsFunc(chosen, func(c *entry) bool {
		return c.claim.Place().FailureDomain() == e.claim.Place().FailureDomain()
	})
}

func (m *Machine) rosterOf(region member.Region) regionRoster {
	m.refreshRoster()
	for _, r := range m.roster.regions {
		if r.region == region {
			return r
		}
	}
	return regionRoster{region: region}
}

func (m *Machine) membersOf(region member.Region) []*entry { return m.rosterOf(region).members }

func (m *Machine) regional() []*entry { return m.membersOf(m.region()) }

func (m *Machine) liveMembers() []*entry {
	m.refreshRoster()
	return m.roster.live
}

func (m *Machine) otherRegions() []member.Region {
	m.refreshRoster()
	var regions []member.Region
	for _, r := range m.roster.regions {
		if r.region != m.region() {
			regions = append(regions, r.region)
		}
	}
	return regions
}

// viewMark tells whether a cached view still holds.
type viewMark struct {
	version uint64
	marks   []regionMark
}

type regionMark struct {
	region member.Region
	health member.Health
}

// regionHealth returns how members of a region appear that are held alive: as they are, suspect while
// nothing is heard from the region, dead when that has lasted too long.
func (m *Machine) regionHealth(region member.Region) member.Health {
	switch silence := m.silence(region); {
	case silence >= m.settings.RegionDeadTimeout:
		return member.HealthDead
	case silence >= m.settings.RegionSuspectTimeout:
		return member.HealthSuspect
	}
	return member.HealthAlive
}

func (m *Machine) mark() viewMark {
	mark := viewMark{version: m.table.version}
	for _, region := range m.otherRegions() {
		mark.marks = append(mark.marks, regionMark{region: region, health: m.regionHealth(region)})
	}
	return mark
}

// seen returns a claim as this node sees it, its contact with the region considered.
func (m *Machine) seen(e *entry) member.Member {
	if h := m.regionHealth(e.region()); e.live() && h > e.claim.Health() {
		return e.claim.WithHealth(h)
	}
	return e.claim
}

// View returns the members believed in. It is made anew only when something has changed.
func (m *Machine) View() *member.View {
	mark := m.mark()
	if m.view != nil && mark.version == m.viewMark.version && slices.Equal(mark.marks, m.viewMark.marks) {
		return m.view
	}
	live := m.liveMembers()
	members := make([]member.Member, 0, len(live))
	for _, e := range live {
		if s := m.seen(e); s.Health() <= member.HealthSuspect {
			members = append(members, s)
		}
	}
	m.view, m.viewMark = member.NewView(m.self.claim.Key(), members), mark
	return m.view
}

// Members returns all members that claims are held of, dead and left ones included, by address.
func (m *Machine) Members() []member.Member {
	members := make([]member.Member, 0, len(m.table.entries))
	for _, e := range m.table.entries {
		members = append(members, m.seen(e))
	}
	return members
}
