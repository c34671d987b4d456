package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
)

// store is the topic of decisions and the status record, with their failures.
type store struct {
	decisions []Decision
	status    map[string]Decision
	down      bool
	loseNext  bool // the next append is done, but its response is lost
}

func (s *store) append(a AppendDecision) StoreResult {
	if s.down {
		return StoreUnknown
	}
	if a.End() != uint64(len(s.decisions)) {
		return StoreRejected
	}
	s.decisions = append(s.decisions, a.Decision())
	if s.loseNext {
		s.loseNext = false
		return StoreUnknown
	}
	return StoreDone
}

func (s *store) write(w WriteStatus) StoreResult {
	if s.down {
		return StoreUnknown
	}
	if s.status[w.Decision().Service()].Sequence() > w.Decision().Sequence() {
		return StoreRejected
	}
	s.status[w.Decision().Service()] = w.Decision()
	return StoreDone
}

// phases returns the phases of a service in the topic, without repetitions.
func (s *store) phases(service string) []Phase {
	var phases []Phase
	for _, d := range s.decisions {
		if d.Service() == service && (len(phases) == 0 || phases[len(phases)-1] != d.Phase()) {
			phases = append(phases, d.Phase())
		}
	}
	return phases
}

// deciding runs deciders on one store, in steps of 100 ms, with reports of good or bad responses by three nodes.
type deciding struct {
	t        *testing.T
	store    *store
	now      time.Time
	deciders []*Decider
	record   *Record // of the nodes, which all hear everything
	servers  map[string]int
	bad      bool
	counters map[string]*Counter
}

func newDeciding(t *testing.T, deciders int) *deciding {
	f := &deciding{t: t, store: &store{status: map[string]Decision{}}, now: simStart, record: NewRecord(), servers: map[string]int{"v1": 12}, counters: map[string]*Counter{}}
	for range deciders {
		f.deciders = append(f.deciders, NewDecider(Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}))
	}
	f.lead(0, true)
	return f
}

func (f *deciding) lead(i int, leads bool) { f.act(i, f.deciders[i].Lead(f.now, leads)) }

func (f *deciding) order(service, target string, number uint64) {
	for i, d := range f.deciders {
		f.act(i, d.ObserveOrder(f.now, NewOrder(service, target, 16*time.Second, number, f.now)))
	}
}

func (f *deciding) act(i int, actions []Action) {
	for _, action := range actions {
		d := f.deciders[i]
		switch a := action.(type) {
		case ReadDecisions:
			if f.store.down {
				f.act(i, d.ObserveReadFailure(f.now))
				continue
			}
			end := uint64(len(f.store.decisions))
			f.act(i, d.ObserveDecisions(f.now, f.store.decisions[min(a.From(), end):], end))
		case AppendDecision:
			f.act(i, d.ObserveAppend(f.now, a, f.store.append(a)))
		case WriteStatus:
			f.act(i, d.ObserveStatus(f.now, a, f.store.write(a)))
		case Announce:
			f.record.Merge(f.now, a.Decision())
			f.record.Confirm(f.now, a.Decision().Service(), a.Decision().Sequence())
		}
	}
}

// run lets time pass for the given deciders; the others are frozen.
func (f *deciding) run(d time.Duration, running ...int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		view := f.view()
		for _, decision := range f.record.All(f.now) {
			f.count(decision)
		}
		for _, i := range running {
			f.deciders[i].ObserveMembers(f.now, view)
			for _, decision := range f.record.All(f.now) {
				f.act(i, f.deciders[i].ObserveAnnouncement(f.now, decision))
				counts := f.counters[decision.Service()].Counts(decision.Sequence(), false)
				f.act(i, f.deciders[i].ObserveCounts(f.now, member.Key{}, counts))
			}
			f.act(i, f.deciders[i].Tick(f.now))
		}
	}
}

func (f *deciding) view() *member.View {
	s := &sim{}
	for _, version := range []string{"v1", "v2", "v3"} {
		for range f.servers[version] {
			s.addMember(len(s.members), version)
		}
	}
	members := s.members
	for _, m := range s.members { // a second service
		server := member.NewServer("other", member.ServerReady, 8).WithVersion(m.Server().Version())
		members = append(members, member.New(member.NewKey(m.Key().Peer(), 2), m.Place(), 1).WithServer(server))
	}
	return member.NewView(members[0].Key(), members)
}

func (f *deciding) count(d Decision) {
	c := f.counters[d.Service()]
	if c == nil || c.order != d.Order() {
		c = NewCounter(d.Service(), d.Order())
		f.counters[d.Service()] = c
	}
	for i := range 100 {
		side, fails := SideBase, i == 99
		if i*FullShare < d.EffectiveShare()*100 {
			side, fails = SideTarget, f.bad && i%2 == 0
		}
		c.Start(side)
		c.End("a", side, i%Cohorts, fails, 20*time.Millisecond)
	}
}

var (
	goodPhases = []Phase{PhaseCanary, PhaseRaised, PhaseShifting, PhaseCompleted}
	backPhases = []Phase{PhaseCanary, PhaseRolledBack}
)

// until lets decider i run until the last decision of service "s" has a phase.
func (f *deciding) until(phase Phase, i int) {
	for range 160 {
		if d, ok := f.record.Get(f.now, "s"); ok && d.Phase() == phase && d.Share() > 0 {
			return
		}
		f.run(100*time.Millisecond, i)
	}
	f.t.Fatalf("no phase %v", phase)
}

// A decider that is replaced in any phase must neither end the roll-out nor repeat a step.
func TestDeciderReplacedInEachPhase(t *testing.T) {
	for _, phase := range goodPhases[:3] {
		t.Run(phase.String(), func(t *testing.T) {
			f := newDeciding(t, 2)
			f.order("s", "v2", 1)
			f.servers["v2"] = 12
			f.until(phase, 0)
			f.lead(0, false)
			f.lead(1, true)
			f.run(14*time.Second, 1)
			qt.Check(t, f.store.phases("s"), qt.DeepEquals, goodPhases)
			qt.Check(t, f.store.status["s"].Phase(), qt.Equals, PhaseCompleted)
		})
	}
}

// A decider that hung for 10 s and still takes itself for the one that leads must not undo what another one decided.
func TestFrozenDeciderDoesNoHarm(t *testing.T) {
	f := newDeciding(t, 2)
	f.order("s", "v2", 1)
	f.servers["v2"] = 12
	f.until(PhaseRaised, 0)
	f.lead(1, true)
	f.run(10*time.Second, 1)
	completed := len(f.store.decisions)
	first := f.deciders[0].Tick(f.now)
	qt.Check(t, first, qt.HasLen, 1)
	qt.Check(t, first[0], qt.Satisfies, func(a Action) bool { _, reads := a.(ReadDecisions); return reads })
	f.act(0, first)
	f.run(10*time.Second, 0, 1)
	qt.Check(t, f.store.phases("s"), qt.DeepEquals, goodPhases)
	qt.Check(t, f.store.decisions, qt.HasLen, completed)
	qt.Check(t, f.store.status["s"].Phase(), qt.Equals, PhaseCompleted)
}

// A decision whose response is lost must not be appended twice, and must reach the nodes.
func TestAppendWithLostResponse(t *testing.T) {
	for _, phase := range goodPhases[:3] {
		f := newDeciding(t, 1)
		f.order("s", "v2", 1)
		f.servers["v2"] = 12
		f.until(phase, 0)
		f.store.loseNext = true
		f.run(14*time.Second, 0)
		qt.Check(t, f.store.phases("s"), qt.DeepEquals, goodPhases)
		qt.Check(t, f.store.decisions, qt.HasLen, 6)
		qt.Check(t, f.record.entries["s"].decision.Phase(), qt.Equals, PhaseCompleted)
	}
}

// Without the store there must be no step forward, while a bad version is stopped all the same.
func TestStoreUnavailable(t *testing.T) {
	for _, phase := range goodPhases[:3] {
		f := newDeciding(t, 1)
		f.order("s", "v2", 1)
		f.servers["v2"] = 12
		f.until(phase, 0)
		share := f.record.entries["s"].decision.EffectiveShare()
		f.store.down = true
		f.run(2*time.Second, 0)
		qt.Check(t, f.record.entries["s"].decision.EffectiveShare(), qt.Equals, share)
		if phase == PhaseShifting {
			continue // nothing is compared any more
		}
		f.bad = true
		f.run(3*time.Second, 0)
		qt.Check(t, f.record.entries["s"].decision.EffectiveShare(), qt.Equals, 0)
		f.store.down = false
		f.run(time.Second, 0)
		qt.Check(t, f.store.status["s"].Phase(), qt.Equals, PhaseRolledBack)
	}
}

// The running roll-out must have ended before that of a later order begins, and both are reported.
func TestOrderOverRunningOne(t *testing.T) {
	f := newDeciding(t, 1)
	f.order("s", "v2", 1)
	f.servers["v2"] = 12
	f.until(PhaseCanary, 0)
	f.servers["v3"] = 12
	f.order("s", "v3", 2)
	f.run(15*time.Second, 0)
	qt.Check(t, f.store.phases("s"), qt.DeepEquals, append(backPhases[:2:2], goodPhases...))
	last := f.store.decisions[len(f.store.decisions)-1]
	qt.Check(t, last.Target()+last.Base(), qt.Equals, "v3v1")
}

// Two roll-outs at once must not keep each other from ending.
func TestTwoServicesAtOnce(t *testing.T) {
	f := newDeciding(t, 1)
	f.order("s", "v2", 1)
	f.order("other", "v2", 2)
	f.servers["v2"] = 12
	f.run(15*time.Second, 0)
	qt.Check(t, f.store.phases("s"), qt.DeepEquals, goodPhases)
	qt.Check(t, f.store.phases("other"), qt.DeepEquals, goodPhases)
}

// An order whose servers never appear must be rolled back before its deadline without a single request.
func TestTargetServersNeverAppear(t *testing.T) {
	f := newDeciding(t, 1)
	f.order("s", "v2", 1)
	f.run(15500*time.Millisecond, 0)
	qt.Check(t, f.store.phases("s"), qt.DeepEquals, backPhases)
	qt.Check(t, f.store.status["s"].Phase(), qt.Equals, PhaseRolledBack)
	for _, d := range f.store.decisions {
		qt.Check(t, d.Share(), qt.Equals, 0)
	}
}

// Without a clear verdict, here as no requests are made, the deadline must not complete a roll-out.
func TestDeadlineWithoutVerdict(t *testing.T) {
	f := newDeciding(t, 1)
	f.order("s", "v2", 1)
	f.servers["v2"] = 12
	f.counters["s"] = NewCounter("s", 99) // counts of another order
	for range 155 {
		f.counters["s"].order = 99
		f.act(0, f.deciders[0].ObserveMembers(f.now, f.view()))
		f.act(0, f.deciders[0].Tick(f.now))
		f.now = f.now.Add(100 * time.Millisecond)
	}
	qt.Check(t, f.store.phases("s"), qt.DeepEquals, backPhases)
}

// Servers that are replaced during the roll-out must not end it, and all traffic must wait for enough of them.
func TestServersReplacedMeanwhile(t *testing.T) {
	f := newDeciding(t, 1)
	f.order("s", "v2", 1)
	f.servers["v2"] = 12
	f.until(PhaseRaised, 0)
	f.servers["v2"] = 7
	f.run(3*time.Second, 0)
	qt.Check(t, f.record.entries["s"].decision.Phase(), qt.Equals, PhaseRaised)
	f.servers["v2"] = 12
	f.run(5*time.Second, 0)
	qt.Check(t, f.store.phases("s"), qt.DeepEquals, goodPhases)
}
