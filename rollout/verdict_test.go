package rollout

import (
	"flag"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var rollouts = flag.Int("rollouts", 4, "simulated roll-outs of each kind")

// TestVerdicts guards against bad versions that are completed or reach too many requests, and good ones that are rolled
// back, over seeded roll-outs of each kind.
func TestVerdicts(t *testing.T) {
	for _, limit := range []time.Duration{16 * time.Second, 60 * time.Second} {
		for _, test := range []struct {
			name  string
			fault simFault
		}{
			{"good", simFault{}},
			{"good, servers start over 4 s", simFault{spread: true}},
			{"good, both versions fail", simFault{both: true, fails: 0.5}},
			{"good, both versions slow", simFault{both: true, slow: 1}},
			{"good, one server fails", simFault{grey: true, fails: 0.6}},
			{"good, one server slow", simFault{grey: true, slow: 1}},
			{"good, few samples", simFault{few: true}},
			{"good, slow tails", simFault{heavy: true}},
			{"0.4 fail", simFault{bad: true, fails: 0.4}},
			{"0.4 fail, few samples", simFault{bad: true, fails: 0.4, few: true}},
			{"all fail", simFault{bad: true, fails: 1}},
			{"0.4 fail on one route", simFault{bad: true, fails: 0.4, oneRoute: true}},
			{"0.4 fail on one route, few samples", simFault{bad: true, fails: 0.4, oneRoute: true, few: true}},
			{"0.4 fail from 3 s on", simFault{bad: true, fails: 0.4, delay: 3 * time.Second}},
			{"0.4 fail under load", simFault{bad: true, fails: 0.4, loaded: true}},
			{"0.4 slow", simFault{bad: true, slow: 0.4}},
			{"0.4 slow, slow tails", simFault{bad: true, slow: 0.4, heavy: true}},
			{"all slow", simFault{bad: true, slow: 1}},
			{"0.4 slow on one route", simFault{bad: true, slow: 0.4, oneRoute: true}},
			{"0.4 slow on one route, few samples", simFault{bad: true, slow: 0.4, oneRoute: true, few: true}},
			{"0.4 slow from 3 s on", simFault{bad: true, slow: 0.4, delay: 3 * time.Second}},
			{"0.4 slow under load", simFault{bad: true, slow: 0.4, loaded: true}},
		} {
			t.Run(limit.String()+"/"+test.name, func(t *testing.T) { checkVerdicts(t, test.fault, limit) })
		}
	}
}

func checkVerdicts(t *testing.T, fault simFault, limit time.Duration) {
	var mu sync.Mutex
	wrong, exposure, late := 0, 0.0, time.Duration(0)
	one := func(seed int) {
		s := newSim(uint64(seed), fault, limit)
		s.run()
		mu.Lock()
		defer mu.Unlock()
		if want := map[bool]Phase{true: PhaseRolledBack, false: PhaseCompleted}[fault.bad]; s.final.Phase() != want {
			wrong++
			t.Logf("seed %d: %v at %v: %s; rate %.0f, %d nodes, reports every %v, route %s", seed, s.final.Phase(), s.final.Age(), s.final.Reason(), s.rate, len(s.nodes), s.interval, s.badRoute)
		}
		if fault.bad {
			exposure = max(exposure, float64(s.exposed)/(0.1*float64(s.requests)+50))
			if !s.fiftiethAt.IsZero() {
				late = max(late, s.lastSentAt.Sub(s.fiftiethAt))
			}
		}
	}
	var wg sync.WaitGroup
	for part := range 2 {
		wg.Go(func() {
			for seed := part; seed < *rollouts; seed += 2 {
				one(seed)
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d wrong, at most %.2f of the permitted exposure, last request %v after the 50th bad response", wrong, *rollouts, exposure, late)
	if fault.bad {
		qt.Check(t, wrong, qt.Equals, 0)
	}
	qt.Check(t, wrong*100 <= *rollouts, qt.IsTrue)
	qt.Check(t, exposure <= 1, qt.IsTrue)
	qt.Check(t, late <= 5*time.Second, qt.IsTrue)
}

// With a limit of 16 s, the least traffic and the rarest reports, a version that is slow on the rarest route must not be
// completed. These seeds are.
func TestVerdictSlowRareRoute(t *testing.T) {
	for _, seed := range []uint64{171, 673, 954} {
		s := newSim(seed, simFault{bad: true, slow: 0.4, oneRoute: true, few: true}, 16*time.Second)
		s.run()
		qt.Check(t, s.final.Phase(), qt.Equals, PhaseRolledBack)
	}
}
