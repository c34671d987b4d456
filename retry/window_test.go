package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/retry"
)

// TestFleetKeepsWithinItsWindow has twelve nodes retry as often as they may, at uneven loads, and counts over sliding
// windows what all of them spend together.
func TestFleetKeepsWithinItsWindow(t *testing.T) {
	const (
		nodes   = 12
		span    = 10 * time.Second
		share   = 0.2
		reserve = 62
		step    = 20 * time.Millisecond
		steps   = 3000
	)
	settings := retry.WindowBudgetSettings{Span: span, Share: share / 2, Reserve: reserve / 2}
	rnd := rand.New(rand.NewPCG(1, 2))
	var windows []*retry.WindowBudget
	for range nodes {
		windows = append(windows, retry.NewWindowBudget(settings))
	}
	var first, spent [steps]int
	for i := range steps {
		now := time.Unix(1000, 0).Add(time.Duration(i) * step)
		for n, w := range windows {
			if rnd.IntN(nodes) < n && (i/500)%3 != 1 {
				w.RecordFirstAttempt(now)
				first[i]++
			}
			for w.AllowRetry(now, nodes) {
				spent[i]++
			}
		}
	}
	slots := int(span / step)
	for i := slots; i < steps; i++ {
		f, s := 0, 0
		for j := i - slots; j < i; j++ {
			f += first[j]
			s += spent[j]
		}
		qt.Assert(t, float64(s) <= share*float64(max(f, before(first[:], i-slots/2, slots)))+reserve, qt.IsTrue,
			qt.Commentf("%d retries for %d requests up to step %d", s, f, i))
	}
}

// before counts the requests of the window that ends at a step.
func before(first []int, end, slots int) int {
	sum := 0
	for j := max(end-slots, 0); j < end; j++ {
		sum += first[j]
	}
	return sum
}

func TestWindowForgets(t *testing.T) {
	c := qt.New(t)
	w := retry.NewWindowBudget(retry.WindowBudgetSettings{Span: 10 * time.Second, Share: 0.5, Reserve: 2})
	now := time.Unix(1000, 0)
	c.Assert(w.AllowRetry(now, 1), qt.IsTrue)
	c.Assert(w.AllowRetry(now, 1), qt.IsTrue)
	c.Assert(w.AllowRetry(now, 1), qt.IsFalse)
	w.RecordFirstAttempt(now)
	w.RecordFirstAttempt(now)
	c.Assert(w.AllowRetry(now, 1), qt.IsTrue)
	c.Assert(w.AllowRetry(now, 1), qt.IsFalse)
	later := now.Add(11 * time.Second)
	c.Assert(w.AllowRetry(later, 2), qt.IsTrue)
	c.Assert(w.AllowRetry(later, 2), qt.IsFalse)
}

// TestCallsOfRepeatedRunsKeepWithinTheWindow has all nodes repeat as often as they may at a service whose runs each make
// two calls to another one, which is failing too: there the calls of repeated runs and the repeats of calls together must
// keep to the limit.
func TestCallsOfRepeatedRunsKeepWithinTheWindow(t *testing.T) {
	const (
		nodes   = 12
		calls   = 2
		span    = 10 * time.Second
		share   = 0.2
		reserve = 60
		step    = 20 * time.Millisecond
		steps   = 2000
	)
	settings := retry.WindowBudgetSettings{Span: span, Share: share * retry.FleetSafetyFactor, Reserve: reserve * retry.FleetSafetyFactor}
	rnd := rand.New(rand.NewPCG(1, 2))
	var parents, children [nodes]*retry.WindowBudget
	for n := range nodes {
		parents[n], children[n] = retry.NewWindowBudget(settings), retry.NewWindowBudget(settings)
	}
	var requests, repeats [steps]int
	for i := range steps {
		now := time.Unix(1000, 0).Add(time.Duration(i) * step)
		for n := range nodes {
			runs := 0
			if rnd.IntN(3) == 0 {
				parents[n].RecordFirstAttempt(now)
				runs++
				requests[i] += calls // those of repeated runs don't count
			}
			for runs > 0 && parents[n].AllowRetry(now, nodes) {
				runs++
				repeats[i] += calls
			}
			for range calls * runs {
				children[n].RecordFirstAttempt(now)
				if children[n].AllowRetry(now, nodes) {
					repeats[i]++
				}
			}
		}
	}
	slots := int(span / step)
	for i := slots; i < steps; i++ {
		q, r := before(requests[:], i, slots), before(repeats[:], i, slots)
		qt.Assert(t, float64(r) <= share*float64(q)+reserve, qt.IsTrue, qt.Commentf("%d repeats for %d requests up to step %d", r, q, i))
	}
}
