package rollout

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

var simStart = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// simFault describes what is wrong during a simulated roll-out.
type simFault struct {
	bad      bool          // the target version is bad
	fails    float64       // share of the target version's responses that fail
	slow     float64       // share of them that take 8 times as long
	oneRoute bool          // on one route only
	delay    time.Duration // from the start of a server
	loaded   bool          // only on servers that get at least 0.6 of an old server's load
	both     bool          // on both versions, for 3 s
	grey     bool          // on one server of the target version only
	heavy    bool          // slow tails: 3 in 100 responses take 15 times as long
	few      bool          // the least traffic and the rarest reports
	spread   bool          // the servers of the target version start over 4 s and stay cold for 3 s each
}

const (
	simTick = 10 * time.Millisecond
	simLink = 20 * time.Millisecond
)

// simServer is a server of the target version.
type simServer struct {
	startedAt time.Time
	load      float64 // requests in the last second, about
	loadedAt  time.Time
	grey      bool
}

// simEnd is a request that ends in a tick.
type simEnd struct {
	node, cohort int
	route        string
	side         Side
	failed       bool
	took         time.Duration
}

type simNode struct {
	key      member.Key
	decision Decision
	plan     *Plan
	servers  []member.Member // of the plan
	chooser  *Chooser
	counter  *Counter
	reportAt time.Time
}

// sim is one roll-out in virtual time: nodes, servers and links around a Decider, with a store that answers in 10 ms.
type sim struct {
	rnd      *rand.Rand
	fault    simFault
	limit    time.Duration
	rate     float64
	interval time.Duration
	now      time.Time
	decider  *Decider
	nodes    []*simNode
	members  []member.Member
	servers  map[member.Key]*simServer
	plans    map[Decision]*Plan
	ends     map[int64][]simEnd
	later    map[int64][]func()
	badRoute string
	faultAt  time.Time // of a fault of both versions

	requests, exposed, badResponses int
	fiftiethAt, lastSentAt          time.Time
	final                           Decision
}

var simRoutes = [...]struct {
	name   string
	weight float64
	median time.Duration
}{{"a", 0.4, 20 * time.Millisecond}, {"b", 0.3, 60 * time.Millisecond}, {"c", 0.2, 35 * time.Millisecond}, {"d", 0.1, 90 * time.Millisecond}}

func newSim(seed uint64, fault simFault, limit time.Duration) *sim {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := &sim{
		rnd: rnd, fault: fault, limit: limit, now: simStart, servers: map[member.Key]*simServer{}, plans: map[Decision]*Plan{},
		rate: 300 + 1700*rnd.Float64(), interval: 250*time.Millisecond + time.Duration(rnd.Int64N(int64(1550*time.Millisecond))),
		ends: map[int64][]simEnd{}, later: map[int64][]func(){}, badRoute: simRoutes[rnd.IntN(len(simRoutes))].name,
		decider: NewDecider(Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}),
	}
	if fault.few {
		s.rate, s.interval = 300, 1800*time.Millisecond
	}
	s.faultAt = simStart.Add(time.Duration(rnd.Int64N(int64(limit / 2))))
	for i := range 12 + rnd.IntN(49) {
		s.addMember(i, "v1")
		s.nodes = append(s.nodes, &simNode{key: s.members[i].Key(), chooser: NewChooser(rnd.Float64), reportAt: s.now.Add(time.Duration(rnd.Int64N(int64(s.interval))))})
	}
	s.view()
	s.act(s.decider.Lead(s.now, true))
	s.act(s.decider.ObserveOrder(s.now, NewOrder("s", "v2", limit, 1, s.now)))
	s.startServers()
	return s
}

func (s *sim) addMember(i int, version string) member.Key {
	key := member.NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), 1)
	server := member.NewServer("s", member.ServerReady, 8).WithVersion(version)
	s.members = append(s.members, member.New(key, member.NewPlace("r", "d"), 1).WithServer(server))
	return key
}

// startServers starts as many servers of the target version as there are old ones, from 1.3 s after the order on.
func (s *sim) startServers() {
	span := 400 * time.Millisecond
	if s.fault.spread {
		span = 4 * time.Second
	}
	old := len(s.nodes)
	for i := range old {
		s.at(1300*time.Millisecond+time.Duration(s.rnd.Int64N(int64(span))), func() {
			s.servers[s.addMember(old+i, "v2")] = &simServer{startedAt: s.now}
			if len(s.servers) == old && s.fault.grey {
				for key := range selectServers(s.members, "v2", 1) {
					s.servers[key].grey = true
				}
			}
			s.view()
		})
	}
}

func (s *sim) view() {
	s.decider.ObserveMembers(s.now, member.NewView(s.members[0].Key(), append([]member.Member(nil), s.members...)))
	clear(s.plans)
	for _, n := range s.nodes {
		n.plan = nil
	}
}

func (s *sim) at(d time.Duration, f func()) {
	tick := int64(s.now.Add(d).Sub(simStart) / simTick)
	s.later[tick] = append(s.later[tick], f)
}

// act performs the actions of the decider.
func (s *sim) act(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ReadDecisions:
			s.at(simTick, func() { s.act(s.decider.ObserveDecisions(s.now, nil, a.from)) })
		case AppendDecision:
			s.at(simTick, func() { s.act(s.decider.ObserveAppend(s.now, a, StoreDone)) })
		case WriteStatus:
			s.at(simTick, func() { s.act(s.decider.ObserveStatus(s.now, a, StoreDone)) })
		case Announce:
			s.final = a.Decision()
			for _, n := range s.nodes {
				s.at(simLink, func() { s.decide(n, a.Decision()) })
			}
		}
	}
}

// decide applies a decision at a node, which reports at once what it has counted until then.
func (s *sim) decide(n *simNode, d Decision) {
	if !d.Overrides(n.decision) {
		return
	}
	if n.counter == nil {
		n.counter = NewCounter("s", d.Order())
	}
	n.decision, n.plan, n.reportAt = d, nil, s.now
}

// run runs the roll-out until its deadline, and on until requests have ended.
func (s *sim) run() {
	end := simStart.Add(s.limit)
	for ; s.now.Before(end) && !s.final.Final(); s.now = s.now.Add(simTick) {
		tick := int64(s.now.Sub(simStart) / simTick)
		for _, f := range s.later[tick] {
			f()
		}
		for _, e := range s.ends[tick] {
			s.nodes[e.node].counter.End(e.route, e.side, e.cohort, e.failed, e.took)
		}
		delete(s.later, tick)
		delete(s.ends, tick)
		s.arrive()
		s.report()
		if tick%10 == 0 {
			s.act(s.decider.Tick(s.now))
		}
	}
	s.requests += int(s.rate * end.Sub(s.now).Seconds()) // the rest of the time until the deadline
}

func (s *sim) arrive() {
	expected := s.rate * simTick.Seconds()
	for n := int(expected + s.rnd.Float64()); n > 0; n-- {
		i := s.rnd.IntN(len(s.nodes))
		s.requests++
		if node := s.nodes[i]; node.counter != nil {
			s.send(i, node)
		}
	}
}

func (s *sim) send(i int, n *simNode) {
	route, uniform := simRoutes[0], s.rnd.Float64()
	for _, r := range simRoutes {
		if route = r; uniform < r.weight {
			break
		}
		uniform -= r.weight
	}
	n.update(s)
	e := simEnd{node: i, route: route.name, side: n.chooser.Choose(s.now, "s", route.name, n.plan)}
	e.took = time.Duration(float64(route.median) * math.Exp(0.5*s.rnd.NormFloat64()))
	if s.fault.heavy && s.rnd.Float64() < 0.03 {
		e.took *= 15
	}
	e.failed = s.rnd.Float64() < 0.004
	var hit bool
	if e.side == SideTarget {
		m := n.servers[s.rnd.IntN(len(n.servers))]
		e.cohort = n.plan.Cohort(m.Key())
		hit = s.serve(s.servers[m.Key()], &e)
	} else {
		hit = s.fault.both && s.faulty()
	}
	if hit {
		s.spoil(&e)
	}
	n.counter.Start(e.side)
	tick := int64(s.now.Add(e.took+2*time.Millisecond).Sub(simStart)/simTick) + 1
	s.ends[tick] = append(s.ends[tick], e)
}

func (n *simNode) update(s *sim) {
	if n.plan != nil {
		return
	}
	plan := s.plans[n.decision]
	if plan == nil {
		plan = newPlan(planInput{decision: n.decision, base: "v1", confirmed: s.now.Add(time.Hour)}, s.members)
		s.plans[n.decision] = plan
	}
	n.plan, n.servers = plan, n.servers[:0]
	for _, m := range s.members {
		if plan.Allows(m, SideTarget) {
			n.servers = append(n.servers, m)
		}
	}
}

func (s *sim) faulty() bool {
	since := s.now.Sub(s.faultAt)
	return since >= 0 && since < 3*time.Second
}

// serve counts a request that reaches a server of the target version. It returns whether the fault hits it.
func (s *sim) serve(server *simServer, e *simEnd) bool {
	s.exposed++
	s.lastSentAt = s.now
	server.load = server.load*math.Exp(-s.now.Sub(server.loadedAt).Seconds()) + 1
	server.loadedAt = s.now
	age := s.now.Sub(server.startedAt)
	if age < 3*time.Second {
		e.took *= 2
	}
	switch f := s.fault; {
	case f.both:
		return s.faulty()
	case f.grey:
		return server.grey
	case f.oneRoute && e.route != s.badRoute, age < f.delay:
		return false
	case f.loaded:
		return server.load >= 0.6*s.rate/float64(len(s.nodes))
	}
	return true
}

func (s *sim) spoil(e *simEnd) {
	switch uniform := s.rnd.Float64(); {
	case uniform < s.fault.fails:
		e.failed = true
	case uniform < s.fault.fails+s.fault.slow:
		e.took *= 8
	default:
		return
	}
	if s.badResponses++; s.badResponses == 50 {
		s.fiftiethAt = s.now.Add(e.took)
	}
}

func (s *sim) report() {
	for _, n := range s.nodes {
		if n.counter == nil || s.now.Before(n.reportAt) {
			continue
		}
		n.reportAt = s.now.Add(s.interval)
		counts := n.counter.Counts(n.decision.Sequence(), false)
		s.at(simLink, func() { s.act(s.decider.ObserveCounts(s.now, n.key, counts)) })
	}
}
