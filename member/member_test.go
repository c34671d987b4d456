package member_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
)

func TestOverridesOrdersClaims(t *testing.T) {
	claim := func(inc member.Incarnation, revision uint64, h member.Health) member.Member {
		key := member.NewKey(netip.MustParseAddrPort("10.0.0.1:7946"), inc)
		return member.New(key, member.NewPlace("east", "east-1"), 1).WithRevision(revision).WithHealth(h)
	}
	ascending := []member.Member{
		claim(1, 1, member.HealthAlive), claim(1, 1, member.HealthSuspect), claim(1, 1, member.HealthDead),
		claim(1, 2, member.HealthAlive), claim(1, 2, member.HealthDead),
		claim(1, 1, member.HealthLeft), claim(1, 2, member.HealthLeft),
		claim(2, 0, member.HealthAlive), claim(2, 0, member.HealthLeft),
	}
	for i, a := range ascending {
		for j, b := range ascending {
			qt.Assert(t, a.Overrides(b), qt.Equals, i > j, qt.Commentf("%d %d", i, j))
		}
	}
}
