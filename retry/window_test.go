package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/retry"
)

// TestFleetStaysWithinWindowLimit lets twelve unevenly loaded nodes retry as often as their budgets permit, and checks
// the sum of their retries over sliding windows against the fleet-wide limit.
func TestFleetStaysWithinWindowLimit(t *testing.T) {
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
	var first, retries [steps]int
	for i := range steps {
		now := time.Unix(1000, 0).Add(time.Duration(i) * step)
		for n, w := range windows {
			if rnd.IntN(nodes) < n && (i/500)%3 != 1 {
				w.RecordFirstAttempt(now)
				first[i]++
			}
			for w.AllowRetry(now, nodes) {
				retries[i]++
			}
		}
	}
	window := int(span / step)
	for i := window; i < steps; i++ {
		requests, spent := 0, 0
		for j := i - window; j < i; j++ {
			requests += first[j]
			spent += retries[j]
		}
		qt.Assert(t, float64(spent) <= share*float64(max(requests, sumWindow(first[:], i-window/2, window)))+reserve, qt.IsTrue,
			qt.Commentf("%d retries for %d requests up to step %d", spent, requests, i))
	}
}

// sumWindow returns the sum of the counts in the window that ends before a step.
func sumWindow(counts []int, end, length int) int {
	sum := 0
	for j := max(end-length, 0); j < end; j++ {
		sum += counts[j]
	}
	return sum
}

func TestWindowDropsOldAttempts(t *testing.T) {
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

// TestCallsOfRetriedRequestsStayWithinWindowLimit lets all nodes retry as often as permitted at a failing service whose
// runs each make two calls to another failing service. At the called service, the calls made by retried requests and the
// retries of calls together must stay within the limit.
func TestCallsOfRetriedRequestsStayWithinWindowLimit(t *testing.T) {
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
	var requests, retries [steps]int
	for i := range steps {
		now := time.Unix(1000, 0).Add(time.Duration(i) * step)
		for n := range nodes {
			runs := 0
			if rnd.IntN(3) == 0 {
				parents[n].RecordFirstAttempt(now)
				runs++
				requests[i] += calls // calls of retried requests are not counted
			}
			for runs > 0 && parents[n].AllowRetry(now, nodes) {
				runs++
				retries[i] += calls
			}
			for range calls * runs {
				children[n].RecordFirstAttempt(now)
				if children[n].AllowRetry(now, nodes) {
					retries[i]++
				}
			}
		}
	}
	window := int(span / step)
	for i := window; i < steps; i++ {
		q, r := sumWindow(requests[:], i, window), sumWindow(retries[:], i, window)
		qt.Assert(t, float64(r) <= share*float64(q)+reserve, qt.IsTrue, qt.Commentf("%d retries for %d requests up to step %d", r, q, i))
	}
}
