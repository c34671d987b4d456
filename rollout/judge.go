package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

const (
	// sliceLength is the least span of time over which base and target are compared. Faults of both versions begin and end
	// within a run, so the whole run must not be compared at once.
	sliceLength = 500 * time.Millisecond
	// maxSliceLength is the greatest span, for routes that have fewer than sliceRequests at the target version in less. Any
	// few requests fit some good version well enough.
	maxSliceLength = 2 * time.Second
	sliceRequests  = 5
	// markDelay is the time from a change of the share to the end of the reports about the time before.
	markDelay = 100 * time.Millisecond
	// startingPeriod is the time after the first responses of the target version in which its servers count as cold.
	startingPeriod = 5 * time.Second
	// badThreshold is the strength of evidence, the logarithm of a likelihood ratio, from which a version counts as bad.
	badThreshold = 10
	// goodThreshold is the same for good.
	goodThreshold = 16
	// pressedThreshold is the same once time or permitted exposure run out.
	pressedThreshold = 7
	// guardThreshold is the same for a node's own guard, of which there are many.
	guardThreshold = 16
	// stepSuspicion is the strength of evidence against a version from which on it does not get more requests.
	stepSuspicion = 4
	// haltSuspicion is the same for a version that was good and has used up the permitted exposure.
	haltSuspicion = 7
	// shiftSuspicion is the same for a version that begins to get all requests.
	shiftSuspicion = 5
	// minRouteShare is the share of a service's requests from which a route is judged good by itself. Rarer routes get too
	// few requests for that within the exposure that is permitted, and count in the total and against a version only.
	minRouteShare = 0.02
	// totalRoute is the key of the evidence over all routes. Routes of the document have names.
	totalRoute = ""
)

// Verdict is what the counts say about the target version.
type Verdict uint8

// Verdicts.
const (
	VerdictUndecided Verdict = iota
	VerdictGood
	VerdictBad
)

// String returns the word that status output uses.
func (v Verdict) String() string {
	names := [...]string{"undecided", "good", "bad"}
	return names[min(int(v), len(names)-1)]
}

// Judge compares the target version with the base version by the counts of all nodes, per route and in total. It is not
// safe for concurrent use.
type Judge struct {
	totals       map[member.Key]map[string]RouteCounts
	evidence     map[string]*evidence
	slices       map[string]*slice
	sliceEnd     time.Time
	firstAt      time.Time // of the target version's responses
	marking      bool      // slices are closed at sliceEnd whatever they hold, and goodnessSinceMark begins
	finishing    bool      // the slices that end next are the last ones
	finished     bool
	base, target map[string]uint64
}

// NewJudge returns a judge without counts.
func NewJudge() *Judge {
	return &Judge{
		totals:   make(map[member.Key]map[string]RouteCounts),
		evidence: make(map[string]*evidence),
		slices:   make(map[string]*slice),
		base:     make(map[string]uint64),
		target:   make(map[string]uint64),
	}
}

// Observe adds the totals of a reporter.
func (j *Judge) Observe(now time.Time, reporter member.Key, c Counts) {
	j.advance(now)
	known := j.totals[reporter]
	if known == nil {
		known = make(map[string]RouteCounts)
		j.totals[reporter] = known
	}
	for _, r := range c.Routes() {
		earlier := known[r.route]
		known[r.route] = r
		j.add(now, r.since(earlier))
	}
}

func (j *Judge) add(now time.Time, r RouteCounts) {
	var target uint64
	for _, t := range r.target {
		target += t.Requests()
	}
	for _, route := range [...]string{r.route, totalRoute} {
		j.base[route] += r.base.Requests()
		j.target[route] += target
		if j.finished {
			continue
		}
		if j.slices[route] == nil {
			j.slices[route] = &slice{begunAt: now}
		}
		j.slices[route].add(r.base, r.target)
		j.slices[route].requests += target
	}
	if target > 0 && j.firstAt.IsZero() {
		j.firstAt = now
	}
}

// advance closes the slices that are long enough.
func (j *Judge) advance(now time.Time) {
	if j.finished || now.Before(j.sliceEnd) {
		return
	}
	j.finished = j.finishing
	j.sliceEnd = now.Add(sliceLength)
	marked := j.marking
	j.marking = false
	for route, s := range j.slices {
		if !marked && s.requests < sliceRequests && now.Sub(s.begunAt) < maxSliceLength {
			continue
		}
		if j.evidence[route] == nil {
			j.evidence[route] = &evidence{}
		}
		j.evidence[route].add(s, now.Sub(j.firstAt) < startingPeriod)
		delete(j.slices, route)
	}
	if marked {
		for _, e := range j.evidence {
			e.sinceMark = [subsets]explanations{}
		}
	}
}

// finish ends the comparison, as requests to the base version end: those still in flight are the slow ones.
func (j *Judge) finish(now time.Time) {
	j.mark(now)
	j.finishing = true
}

// mark begins the time that goodnessSinceMark covers, at a change of the share. Slices do not extend over it: base and
// target would be counted over different times.
func (j *Judge) mark(now time.Time) {
	j.advance(now)
	j.marking, j.sliceEnd = true, now.Add(markDelay)
}

// goodness returns the least strength of evidence for a good version over all routes with traffic.
func (j *Judge) goodness(suspicion float64) float64 {
	return j.leastGoodness(func(e *evidence, subset int) float64 { return e.goodness(&e.sum, subset, suspicion) })
}

// totalGoodness returns the strength of evidence for a good version over all routes together.
func (j *Judge) totalGoodness(suspicion float64) float64 {
	total := j.evidence[totalRoute]
	if total == nil {
		return 0
	}
	return max(total.goodness(&total.sum, 0, suspicion), total.goodness(&total.sum, total.bestExclusion(), suspicion))
}

// suspicious reports whether there is evidence against the version on any route, of that strength at least.
func (j *Judge) suspicious(suspicion float64) bool {
	_, bad := j.badRoute(plainHypotheses, suspicion)
	return bad
}

func (j *Judge) goodnessSinceMark() float64 {
	return j.leastGoodness(func(e *evidence, subset int) float64 { return e.goodness(&e.sinceMark, subset, stepSuspicion) })
}

// leastGoodness returns the least strength over the routes, of all cohorts or without that of a faulty server. It leaves out
// the same cohort on all routes: the one that suits best on each would suit bad versions too.
func (j *Judge) leastGoodness(of func(e *evidence, subset int) float64) float64 {
	total := j.evidence[totalRoute]
	if total == nil {
		return 0
	}
	return max(j.leastOf(of, 0), j.leastOf(of, total.bestExclusion()))
}

func (j *Judge) leastOf(of func(e *evidence, subset int) float64, subset int) float64 {
	least := of(j.evidence[totalRoute], subset)
	for route, n := range j.base {
		if float64(n) < minRouteShare*float64(j.base[totalRoute]) {
			continue
		}
		e := j.evidence[route]
		if e == nil {
			return 0
		}
		least = min(least, of(e, subset))
	}
	return least
}

// badRoute returns a route on which the version is bad.
func (j *Judge) badRoute(ways int, threshold float64) (string, bool) {
	var bad []string
	for route, e := range j.evidence {
		if e.isBad(ways, threshold) {
			bad = append(bad, route)
		}
	}
	if len(bad) == 0 {
		return "", false
	}
	return slices.Min(bad), true
}

// Verdict returns the verdict at a time and its reason.
func (j *Judge) Verdict(now time.Time) (Verdict, string) {
	j.advance(now)
	if route, bad := j.badRoute(hypothesisCount, badThreshold); bad {
		return VerdictBad, j.describe(route)
	}
	if j.goodness(stepSuspicion) >= goodThreshold {
		return VerdictGood, ""
	}
	return VerdictUndecided, ""
}

func (j *Judge) describe(route string) string {
	if route == totalRoute {
		return "more failures or slower responses than the base version"
	}
	return fmt.Sprintf("more failures or slower responses than the base version on route %s", route)
}

// Requests returns the numbers of requests counted at the base and the target version.
func (j *Judge) Requests() (base, target uint64) { return j.base[totalRoute], j.target[totalRoute] }
