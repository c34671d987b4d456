package admission

import (
	"maps"
	"math"
	"time"
)

// Parameters of the wait ratio.
const (
	waitRatioWeight   = 1.0 / 8              // weight of one sample
	waitRatioHalfLife = 2 * time.Second      // of the decay towards 1 while no waits are observed
	maxWaitRatio      = 16                   // limit of a sample
	waitRatioMargin   = 1.6                  // multiplies the excess over 1, as waits vary
	minExpectedWait   = 5 * time.Millisecond // floor for samples, as the ratio of shorter waits is not meaningful
)

// waitRatio is the moving average of the ratio between the actual and the expected wait of calls of one class. It
// exceeds 1 when calls that arrive later overtake them. Without it, the queue accepts calls that it could know will not get a
// slot in time, and holds them until it is too late to try another server.
type waitRatio struct {
	value     float64 // 0 stands for 1
	updatedAt time.Time
}

// minRatioLimit is the least number of wait ratios from which decayed ones are forgotten.
const minRatioLimit = 256

// decayedRatio is the wait ratio below which it makes no difference for a flow.
const decayedRatio = 1.02

// waitClass groups calls whose waits exceed their estimates for the same reasons. Calls of a loud flow are overtaken by
// those of others, which must not count against these.
type waitClass struct {
	priority Priority
	flow     Flow
}

// current returns the ratio after its decay up to now. It must decay, because calls that are refused on account of the
// ratio do not wait and so yield no samples that could lower it again.
func (r waitRatio) current(now time.Time) float64 {
	if r.value == 0 {
		return 1
	}
	halfLives := float64(now.Sub(r.updatedAt)) / float64(waitRatioHalfLife)
	return 1 + (r.value-1)*math.Exp2(-max(halfLives, 0))
}

// scale returns the wait to allow for before a call is queued: the expected wait times the ratio and its margin.
func (r waitRatio) scale(now time.Time, expected time.Duration) time.Duration {
	return time.Duration((1 + waitRatioMargin*(r.current(now)-1)) * float64(expected))
}

// observe returns the ratio updated with one sample.
func (r waitRatio) observe(now time.Time, expected, waited time.Duration) waitRatio {
	old := r.current(now)
	sample := min(float64(waited)/float64(max(expected, minExpectedWait)), maxWaitRatio)
	return waitRatio{value: max(old+waitRatioWeight*(sample-old), 1), updatedAt: now}
}

// recordWait updates the wait ratio of a priority with a call that leaves the queue.
func (q *Queue) recordWait(now time.Time, c queuedCall) {
	class := waitClass{priority: c.priority, flow: c.flowName}
	q.waitRatios[class] = q.waitRatios[class].observe(now, c.expectedWait, now.Sub(c.queuedAt))
	if len(q.waitRatios) > q.ratioLimit {
		maps.DeleteFunc(q.waitRatios, func(_ waitClass, r waitRatio) bool { return r.current(now) < decayedRatio })
		q.ratioLimit = max(2*len(q.waitRatios), minRatioLimit)
	}
}
