// Package balance chooses the backend server for a call by what calls themselves show: those in flight
// from this node, the load that answers carry back, refusals and failures.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Settings of a Machine.
type Settings struct {
	SubsetSize         int           // servers of one service and distance that a node sends calls to
	EjectionFailures   int           // consecutive failures after which a server is ejected
	BaseEjectionTime   time.Duration // time of a first ejection; it doubles with each further one
	SlowStart          time.Duration // time over which a server that turned ready comes to its full share
	RefusalBackoff     time.Duration // time for which a server that refused a call counts as full
	CrossRegionBackoff time.Duration // the same for a server of another region; zero means Cooling
}

// Defaults of Settings.
const (
	DefaultSubsetSize       = 8
	DefaultBaseEjectionTime = 3
	DefaultEjection         = time.Second
	DefaultSlowStart        = 10 * time.Second
	DefaultRefusalBackoff   = 50 * time.Millisecond

	maxEjection = 30 * time.Second
	minWeight   = 0.1
	loadMemory  = 200 * time.Millisecond // age at which a load carried back counts for nothing
	drainMemory = 5 * time.Second        // time for which a server that said that it drains is avoided
	choices     = 2
	tookWeight  = 1.0 / 16 // weight of one call in the smoothed times
	maxPace     = 4.0      // by which a server may seem faster or slower than its service
	suspectLoad = 2        // share of its slots by which a suspected server seems more loaded
)

// distance classes servers by where they are, the nearest first.
type distance uint8

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	distances
)

// Machine chooses backend servers. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	self     member.Key
	place    member.Place
	rnd      *rand.Rand

	recent  [2]generation // newest view first; requests in flight may still use the one before
	targets map[member.Key]*target
	mean    map[string]time.Duration // smoothed time of answered calls, by service

	mayEject func(p *pool, now time.Time) bool   // seam
	mayCross func(t *target, now time.Time) bool // seam
}

// generation holds the pools of one view.
type generation struct {
	view  *member.View
	pools map[string]*pool
}

// pool holds the servers of one service that this node sends calls to.
type pool struct {
	tiers [distances][]*target
	size  int
}

// target is what this node knows of one server.
type target struct {
	member     member.Member
	rank       uint64 // rendezvous hash with this node
	inFlight   int
	carried    int // calls at the server as carried back, without those from here
	carriedAt  time.Time
	took       time.Duration // smoothed time of answered calls, zero before the first
	failures   int
	ejections  int
	ejected    time.Time // until then
	coolUntil  time.Time
	drainUntil time.Time
	readySince time.Time // zero if the server was ready when first seen
	ready      bool
}

// New returns a machine for the node self at a place.
func New(settings Settings, self member.Key, place member.Place, rnd *rand.Rand) *Machine {
	return &Machine{
		settings: settings.withDefaults(),
		self:     self,
		place:    place,
		rnd:      rnd,
		targets:  make(map[member.Key]*target),
		mean:     make(map[string]time.Duration),
		mayEject: withinEjectionCap,
		mayCross: saturated,
	}
}

func (s Settings) withDefaults() Settings {
	if s.SubsetSize <= 0 {
		s.SubsetSize = DefaultSubsetSize
	}
	if s.EjectionFailures <= 0 {
		s.EjectionFailures = DefaultBaseEjectionTime
	}
	if s.BaseEjectionTime <= 0 {
		s.BaseEjectionTime = DefaultEjection
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

// Choose returns the server for a call to a service, by a view of the fleet, and false when there is
// none. Servers in tried are left out. Started must follow if the call is sent.
func (m *Machine) Choose(now time.Time, view *member.View, service string, tried []member.Key) (member.Member, bool) {
	p := m.pool(now, view, service)
	var fallback *target
	for d, tier := range p.tiers {
		if distance(d) == otherRegion && fallback != nil && !m.mayCross(fallback, now) {
			break
		}
		t := m.best(now, tier, tried)
		if t == nil {
			continue
		}
		if t.full(now) {
			t = m.least(now, tier, tried)
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

// best returns the better of two servers taken at random, or nil when none may be used.
func (m *Machine) best(now time.Time, tier []*target, tried []member.Key) *target {
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
	for range choices {
		t := nthUsable(now, tier, tried, m.rnd.IntN(usable))
		if best == nil || m.score(now, t) < m.score(now, best) {
			best = t
		}
	}
	return best
}

// least returns the best of all usable servers.
func (m *Machine) least(now time.Time, tier []*target, tried []member.Key) *target {
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

// lastResort returns a server that is ejected but not yet tried.
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
	return t.ready && !now.Before(t.ejected) && !now.Before(t.drainUntil) && !slices.Contains(tried, t.member.Key())
}

// full tells whether a further call would have to wait at the server.
func (t *target) full(now time.Time) bool {
	return now.Before(t.coolUntil) || t.load(now) >= float64(t.slots())
}

// saturated tells whether a further call would likely be refused: the queue, as long as there are slots,
// is full too. The least loaded server of a region being saturated, a call may cross to another region.
func saturated(t *target, now time.Time) bool {
	return now.Before(t.coolUntil) || t.load(now) >= float64(2*t.slots())
}

func (t *target) slots() int { return max(t.member.Server().Slots(), 1) }

// load estimates the calls at the server. What an answer carried back fades with its age.
func (t *target) load(now time.Time) float64 {
	age := now.Sub(t.carriedAt)
	if age >= loadMemory {
		return float64(t.inFlight)
	}
	fresh := 1 - float64(age)/float64(loadMemory)
	return float64(t.inFlight) + float64(t.carried)*fresh
}

// score is lower for a better server.
func (m *Machine) score(now time.Time, t *target) float64 {
	load := (t.load(now) + 1) / float64(t.slots()) * m.pace(t)
	if now.Before(t.coolUntil) {
		load++
	}
	if t.member.Health() == member.HealthSuspect {
		load += suspectLoad
	}
	return load / m.weight(now, t)
}

// weight is the share of calls that a server gets while it starts slowly, at most 1.
func (m *Machine) weight(now time.Time, t *target) float64 {
	if t.readySince.IsZero() {
		return 1
	}
	done := float64(now.Sub(t.readySince)) / float64(m.settings.SlowStart)
	return min(max(done, minWeight), 1)
}

// pace tells how much slower a server answers than its service does on the average.
func (m *Machine) pace(t *target) float64 {
	mean := m.mean[t.member.Server().Service()]
	if t.took == 0 || mean == 0 {
		return 1
	}
	return min(max(float64(t.took)/float64(mean), 1/maxPace), maxPace)
}
