package admission

import (
	"math"
	"time"
)

// MinRate is the number of calls per second that are granted also if a lower limit is set. Without any call, no response
// could show that the limit has ended.
const MinRate = 0.25

// rateBurstTime is the time whose share of calls may start at once after a pause.
const rateBurstTime = 250 * time.Millisecond

// tokenTolerance absorbs the rounding of durations.
const tokenTolerance = 1e-6

// rateLimit is a token bucket. A call takes a token when it gets a slot.
type rateLimit struct {
	perSecond float64 // 0 for no limit
	tokens    float64
	updatedAt time.Time
}

// set changes the limit. A new limit starts without tokens, as the server may just have received many calls.
func (r *rateLimit) set(now time.Time, perSecond float64) {
	r.refill(now)
	r.perSecond = perSecond
	r.tokens = min(r.tokens, r.burst())
	r.updatedAt = now
}

func (r *rateLimit) burst() float64 { return max(r.perSecond*rateBurstTime.Seconds(), 1) }

func (r *rateLimit) refill(now time.Time) {
	if r.perSecond > 0 && now.After(r.updatedAt) {
		r.tokens = min(r.tokens+r.perSecond*now.Sub(r.updatedAt).Seconds(), r.burst())
		r.updatedAt = now
	}
}

// available reports whether a call may start.
func (r *rateLimit) available(now time.Time) bool {
	r.refill(now)
	return r.perSecond == 0 || r.tokens >= 1-tokenTolerance
}

func (r *rateLimit) take() {
	if r.perSecond > 0 {
		r.tokens = max(r.tokens-1, 0)
	}
}

// wait returns the time until the given number of further calls may have started.
func (r *rateLimit) wait(now time.Time, calls int) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	r.refill(now)
	seconds := max(float64(calls)-r.tokens, 0) / r.perSecond
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
