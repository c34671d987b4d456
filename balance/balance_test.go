package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

func init() {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	start = time.Unix(1000, 0)
	here  = member.NewPlace("west", "w1")
	near  = member.NewPlace("west", "w2")
	far   = member.NewPlace("south", "s1")
	self  = key(0)
)

func key(n int) member.Key {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)})
	return member.NewKey(netip.AddrPortFrom(addr, 7000), 1)
}

// ready returns a member with a ready server of 4 slots.
func ready(n int, place member.Place) member.Member {
	return member.New(key(n), place, record.SchemaNewest).WithServer(member.NewServer("orders", member.ServerReady, 4))
}

func viewOf(members ...member.Member) *member.View { return member.NewView(self, members) }

func newMachine() *Machine {
	return New(Settings{}, self, here, rand.New(rand.NewPCG(1, 2)))
}

// startCalls starts calls that do not end and returns their number per server.
func startCalls(m *Machine, now time.Time, view *member.View, calls int) map[member.Key]int {
	counts := make(map[member.Key]int)
	for range calls {
		if got, ok := m.Choose(now, view, "orders", nil); ok {
			m.RecordStart(got.Key())
			counts[got.Key()]++
		}
	}
	return counts
}

func TestNearestServersGoFirst(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	view := viewOf(ready(1, here), ready(2, near), ready(3, far))
	c.Assert(startCalls(m, start, view, 4), qt.DeepEquals, map[member.Key]int{key(1): 4})
	c.Assert(startCalls(m, start, view, 4), qt.DeepEquals, map[member.Key]int{key(2): 4}, qt.Commentf("the nearest server is full"))
	c.Assert(startCalls(m, start, view, 8), qt.DeepEquals, map[member.Key]int{key(1): 4, key(2): 4}, qt.Commentf("queueing in the own region precedes crossing to the other"))
	c.Assert(startCalls(m, start, view, 4), qt.DeepEquals, map[member.Key]int{key(3): 4}, qt.Commentf("the own region is saturated"))
	c.Assert(startCalls(m, start, view, 2), qt.DeepEquals, map[member.Key]int{key(1): 1, key(2): 1}, qt.Commentf("all servers are full"))
}

func TestReportedLoadIsUsed(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	view := viewOf(ready(1, here), ready(2, near))
	startCalls(m, start, view, 1)
	m.RecordLoad(start, key(1), NewLoad(4, 3))
	m.RecordEnd(start, key(1), ResultAnswered)
	c.Assert(startCalls(m, start, view, 1), qt.DeepEquals, map[member.Key]int{key(2): 1})
	later := start.Add(loadMaxAge)
	c.Assert(startCalls(m, later, view, 1), qt.DeepEquals, map[member.Key]int{key(1): 1}, qt.Commentf("the reported load has expired"))
}

func TestExpectedCallsAreSpread(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	view := viewOf(ready(1, here), ready(2, here))
	counts := make(map[member.Key]int)
	for range 40 {
		got, _ := m.Choose(start, view, "orders", nil)
		m.RecordExpected(start, got.Key())
		counts[got.Key()]++
	}
	c.Assert(counts, qt.DeepEquals, map[member.Key]int{key(1): 20, key(2): 20})
}

func TestDrainingAndRefusingServersAreAvoided(t *testing.T) {
	c := qt.New(t)
	for _, result := range []Result{ResultDraining, ResultRefused} {
		m := newMachine()
		view := viewOf(ready(1, here), ready(2, near))
		startCalls(m, start, view, 1)
		m.RecordEnd(start, key(1), result)
		c.Assert(startCalls(m, start, view, 2), qt.DeepEquals, map[member.Key]int{key(2): 2})
		later := start.Add(drainBackoff)
		c.Assert(startCalls(m, later, view, 1), qt.DeepEquals, map[member.Key]int{key(1): 1})
	}
}

func TestSlowStart(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	old := []member.Member{ready(1, here), ready(2, here), ready(3, here)}
	startCalls(m, start, viewOf(old...), 1)
	view := viewOf(append(old, ready(4, here))...)
	share := func(now time.Time) int {
		count := 0
		for range 1000 {
			got, _ := m.Choose(now, view, "orders", nil)
			if got.Key() == key(4) {
				count++
			}
		}
		return count
	}
	fresh := share(start)
	warm := share(start.Add(DefaultSlowStart))
	c.Assert(fresh < 100, qt.IsTrue, qt.Commentf("%d of 1000", fresh))
	c.Assert(warm > 200, qt.IsTrue, qt.Commentf("%d of 1000", warm))
}

func TestSubsetLimitsConnections(t *testing.T) {
	c := qt.New(t)
	var members []member.Member
	places := []member.Place{here, near, far}
	for n := range 580 {
		members = append(members, ready(n+1, places[n%3]))
	}
	view := viewOf(members...)
	m := newMachine()
	c.Assert(m.TargetCount(start, view, "orders"), qt.Equals, 3*DefaultSubsetSize)
	before := m.pool(start, view, "orders").tiers[sameDomain]
	gone := before[0].member.Key()
	var rest []member.Member
	for _, mem := range members {
		if mem.Key() != gone {
			rest = append(rest, mem)
		}
	}
	after := m.pool(start, viewOf(rest...), "orders").tiers[sameDomain]
	for n, t := range before[1:] {
		c.Assert(after[n].member.Key(), qt.Equals, t.member.Key(), qt.Commentf("removing one server moves only one connection"))
	}
}

// ejectionModel drives a machine with random failures and checks the limit on ejected servers.
type ejectionModel struct {
	draw    func(n int) int
	machine *Machine
	now     time.Time
	view    *member.View
	size    int
}

func newEjectionModel(draw func(n int) int) *ejectionModel {
	m := &ejectionModel{draw: draw, machine: newMachine(), now: start}
	m.size = 1 + draw(7)
	var members []member.Member
	for n := range m.size {
		members = append(members, ready(n+1, []member.Place{here, near, far}[draw(3)]))
	}
	m.view = viewOf(members...)
	return m
}

func (m *ejectionModel) run(steps int) error {
	for range steps {
		got, ok := m.machine.Choose(m.now, m.view, "orders", nil)
		if !ok {
			return fmt.Errorf("no server to choose among %d", m.size)
		}
		m.machine.RecordStart(got.Key())
		if m.draw(4) == 0 {
			m.machine.RecordEnd(m.now, got.Key(), ResultAnswered)
		} else {
			m.machine.RecordEnd(m.now, got.Key(), ResultFailed)
		}
		m.now = m.now.Add(time.Duration(m.draw(100)) * time.Millisecond)
		ejected := 0
		for _, t := range m.machine.targets {
			if m.now.Before(t.ejectedUntil) {
				ejected++
			}
		}
		if ejected > max(m.size/3, 1) || ejected >= m.size {
			return fmt.Errorf("%d of %d servers are ejected", ejected, m.size)
		}
	}
	return nil
}

func TestEjectionKeepsServersInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEjectionModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		if err := m.run(200); err != nil {
			t.Fatal(err)
		}
	})
}

func TestEjectionModelDetectsMissingCap(t *testing.T) {
	for seed := range uint64(200) {
		m := newEjectionModel(rand.New(rand.NewPCG(seed, 1)).IntN)
		m.machine.ejectionAllowed = func(*pool, time.Time) bool { return true }
		if m.run(200) != nil {
			return
		}
	}
	t.Fatal("no seed detects the missing cap")
}

func TestEjectedServerReturns(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	view := viewOf(ready(1, here), ready(2, near))
	for range DefaultEjectionFailures {
		startCalls(m, start, view, 1)
		m.RecordEnd(start, key(1), ResultFailed)
	}
	c.Assert(startCalls(m, start, view, 1), qt.DeepEquals, map[member.Key]int{key(2): 1})
	got, _ := m.Choose(start, view, "orders", []member.Key{key(2)})
	c.Assert(got.Key(), qt.Equals, key(1), qt.Commentf("an ejected server is used if there is no other"))
	c.Assert(startCalls(m, start.Add(DefaultBaseEjectionTime), view, 1), qt.DeepEquals, map[member.Key]int{key(1): 1})
}

func TestPreviousViewKeepsTargets(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	old := viewOf(ready(1, here), ready(2, here))
	startCalls(m, start, old, 4)
	m.RecordStart(key(1))
	fresh := viewOf(ready(1, here), ready(3, here))
	m.Choose(start, fresh, "orders", nil)
	inFlight := m.targets[key(1)].inFlight
	m.Choose(start, old, "orders", nil)
	m.Choose(start, fresh, "orders", nil)
	c.Assert(m.targets[key(1)].inFlight, qt.Equals, inFlight)
	c.Assert(m.targets[key(3)].readySince, qt.Equals, start)
	m.Choose(start, viewOf(ready(1, here)), "orders", nil)
	m.Choose(start, viewOf(ready(1, here)), "orders", nil)
	c.Assert(m.targets, qt.HasLen, 1)
}

// BenchmarkView580 measures the cost of a new view of 580 nodes.
func BenchmarkView580(b *testing.B) {
	views := make([]*member.View, 3)
	for v := range views {
		var members []member.Member
		for n := range 580 {
			members = append(members, ready(n+1, []member.Place{here, near, far}[n%3]).WithRevision(uint64(v)))
		}
		views[v] = viewOf(members...)
	}
	m := newMachine()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m.Choose(start, views[n%3], "orders", nil)
	}
}

func BenchmarkChoose580(b *testing.B) {
	var members []member.Member
	for n := range 580 {
		members = append(members, ready(n+1, []member.Place{here, near, far}[n%3]))
	}
	view := viewOf(members...)
	m := newMachine()
	b.ReportAllocs()
	for b.Loop() {
		got, _ := m.Choose(start, view, "orders", nil)
		m.RecordStart(got.Key())
		m.RecordEnd(start, got.Key(), ResultAnswered)
	}
}

// TestSlowerServersGetFewerCalls checks that of two equally loaded servers the faster one is preferred.
func TestSlowerServersGetFewerCalls(t *testing.T) {
	c := qt.New(t)
	m := newMachine()
	view := viewOf(ready(1, here), ready(2, here))
	m.Choose(start, view, "orders", nil)
	for range 200 {
		m.RecordLatency(key(1), 300*time.Millisecond)
		m.RecordLatency(key(2), 100*time.Millisecond)
	}
	faster := 0
	for range 400 {
		if got, _ := m.Choose(start, view, "orders", nil); got.Key() == key(2) {
			faster++
		}
	}
	c.Assert(faster > 260, qt.IsTrue, qt.Commentf("%d of 400, where two random choices allow 300", faster))
}

// TestRefusalByOtherRegionStartsBackoff checks that after a refusal by the other region no call crosses during
// CrossRegionBackoff, though the own region is saturated.
func TestRefusalByOtherRegionStartsBackoff(t *testing.T) {
	c := qt.New(t)
	m := New(Settings{CrossRegionBackoff: time.Second}, self, here, rand.New(rand.NewPCG(1, 2)))
	view := viewOf(ready(1, here), ready(3, far))
	startCalls(m, start, view, 8)
	c.Assert(startCalls(m, start, view, 1), qt.DeepEquals, map[member.Key]int{key(3): 1})
	m.RecordEnd(start, key(3), ResultRefused)
	c.Assert(startCalls(m, start.Add(900*time.Millisecond), view, 1), qt.DeepEquals, map[member.Key]int{key(1): 1})
	c.Assert(startCalls(m, start.Add(time.Second), view, 1), qt.DeepEquals, map[member.Key]int{key(3): 1})
}

// TestServerThatReturnsIsUsedAtOnce guards against avoiding a server for what its previous process did.
func TestServerThatReturnsIsUsedAtOnce(t *testing.T) {
	for _, result := range []Result{ResultDraining, ResultFailed} {
		m := newMachine()
		server, other := ready(1, here), ready(2, far)
		view := viewOf(server, other)
		for range DefaultEjectionFailures {
			_, _ = m.Choose(start, view, "orders", nil)
			m.RecordStart(key(1))
			m.RecordEnd(start, key(1), result)
		}
		got, _ := m.Choose(start, view, "orders", nil)
		qt.Assert(t, got.Key(), qt.Equals, key(2), qt.Commentf("result %d", result))
		gone := viewOf(server.WithServer(server.Server().WithState(member.ServerNone)), other)
		_, _ = m.Choose(start, gone, "orders", nil)
		got, _ = m.Choose(start, viewOf(server, other), "orders", nil)
		qt.Assert(t, got.Key(), qt.Equals, key(1), qt.Commentf("result %d", result))
	}
}

// TestUnreachableServerIsAvoidedAtOnce guards requests of a node while VMs lose power: each attempt at one of them waits for a
// time-out, so a second one must go elsewhere, also if more servers are gone than may be ejected.
func TestUnreachableServerIsAvoidedAtOnce(t *testing.T) {
	c := qt.New(t)
	var members []member.Member
	gone := make(map[member.Key]bool)
	for i := range 8 {
		members = append(members, ready(i+1, here))
		gone[key(i+1)] = i < 5
	}
	view, m, inVain := viewOf(members...), newMachine(), 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		to, ok := m.Choose(now, view, "orders", nil)
		c.Assert(ok, qt.IsTrue)
		m.RecordStart(to.Key())
		result := ResultAnswered
		if gone[to.Key()] {
			result = ResultUnreachable
			inVain++
		}
		m.RecordEnd(now, to.Key(), result)
	}
	c.Assert(inVain <= 5, qt.IsTrue, qt.Commentf("%d attempts in vain", inVain))
}
