package admission

import (
	"math"
	"time"
)

// How the stretch follows what is seen.
const (
	stretchWeight   = 1.0 / 8         // of one sample
	stretchHalfLife = 2 * time.Second // in which it fades towards 1 while nobody is seen to wait
	maxStretch      = 16
	stretchMargin   = 1.6                  // of the excess over 1, as waits vary
	leastExpected   = 5 * time.Millisecond // shorter waits say nothing
)

// stretch tells how much longer calls of a priority wait than their place in the queue lets expect, as more urgent
// ones go before them. Without it a queue takes in calls of which it can know that they will not get their slot, and
// holds them until it is too late for another server.
type stretch struct {
	factor float64 // 0 stands for 1
	at     time.Time
}

// current returns the factor as it has faded until now. It must fade: calls that are refused for it do not wait, and so
// can't show that the queue has become faster.
func (s stretch) current(now time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	halves := float64(now.Sub(s.at)) / float64(stretchHalfLife)
	return 1 + (s.factor-1)*math.Exp2(-max(halves, 0))
}

// apply returns the wait that a call must be able to bear to be queued.
func (s stretch) apply(now time.Time, expected time.Duration) time.Duration {
	return time.Duration((1 + stretchMargin*(s.current(now)-1)) * float64(expected))
}

func (s stretch) observe(now time.Time, expected, waited time.Duration) stretch {
	held := s.current(now)
	sample := min(float64(waited)/float64(max(expected, leastExpected)), maxStretch)
	return stretch{factor: max(held+stretchWeight*(sample-held), 1), at: now}
}

// waited notes how long a call was in the queue when it left it.
func (m *Queue) waited(now time.Time, t ticket) {
	m.stretch[t.priority] = m.stretch[t.priority].observe(now, t.expected, now.Sub(t.since))
}
