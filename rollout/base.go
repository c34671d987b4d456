package rollout

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

const (
	// baseSettlePeriod is the time after a service was first seen in which the base version follows the version with most
	// servers, since a starting node learns of the members one after the other.
	baseSettlePeriod = 2 * time.Second
	// baseAbsencePeriod is the time without any server of the base version after which another one takes its place.
	baseAbsencePeriod = 10 * time.Second
)

// baseVersion is the version of a service that requests go to without a decision.
type baseVersion struct {
	version     string
	sequence    uint64 // of the decision that the version was taken from
	firstSeenAt time.Time
	lastSeenAt  time.Time // last time that a server of the version was known
	absent      bool      // no server of the version is known
}

// update returns the base version given the members of the service and the decision, which is zero if there is none.
func (b baseVersion) update(now time.Time, members []member.Member, d Decision) baseVersion {
	if b.firstSeenAt.IsZero() {
		b.firstSeenAt, b.lastSeenAt = now, now
	}
	if d.Sequence() > b.sequence {
		b.version, b.sequence, b.lastSeenAt = d.nextBase(), d.Sequence(), now
	}
	if ruled := d.nextBase(); ruled != "" && b.version != ruled && countVersion(members, ruled) > 0 {
		b.version, b.lastSeenAt = ruled, now
	}
	absent := countVersion(members, b.version) == 0
	if !absent || !b.absent {
		b.lastSeenAt = now
	}
	b.absent = absent
	settling := b.sequence == 0 && now.Sub(b.firstSeenAt) < baseSettlePeriod
	if b.version == "" || settling || now.Sub(b.lastSeenAt) >= baseAbsencePeriod {
		if most := commonVersion(members, b.version); most != "" {
			b.version, b.lastSeenAt, b.absent = most, now, false
		}
	}
	return b
}

// expected reports whether the version may change although members and decision stay.
func (b baseVersion) expected(now time.Time) bool {
	return b.absent || b.sequence == 0 && now.Sub(b.firstSeenAt) < baseSettlePeriod
}

func countVersion(members []member.Member, version string) int {
	n := 0
	for _, m := range members {
		if s := m.Server(); s.Version() == version && s.State() != member.ServerNone {
			n++
		}
	}
	return n
}

// commonVersion returns the known version with most servers. Of several with as many it prefers the current one.
func commonVersion(members []member.Member, current string) string {
	counts := make(map[string]int)
	for _, m := range members {
		if s := m.Server(); s.Version() != "" && s.State() != member.ServerNone {
			counts[s.Version()]++
		}
	}
	best := current
	for version, n := range counts {
		if n > counts[best] || n == counts[best] && best != current && version < best {
			best = version
		}
	}
	if counts[best] == 0 {
		return ""
	}
	return best
}
