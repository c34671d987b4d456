package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/member"
)

// selectServers returns the servers of the target version in use, with their cohorts: the first n ready ones by a hash of
// their peer addresses, or all if n is 0. Nodes with the same view select the same ones.
func selectServers(members []member.Member, target string, n int) map[member.Key]uint8 {
	type ranked struct {
		key  member.Key
		hash uint64
	}
	var servers []ranked
	for _, m := range members {
		if usable(m, target) {
			data, _ := m.Key().Peer().MarshalBinary() // never fails
			servers = append(servers, ranked{m.Key(), xxhash.Sum64(append(data, target...))})
		}
	}
	slices.SortFunc(servers, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	if n > 0 {
		servers = servers[:min(n, len(servers))]
	}
	selected := make(map[member.Key]uint8, len(servers))
	for i, s := range servers {
		selected[s.key] = uint8(i % Cohorts)
	}
	return selected
}

// usable reports whether the member's server has a version and takes requests.
func usable(m member.Member, version string) bool {
	return m.Health() == member.HealthAlive && m.Server().State() == member.ServerReady && m.Server().Version() == version
}

func countUsable(members []member.Member, version string) int {
	n := 0
	for _, m := range members {
		if usable(m, version) {
			n++
		}
	}
	return n
}
