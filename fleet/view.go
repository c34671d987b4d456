package fleet

import (
	"slices"

	"github.com/bambooknot/bambooknot/member"
)

// roster lists the live members by region. It is rebuilt when the table has changed.
type roster struct {
	tableVersion uint64
	regions      []regionRoster
	live         []*entry
}

// regionRoster lists the live members of a region, ordered by address, and its gateways.
type regionRoster struct {
	region   member.Region
	members  []*entry
	gateways []*entry
}

func (m *Machine) refreshRoster() {
	if m.roster.tableVersion == m.table.version {
		return
	}
	r := roster{tableVersion: m.table.version}
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

// rankGateways returns up to n members by rank, preferring those of failure domains without a chosen member.
func rankGateways(members []*entry, n int) []*entry {
	var chosen []*entry
	for len(chosen) < min(n, len(members)) {
		var best *entry
		for _, e := range members {
			if !slices.Contains(chosen, e) && (best == nil || betterGateway(e, best, chosen)) {
				best = e
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

func betterGateway(a, b *entry, chosen []*entry) bool {
	newDomainA, newDomainB := inNewFailureDomain(a, chosen), inNewFailureDomain(b, chosen)
	if newDomainA != newDomainB {
		return newDomainA
	}
	return a.rank < b.rank
}

func inNewFailureDomain(e *entry, chosen []*entry) bool {
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

func (m *Machine) regionMembers() []*entry { return m.membersOf(m.region()) }

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

// viewCacheKey is what a view depends on. A cached view is valid while its key is unchanged.
type viewCacheKey struct {
	tableVersion uint64
	regions      []regionStatus
}

type regionStatus struct {
	region member.Region
	health member.Health
}

// regionHealth returns the best health that members of a region are shown with: suspect after RegionSuspectTimeout
// without contact with the region, dead after RegionDeadTimeout.
func (m *Machine) regionHealth(region member.Region) member.Health {
	switch silence := m.silence(region); {
	case silence >= m.settings.RegionDeadTimeout:
		return member.HealthDead
	case silence >= m.settings.RegionSuspectTimeout:
		return member.HealthSuspect
	}
	return member.HealthAlive
}

func (m *Machine) currentCacheKey() viewCacheKey {
	key := viewCacheKey{tableVersion: m.table.version}
	for _, region := range m.otherRegions() {
		key.regions = append(key.regions, regionStatus{region: region, health: m.regionHealth(region)})
	}
	return key
}

// viewIsCurrent reports whether nothing that the cached view depends on has changed.
func (m *Machine) viewIsCurrent() bool {
	if m.cachedView == nil || m.table.version != m.viewKey.tableVersion {
		return false
	}
	for _, r := range m.viewKey.regions {
		if m.regionHealth(r.region) != r.health {
			return false
		}
	}
	return true
}

// effectiveClaim returns the claim of e, with the health of its region if that is worse.
func (m *Machine) effectiveClaim(e *entry) member.Member {
	if h := m.regionHealth(e.region()); e.live() && h > e.claim.Health() {
		return e.claim.WithHealth(h)
	}
	return e.claim
}

// View returns the members that this node considers alive or suspect. It is rebuilt only after a change.
func (m *Machine) View() *member.View {
	if m.viewIsCurrent() {
		return m.cachedView
	}
	live := m.liveMembers()
	members := make([]member.Member, 0, len(live))
	for _, e := range live {
		if claim := m.effectiveClaim(e); claim.Health() <= member.HealthSuspect {
			members = append(members, claim)
		}
	}
	m.cachedView, m.viewKey = member.NewView(m.self.claim.Key(), members), m.currentCacheKey()
	return m.cachedView
}

// Members returns all members with a claim, including dead members and members that left, ordered by address.
func (m *Machine) Members() []member.Member {
	members := make([]member.Member, 0, len(m.table.entries))
	for _, e := range m.table.entries {
		members = append(members, m.effectiveClaim(e))
	}
	return members
}
