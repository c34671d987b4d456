package rollout

import (
	"math"
	"time"
)

const (
	// canaryFraction is the part of the permitted exposure that the canary phase uses. The rest is for the time from the
	// first bad response of the raised phase to its end.
	canaryFraction = 0.7
	// canaryTime is the part of the time limit, counted from the order, before which the share is not raised.
	canaryTime = 0.4
	// canaryDuration is the least length of the canary phase: faults may appear some seconds after the start of a server.
	canaryDuration = 4500 * time.Millisecond
	// minServers is the number of servers of the target version from which a faulty one can be told from a bad version.
	minServers = Cohorts
	// minServersPatience is the part of the time limit in which the canary phase waits for that many.
	minServersPatience = 0.25
	firstRaise         = 250 // thousandths
	secondRaise        = 500
	// hurryTime is the time before the last moment for a raise from which rare routes need not be judged before it: at a
	// larger share they are judged sooner, and the permitted exposure bounds that.
	hurryTime = 3 * time.Second
	// stepThreshold is the strength of evidence since the last step that the next step needs.
	stepThreshold = 3
	// drainTime is the time in which requests to the base version end in the shifting phase.
	drainTime = 2500 * time.Millisecond
	// finishTime is kept free before the deadline for the last append and its status.
	finishTime = 1200 * time.Millisecond
	// settleTime is the time for a decision to reach all nodes and for requests to end at the new servers.
	settleTime = 700 * time.Millisecond
	// loadTime is the time in which the load of a server, and slow responses, show after a raise. Fast responses come first.
	loadTime = time.Second
	// budgetFraction is the part of the permitted exposure that the estimate before a raise may use.
	budgetFraction = 0.85
	// pressedFraction is the part of the permitted exposure from whose use on the raised phase ends with less evidence.
	pressedFraction = 0.8
	// pressedTime is the time before the last moment for the shifting phase from which the same holds.
	pressedTime = 1500 * time.Millisecond
	// haltFraction is the part of the permitted exposure at whose use the raised phase ends without a verdict.
	haltFraction = 0.9
	// requestTime is the time that requests are assumed to take: those in flight are not in the counts.
	requestTime = 300 * time.Millisecond
	// minCapacity is the part of the old servers that the new ones must be at least before they get all requests.
	minCapacity = 0.9
)

// next returns the next decision, if one is due.
func (r *run) next(now time.Time, s situation) (Decision, bool) {
	if r.order.Number() == 0 {
		return Decision{}, false
	}
	if !r.started() {
		if r.decision.Sequence() != 0 && !r.decision.Final() {
			return r.end(now, PhaseRolledBack, "replaced by another order"), true
		}
		return r.begin(now, s), !r.statusPending(now)
	}
	if r.decision.Final() {
		return Decision{}, false
	}
	r.checkHalt(now, s)
	if r.halt != "" {
		return r.end(now, PhaseRolledBack, r.halt), true
	}
	switch r.decision.Phase() {
	case PhaseCanary:
		return r.nextAfterCanary(now, s)
	case PhaseRaised:
		return r.nextAfterRaised(now, s)
	case PhaseShifting:
		return r.nextAfterShifting(now, s)
	}
	return Decision{}, false
}

// checkHalt notes the reason for which nothing may go to the target version any more.
func (r *run) checkHalt(now time.Time, s situation) {
	if r.halt != "" {
		return
	}
	verdict, reason := r.judge.Verdict(now)
	switch {
	case verdict == VerdictBad:
		r.halt = reason
	case r.decision.Phase() == PhaseShifting && r.judge.finished && r.lateDoubt():
		r.halt = "not good by the last reports before the shift"
	case r.decision.Phase() != PhaseShifting && r.left(now) < finishTime:
		r.halt = "no clear verdict before the deadline"
	case r.decision.Phase() == PhaseRaised && r.judge.goodness(haltSuspicion) < pressedThreshold && !r.affordable(now, 0, s, haltFraction):
		r.halt = "no clear verdict within the permitted exposure"
	}
}

// lateDoubt reports whether the last reports before the shifting phase speak against the version.
func (r *run) lateDoubt() bool {
	return r.judge.goodness(shiftSuspicion) < stepThreshold || r.judge.suspicious(shiftSuspicion)
}

func (r *run) left(now time.Time) time.Duration { return r.order.Limit() - now.Sub(r.order.At()) }

func (r *run) age(now time.Time) time.Duration { return now.Sub(r.order.At()) }

// fraction returns a part of the time limit.
func (r *run) fraction(part float64) time.Duration {
	return time.Duration(part * float64(r.order.Limit()))
}

// begin returns the first decision of an order, which sends nothing yet. If the target version is the base version
// already, there is nothing to move.
func (r *run) begin(now time.Time, s situation) Decision {
	d := DecisionFields{
		Service: r.order.Service(), Target: r.order.Target(), Base: s.base, Order: r.order.Number(),
		Phase: PhaseCanary, Age: r.age(now), Limit: r.order.Limit(), Reason: "ordered",
	}
	if s.base == r.order.Target() {
		d.Phase, d.Reason = PhaseCompleted, "the target version is the base version"
	}
	return NewDecision(d)
}

// step returns the decision that follows the last one.
func (r *run) step(now time.Time, phase Phase, share, servers int, reason string) Decision {
	d := r.decision.fields
	d.Phase, d.Share, d.Servers, d.Reason = phase, share, servers, reason
	d.Age, d.Halted, d.Sequence = now.Sub(r.order.At()), false, 0
	return NewDecision(d)
}

func (r *run) end(now time.Time, phase Phase, reason string) Decision {
	share := 0
	if phase == PhaseCompleted {
		share = FullShare
	}
	return r.step(now, phase, share, 0, reason)
}

func (r *run) nextAfterCanary(now time.Time, s situation) (Decision, bool) {
	ready := countUsable(s.members, r.decision.Target())
	if r.decision.Share() == 0 {
		return r.startCanary(now, s, ready)
	}
	if r.age(now) < r.fraction(canaryTime) || now.Sub(r.steppedAt) < min(canaryDuration, r.fraction(canaryTime)) {
		return Decision{}, false
	}
	good := r.judge.goodness(stepSuspicion) >= goodThreshold
	if r.left(now) < r.remaining(s)+hurryTime {
		good = r.judge.totalGoodness(stepSuspicion) >= goodThreshold && !r.judge.suspicious(stepSuspicion)
	}
	if !good || !r.revocable(s) || !r.affordable(now, firstRaise, s, budgetFraction) || ready < r.serversFor(firstRaise, s) {
		return Decision{}, false
	}
	return r.step(now, PhaseRaised, firstRaise, r.serversFor(firstRaise, s), "good so far"), true
}

func (r *run) startCanary(now time.Time, s situation, ready int) (Decision, bool) {
	old := countUsable(s.members, r.decision.Base())
	wanted := min(minServers, max(old, 1))
	if r.age(now) > r.fraction(minServersPatience) {
		wanted = 1
	}
	share := int(canaryFraction * r.settings.ExposureShare * FullShare)
	if ready < wanted || share == 0 {
		return Decision{}, false
	}
	return r.step(now, PhaseCanary, share, r.serversFor(share, s), "servers of the target version are ready"), true
}

// serversFor returns the number of servers of the target version that get about as much load with a share as old ones.
func (r *run) serversFor(share int, s situation) int {
	old := countUsable(s.members, r.decision.Base())
	return max(minServers, int(math.Round(float64(old*share)/FullShare)))
}

// dwell returns the least time of a step of the raised phase: all nodes have reported about it.
func (r *run) dwell(s situation) time.Duration {
	return r.reportDelay(s) + loadTime
}

// reportDelay returns the time in which nodes report, as measured if they take longer than they should.
func (r *run) reportDelay(s situation) time.Duration {
	return max(ReportInterval(s.fleet), r.reportGap)
}

// remaining returns the least time from a first raise to the end.
func (r *run) remaining(s situation) time.Duration {
	return r.dwell(s) + drainTime + finishTime
}

// revocable reports whether nodes report soon enough to take a version back within the time for that.
func (r *run) revocable(s situation) bool {
	return r.settings.RollbackTime == 0 || r.reportDelay(s)+settleTime <= r.settings.RollbackTime
}

// rate returns the requests of the service per second. Counts are totals since the order, also for a node that takes over.
func (r *run) rate(now time.Time, reportDelay float64) float64 {
	base, target := r.judge.Requests()
	return float64(base+target) / max(r.age(now).Seconds()-reportDelay/2, 1)
}

// affordable reports whether a share keeps a version that turns out bad within a part of the permitted exposure: until the
// nodes have reported, and the decision to go back has reached them.
func (r *run) affordable(now time.Time, share int, s situation, part float64) bool {
	_, target := r.judge.Requests()
	delay := r.reportDelay(s).Seconds()
	rate := r.rate(now, delay)
	unreported := rate * float64(r.decision.Share()) / FullShare * (delay/2 + requestTime.Seconds())
	expected := float64(target) + unreported + rate*float64(share)/FullShare*(delay+settleTime.Seconds())
	allowed := r.settings.ExposureShare*rate*r.order.Limit().Seconds() + float64(r.settings.ExposureSlack)
	return expected <= part*allowed
}

// needed returns the strength of evidence that ends the raised phase. While there is time and permitted exposure left, a
// longer look costs nothing: the error of stopping as soon as a weak bound is reached is much greater than that of the same
// bound at a fixed time.
func (r *run) needed(now time.Time, s situation) float64 {
	if r.left(now) < drainTime+finishTime+pressedTime || !r.affordable(now, 0, s, pressedFraction) {
		return pressedThreshold
	}
	return goodThreshold
}

func (r *run) nextAfterRaised(now time.Time, s situation) (Decision, bool) {
	if now.Sub(r.steppedAt) < r.dwell(s) || r.judge.goodnessSinceMark() < stepThreshold || r.judge.goodness(stepSuspicion) < r.needed(now, s) {
		return Decision{}, false
	}
	ready := countUsable(s.members, r.decision.Target())
	timeForRaise := r.left(now) > 2*r.dwell(s)+drainTime+finishTime
	if r.decision.Share() < secondRaise && timeForRaise {
		servers := r.serversFor(secondRaise, s)
		return r.step(now, PhaseRaised, secondRaise, servers, "good at a larger share"), ready >= servers
	}
	enough := float64(ready) >= minCapacity*float64(countUsable(s.members, r.decision.Base()))
	return r.step(now, PhaseShifting, FullShare, 0, "good at a larger share"), enough
}

// nextAfterShifting completes the roll-out when no request to the base version is known to be in flight. Nodes that do not
// report are waited for up to drainTime, and requests that nodes still report until the deadline is near.
func (r *run) nextAfterShifting(now time.Time, s situation) (Decision, bool) {
	waited := min(now.Sub(r.steppedAt), now.Sub(r.resumedAt))
	if waited < settleTime {
		return Decision{}, false
	}
	if countUsable(s.members, r.decision.Target()) == 0 {
		r.halt = "no server of the target version is ready"
		return r.end(now, PhaseRolledBack, r.halt), true
	}
	silent, inFlight := r.drainage(s.fleet)
	if (silent && waited < drainTime || inFlight) && r.left(now) > finishTime {
		return Decision{}, false
	}
	return r.end(now, PhaseCompleted, "good"), true
}

// drainage reports whether reporters have not yet answered to the last decision, and whether others have requests to the
// base version in flight.
func (r *run) drainage(fleet int) (silent, inFlight bool) {
	heard := 0
	for _, f := range r.inFlight {
		if f.sequence < r.decision.Sequence() {
			silent = true
			continue
		}
		heard++
		inFlight = inFlight || f.requests > 0
	}
	return silent || !r.own && heard < fleet, inFlight
}
