package balance

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
)

// TestFilteredServersAreFoundAndKept guards against filters that apply after the subset, so that no server is left, and against
// ejecting all servers that a filter allows.
func TestFilteredServersAreFoundAndKept(t *testing.T) {
	m := newMachine()
	var members []member.Member
	for n := range 64 {
		members = append(members, ready(n+1, here))
	}
	view := viewOf(members...)
	few := NewFilter(1, func(mem member.Member) bool { return few(mem.Key()) })
	chosen := make(map[member.Key]int)
	for range 300 {
		got, ok := m.ChooseFiltered(start, view, "orders", few, nil)
		qt.Assert(t, ok && few.Allows(got), qt.IsTrue)
		m.RecordStart(got.Key())
		m.RecordEnd(start, got.Key(), ResultFailed)
		chosen[got.Key()]++
	}
	qt.Check(t, chosen, qt.HasLen, 3)
	for key, n := range chosen {
		qt.Check(t, n < 200, qt.IsTrue, qt.Commentf("%v: %d of 300", key, n))
	}
	got, _ := m.Choose(start, view, "orders", nil)
	qt.Check(t, got.Key(), qt.Not(qt.Equals), member.Key{})
}

func few(k member.Key) bool { return k == key(1) || k == key(2) || k == key(3) }
