// Package balance chooses the backend server for a call from passive observation: the calls in flight from this
// node, the load reported with answers, latencies, refusals and failures.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Settings configures a Machine. Zero values mean the defaults.
type Settings struct {
	SubsetSize         int           // servers of one service to which a node sends calls, per distance
	EjectionFailures   int           // consecutive failures after which a server is ejected
	BaseEjectionTime   time.Duration // duration of the first ejection; it doubles with each consecutive one
	SlowStart          time.Duration // time in which a server that became ready ramps up to its full share
	RefusalBackoff     time.Duration // time for which a server counts as full after it refused a call
	CrossRegionBackoff time.Duration // the same for a server in another region; zero means RefusalBackoff
}

// Defaults of Settings.
const (
	DefaultSubsetSize       = 8
	DefaultEjectionFailures = 3
	DefaultBaseEjectionTime = time.Second
	DefaultSlowStart        = 10 * time.Second
	DefaultRefusalBackoff   = 50 * time.Millisecond

	maxEjectionTime     = 30 * time.Second
	minSlowStartWeight  = 0.1
	loadMaxAge          = 200 * time.Millisecond // age at which a reported load no longer counts
	rateMaxAge          = 2 * time.Second        // age at which a reported limit of the calls per second no longer counts
	defaultRunTime      = 100 * time.Millisecond // run time of calls that is assumed before the first answer
	drainBackoff        = 5 * time.Second        // time for which a draining server is avoided
	unreachableBackoff  = time.Second            // the same for a server whose node can't be reached
	randomChoices       = 2
	latencySampleWeight = 1.0 / 16 // weight of one sample in the moving averages of latency
	maxRelativeLatency  = 4.0      // limit of the ratio of a server's latency to its service's, and of its inverse
	suspectPenalty      = 2        // added to the load per slot of a suspect server
)

// distance classifies servers by location relative to this node, nearest first.
type distance uint8

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	distanceCount
)

// Machine chooses backend servers. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	self     member.Key
	place    member.Place
	rnd      *rand.Rand

	generations   [2]generation // newest view first; calls in flight may still use the previous one
	targets       map[member.Key]*target
	meanLatencies map[string]time.Duration // moving averages of answered calls, by service

	ejectionAllowed    func(p *pool, now time.Time) bool   // replaced in tests
	crossRegionAllowed func(t *target, now time.Time) bool // replaced in tests
}

// generation holds the pools of one view.
type generation struct {
	view     *member.View
	pools    map[string]*pool
	filtered map[filteredKey]*pool // nil until a filter is used
}

// pool holds the servers of one service to which this node sends calls.
type pool struct {
	tiers [distanceCount][]*target
	size  int
}

// target is the state of one server as observed by this node.
type target struct {
	member               member.Member
	rank                 uint64 // rendezvous hash with this node
	inFlight             int
	otherCalls           int // reported calls at the server, without those in flight from this node
	loadReportedAt       time.Time
	meanLatency          time.Duration // moving average of answered calls, zero before the first
	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time
	refusalBackoffUntil  time.Time
	drainBackoffUntil    time.Time
	unreachableUntil     time.Time
	rate                 float64 // calls per second that the server accepts from all nodes together; 0 for no limit
	rateReportedAt       time.Time
	readySince           time.Time // zero if the server was ready when first seen
	ready                bool
}

// New returns a machine for the node self at a place. It draws all random numbers from rnd.
func New(settings Settings, self member.Key, place member.Place, rnd *rand.Rand) *Machine {
	return &Machine{
		settings:           settings.withDefaults(),
		self:               self,
		place:              place,
		rnd:                rnd,
		targets:            make(map[member.Key]*target),
		meanLatencies:      make(map[string]time.Duration),
		ejectionAllowed:    withinEjectionCap,
		crossRegionAllowed: saturated,
	}
}

func (s Settings) withDefaults() Settings {
	if s.SubsetSize <= 0 {
		s.SubsetSize = DefaultSubsetSize
	}
	if s.EjectionFailures <= 0 {
		s.EjectionFailures = DefaultEjectionFailures
	}
	if s.BaseEjectionTime <= 0 {
		s.BaseEjectionTime = DefaultBaseEjectionTime
	}
	if s.SlowStart <= 0 {
		s.SlowStart = DefaultSlowStart
	}
	if s.RefusalBackoff <= 0 {
		s.RefusalBackoff = DefaultRefusalBackoff
	}
	if s.CrossRegionBackoff <= 0 {
		s.CrossRegionBackoff = s.RefusalBackoff
	}
	return s
}

// Choose returns the server for a call to a service from a view of the fleet, and false if there is none. It
// excludes the servers in tried. If the call is sent, RecordStart must be called.
func (m *Machine) Choose(now time.Time, view *member.View, service string, tried []member.Key) (member.Member, bool) {
	return m.choose(now, m.pool(now, view, service), tried)
}

// choose returns the server of a pool for a call.
func (m *Machine) choose(now time.Time, p *pool, tried []member.Key) (member.Member, bool) {
	var fallback *target
	for d, tier := range p.tiers {
		if distance(d) == otherRegion && fallback != nil && !m.crossRegionAllowed(fallback, now) {
			break
		}
		t := m.betterOfRandom(now, tier, tried)
		if t == nil {
			continue
		}
		if t.full(now) {
			t = m.lowestScore(now, tier, tried)
		}
		if !t.full(now) {
			return t.member, true
		}
		if fallback == nil || distance(d) != otherRegion && m.score(now, t) < m.score(now, fallback) {
			fallback = t
		}
	}
	if fallback == nil {
		fallback = m.lastResort(p, tried)
	}
	if fallback == nil {
		return member.Member{}, false
	}
	return fallback.member, true
}

// betterOfRandom returns the better of two usable servers chosen at random, or nil if none is usable.
func (m *Machine) betterOfRandom(now time.Time, tier []*target, tried []member.Key) *target {
	usable := 0
	for _, t := range tier {
		if t.usable(now, tried) {
			usable++
		}
	}
	if usable == 0 {
		return nil
	}
	var best *target
	for range randomChoices {
		t := nthUsable(now, tier, tried, m.rnd.IntN(usable))
		if best == nil || m.score(now, t) < m.score(now, best) {
			best = t
		}
	}
	return best
}

// lowestScore returns the usable server with the lowest score, or nil if none is usable.
func (m *Machine) lowestScore(now time.Time, tier []*target, tried []member.Key) *target {
	var least *target
	for _, t := range tier {
		if !t.usable(now, tried) {
			continue
		}
		if least == nil || m.score(now, t) < m.score(now, least) {
			least = t
		}
	}
	return least
}

func nthUsable(now time.Time, tier []*target, tried []member.Key, n int) *target {
	for _, t := range tier {
		if !t.usable(now, tried) {
			continue
		}
		if n == 0 {
			return t
		}
		n--
	}
	return nil
}

// lastResort returns a ready server that has not been tried, also if it is ejected or draining.
func (m *Machine) lastResort(p *pool, tried []member.Key) *target {
	for _, tier := range p.tiers {
		for _, t := range tier {
			if t.ready && !slices.Contains(tried, t.member.Key()) {
				return t
			}
		}
	}
	return nil
}

func (t *target) usable(now time.Time, tried []member.Key) bool {
	return t.ready && !now.Before(t.ejectedUntil) && !now.Before(t.drainBackoffUntil) && !now.Before(t.unreachableUntil) && !slices.Contains(tried, t.member.Key())
}

// full reports whether another call would have to wait at the server.
func (t *target) full(now time.Time) bool {
	return now.Before(t.refusalBackoffUntil) || t.load(now) >= t.capacity(now)
}

// saturated reports whether another call would probably be refused because the queue, which is as long as the
// number of slots, is full too. Calls cross to another region only if the best server of this one is saturated.
func saturated(t *target, now time.Time) bool {
	return now.Before(t.refusalBackoffUntil) || t.load(now) >= 2*t.capacity(now)
}

func (t *target) slots() int { return max(t.member.Server().Slots(), 1) }

// capacity returns the number of calls that the server can run concurrently. For a server that accepts a limited number
// of calls per second, it is the number that runs at that rate on average.
func (t *target) capacity(now time.Time) float64 {
	slots := float64(t.slots())
	if t.rate == 0 || now.Sub(t.rateReportedAt) >= rateMaxAge {
		return slots
	}
	runTime := t.meanLatency
	if runTime == 0 {
		runTime = defaultRunTime
	}
	return min(t.rate*runTime.Seconds(), slots)
}

// load estimates the number of calls at the server. The weight of the reported load decreases linearly with its age.
func (t *target) load(now time.Time) float64 {
	age := now.Sub(t.loadReportedAt)
	if age >= loadMaxAge {
		return float64(t.inFlight)
	}
	weight := 1 - float64(age)/float64(loadMaxAge)
	return float64(t.inFlight) + float64(t.otherCalls)*weight
}

// score returns the estimated load per slot after another call, adjusted for latency, refusals, suspicion and slow
// start. Lower is better.
func (m *Machine) score(now time.Time, t *target) float64 {
	load := (t.load(now) + 1) / t.capacity(now) * m.relativeLatency(t)
	if now.Before(t.refusalBackoffUntil) {
		load++
	}
	if t.member.Health() == member.HealthSuspect {
		load += suspectPenalty
	}
	return load / m.slowStartWeight(now, t)
}

// slowStartWeight is the fraction of its full share of calls that a server receives during slow start.
func (m *Machine) slowStartWeight(now time.Time, t *target) float64 {
	if t.readySince.IsZero() {
		return 1
	}
	elapsed := float64(now.Sub(t.readySince)) / float64(m.settings.SlowStart)
	return min(max(elapsed, minSlowStartWeight), 1)
}

// relativeLatency is the ratio of the mean latency of a server to that of its service.
func (m *Machine) relativeLatency(t *target) float64 {
	mean := m.meanLatencies[t.member.Server().Service()]
	if t.meanLatency == 0 || mean == 0 {
		return 1
	}
	return min(max(float64(t.meanLatency)/float64(mean), 1/maxRelativeLatency), maxRelativeLatency)
}
