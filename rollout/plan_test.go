package rollout

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
)

// fleetOf returns a view with that many servers of version v1 and of v2.
func fleetOf(old, target int) *member.View {
	s := &sim{}
	for i := range old + target {
		s.addMember(i, map[bool]string{true: "v1", false: "v2"}[i < old])
	}
	return member.NewView(s.members[0].Key(), s.members)
}

func running(share, servers int) Decision {
	return NewDecision(DecisionFields{Service: "s", Target: "v2", Base: "v1", Order: 1, Sequence: 1, Phase: PhaseCanary, Share: share, Servers: servers})
}

func never(string) bool { return false }

// allowed returns the numbers of servers that may get requests of either side.
func allowed(plan *Plan, view *member.View) (base, target int) {
	for _, m := range view.Members() {
		if plan.Allows(m, SideBase) {
			base++
		}
		if plan.Allows(m, SideTarget) {
			target++
		}
	}
	return base, target
}

// A node must send nothing to a version without an order, nor to one whose decider it has not heard of for 3 s.
func TestPlanSendsOnlyWhatIsOrdered(t *testing.T) {
	now, view, record, p := simStart, fleetOf(20, 20), NewRecord(), NewPlanner()
	plan := p.Update(now, fleetOf(20, 0), record, never).Service("s")
	plan = p.Update(now.Add(baseSettlePeriod), view, record, never).Service("s")
	base, target := allowed(plan, view)
	qt.Check(t, []int{base, target, plan.Share(now)}, qt.DeepEquals, []int{20, 0, 0})

	record.Merge(now, running(70, 3))
	record.Confirm(now, "s", 1)
	plan = p.Update(now, view, record, never).Service("s")
	base, target = allowed(plan, view)
	qt.Check(t, []int{base, target, plan.Share(now)}, qt.DeepEquals, []int{20, 3, 70})
	qt.Check(t, plan.Share(now.Add(TrustPeriod)), qt.Equals, 0)
	record.Confirm(now.Add(time.Second), "s", 1)
	qt.Check(t, p.Update(now, view, record, never).Service("s").Share(now.Add(TrustPeriod)), qt.Equals, 70)
	stopped := func(string) bool { return true }
	qt.Check(t, p.Update(now, view, record, stopped).Service("s").Share(now), qt.Equals, 0)

	record.Merge(now, running(70, 3).WithHalt("bad"))
	qt.Check(t, p.Update(now, view, record, never).Service("s").Share(now), qt.Equals, 0)
	qt.Check(t, record.Merge(now, running(70, 3)), qt.IsFalse)
}

// If all servers of the base version are gone, requests must not be refused for ever.
func TestBaseVersionMovesWhenItsServersAreGone(t *testing.T) {
	p, record := NewPlanner(), NewRecord()
	p.Update(simStart, fleetOf(3, 0), record, never)
	now := simStart.Add(time.Minute)
	p.Update(now, fleetOf(3, 5), record, never)
	view := fleetOf(0, 5)
	qt.Check(t, p.Update(now, view, record, never).Service("s").Base(), qt.Equals, "v1")
	qt.Check(t, p.Update(now.Add(baseAbsencePeriod), view, record, never).Service("s").Base(), qt.Equals, "v2")
}

// Few requests of a rare route at one node must still reach the target version in the decided share.
func TestChooserIsEven(t *testing.T) {
	now, record, p := simStart, NewRecord(), NewPlanner()
	record.Merge(now, running(70, 0))
	record.Confirm(now, "s", 1)
	plan := p.Update(now, fleetOf(20, 20), record, never).Service("s")
	c := NewChooser(func() float64 { return 0.5 })
	n := 0
	for range 100 {
		n += int(c.Choose(now, "s", "a", plan))
	}
	qt.Check(t, n, qt.Equals, 7)
}

// A node whose own requests fail at the target version must stop it, but not for one faulty server or a fault of both.
func TestGuard(t *testing.T) {
	for _, test := range []struct {
		name    string
		base    int // failures of 100
		cohorts [Cohorts]int
		stopped bool
	}{
		{"bad", 0, [Cohorts]int{40, 40, 40}, true},
		{"one server", 0, [Cohorts]int{90, 0, 0}, false},
		{"both versions", 50, [Cohorts]int{50, 50, 50}, false},
	} {
		g, c := NewGuard(), NewCounter("s", 1)
		for step := range 40 {
			for i := range 100 {
				c.End("a", SideBase, 0, i < test.base, time.Millisecond)
				if i%5 == 0 {
					c.End("a", SideTarget, i%Cohorts, i < test.cohorts[i%Cohorts], time.Millisecond)
				}
			}
			g.Observe(simStart.Add(time.Duration(step)*250*time.Millisecond), c.Counts(1, false))
		}
		qt.Check(t, g.Stopped("s"), qt.Equals, test.stopped, qt.Commentf(test.name))
	}
}

// BenchmarkChoose measures a request's decision: its side, and whether each of two servers may get it.
func BenchmarkChoose(b *testing.B) {
	now, record, view := simStart, NewRecord(), fleetOf(290, 290)
	record.Merge(now, running(70, 20))
	record.Confirm(now, "s", 1)
	plans := NewPlanner().Update(now, view, record, never)
	c := NewChooser(func() float64 { return 0.5 })
	b.ReportAllocs()
	for i := range b.N {
		plan := plans.Service("s")
		side := c.Choose(now, "s", "a", plan)
		plan.Allows(view.Members()[i%580], side)
		plan.Allows(view.Members()[(i+300)%580], side)
	}
}

// BenchmarkUpdate measures the planner at the greatest size, at a tick without a change and after a contact.
func BenchmarkUpdate(b *testing.B) {
	for _, contact := range []bool{false, true} {
		b.Run("contact="+strconv.FormatBool(contact), func(b *testing.B) {
			now, record, view, p := simStart, NewRecord(), fleetOf(290, 290), NewPlanner()
			record.Merge(now, running(70, 20))
			b.ReportAllocs()
			for range b.N {
				now = now.Add(time.Millisecond)
				if contact {
					record.Confirm(now, "s", 1)
				}
				p.Update(now, view, record, never)
			}
		})
	}
}

// BenchmarkObserve measures the decider's work on the report of one of 580 nodes.
func BenchmarkObserve(b *testing.B) {
	j, c, view := NewJudge(), NewCounter("s", 1), fleetOf(290, 290)
	for i := range 4000 {
		c.End(simRoutes[i%4].name, Side(i%2), i%Cohorts, false, time.Duration(i)*time.Millisecond/40)
	}
	counts := c.Counts(1, false)
	b.ReportAllocs()
	for i := range b.N {
		j.Observe(simStart.Add(time.Duration(i)*3*time.Millisecond), view.Members()[i%580].Key(), counts)
	}
}
