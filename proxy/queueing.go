package proxy

import (
	"time"

	"github.com/bambooknot/bambooknot/admission"
)

// Bounds of the queue for a server. They only limit memory: requests normally leave the queue earlier, when they would
// start too late.
const (
	maxQueue     = 512
	maxQueueWait = 5 * time.Second
)

// maxPriorityRank is the least urgent priority of organisations and of routes that the queue distinguishes.
const maxPriorityRank = 15

// nestedPriority is the priority of nested requests, above those of all organisations and routes.
var nestedPriority = admission.NewPriority(maxPriorityRank+1, 0)

// queuePriority maps the priorities of a request's organisation and route, of which 0 is the most urgent, to a priority in
// the queue; that of the organisation goes first. Under overload, a request whose target latency has passed, such as a
// caller's second attempt, yields to those of its route priority that can still be answered in time: a slot given to it
// would make another one late, too.
//
// Nested requests come first: their parents hold slots of other servers meanwhile, and fail if one of them is refused.
func queuePriority(c Call) admission.Priority {
	if c.nested {
		return nestedPriority
	}
	rank := 2 * priorityRank(c.priority)
	if c.timeToTarget > 0 {
		rank++
	}
	return admission.NewPriority(priorityRank(c.organisation.priority), rank)
}

// priorityRank returns a rank in the queue, of which the greatest is the most urgent.
func priorityRank(priority int) uint8 {
	return uint8(maxPriorityRank - min(max(priority, 0), maxPriorityRank))
}

// latestStart returns the time by which a request must start to run, given the upper bound of its run time. Under
// overload, a request that is unlikely to meet its target latency is refused early, while the caller can still try another
// server or retry later, and the slots go to requests that can meet their target. A request whose target has passed
// already may wait as long as it can still finish before its deadline. So may a nested request, as only the latency of its
// parent counts, whose run would be lost.
func latestStart(now time.Time, c Call, maxRunTime time.Duration) time.Time {
	if c.nested {
		return now.Add(max(c.timeLeft-maxRunTime, c.timeLeft/minWaitDivisor))
	}
	if c.timeToTarget <= 0 {
		return now.Add(max(c.timeLeft-maxRunTime, minTimeToStart))
	}
	maxWait := max(c.timeToTarget-maxRunTime, c.timeToTarget/minWaitDivisor)
	return now.Add(min(maxWait, c.timeLeft))
}

// latestResponse returns the time by which the response to a request has to leave the node: within the target latency as
// long as that has not passed.
func latestResponse(now time.Time, c Call) time.Time {
	if c.timeToTarget > 0 && !c.nested {
		return now.Add(min(c.timeToTarget, c.timeLeft))
	}
	return now.Add(c.timeLeft)
}

// cannotFinish reports whether a request would miss its deadline even if it started immediately, given the lower bound of
// its run time. Such requests are made near the deadline of a parent request; they would take slots from others and then
// be abandoned.
func cannotFinish(c Call, minRunTime time.Duration) bool { return c.timeLeft < minRunTime }

// canFinishRetry reports whether a retry can finish in the time left if it takes as long as the last attempt. While servers
// fail, retries that cannot finish would use up the budget of those that can.
func canFinishRetry(timeLeft, lastAttempt time.Duration) bool { return timeLeft >= lastAttempt }

// minWaitDivisor sets the time that any request may wait, as a fraction of the time to its target. Without this minimum, a
// class with a few slow samples would be refused permanently, since no request could run and lower the estimate again.
const minWaitDivisor = 8

// minTimeToStart is the least time that a request is given to start once its target has passed, so that a free slot is
// always used.
const minTimeToStart = time.Millisecond

// Bounds of the Retry-After time of refused requests.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// expectedSlotWait estimates when a slot is free for a refused request: after the queued calls have run.
func expectedSlotWait(queued, slots int, runTime time.Duration) time.Duration {
	return runTime * time.Duration(queued+1) / time.Duration(max(slots, 1))
}

// retryDelay returns the Retry-After time for the expected wait for a slot and the wait that the limit of the server
// demands.
func retryDelay(slotWait, rateWait time.Duration) time.Duration {
	return min(max(slotWait, rateWait, minRetryAfter), maxRetryAfter)
}
