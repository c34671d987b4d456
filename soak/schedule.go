package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// schedule starts random events in a fleet. It draws their kinds, targets and durations from a generator seeded with the
// seed of the fleet.
type schedule struct {
	fleet       *fleet
	rnd         *rand.Rand
	statements  *rand.Rand // for events that backend servers and the store bring about, so that rnd draws as for earlier seeds
	crashes     *rand.Rand // for crashes of backend servers and what comes with them, for the same reason
	upgrades    *rand.Rand // for the order of an upgrade, for the same reason
	restarts    *rand.Rand // for restarts of backend servers under their IDs, for the same reason
	fatalCount  int        // requests that crash backend servers so far
	plannedOnly bool       // no faults
	wg          sync.WaitGroup

	mu      sync.Mutex
	claimed map[int]bool // targets of an event in progress
	log     []string
}

func newSchedule(f *fleet, plannedOnly bool) *schedule {
	return &schedule{fleet: f, rnd: rand.New(rand.NewPCG(f.seed, 7)), statements: rand.New(rand.NewPCG(f.seed, 8)), crashes: rand.New(rand.NewPCG(f.seed, 9)), upgrades: rand.New(rand.NewPCG(f.seed, 10)), restarts: rand.New(rand.NewPCG(f.seed, 11)), plannedOnly: plannedOnly, claimed: make(map[int]bool)}
}

// run starts events until the context ends, then waits for those in progress.
func (s *schedule) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.startRandomEvent()
		s.startStatementEvent()
		s.startCrashEvent(ctx)
		s.startRestartEvent()
		time.Sleep(s.randomDuration(50*time.Millisecond, 900*time.Millisecond))
	}
	s.wg.Wait()
	if !s.plannedOnly {
		s.loseTwoVersions()
	}
}

// loseTwoVersions ends the faults with a return of the store from a copy that lacks two versions. The newest one is published
// again and another one follows, so that the store ends where readers had stopped.
func (s *schedule) loseTwoVersions() {
	s.logEvent("store: loses two versions; one is published again, and a new one")
	f := s.fleet
	kept, _ := f.newestVersion()
	s.postStoreControl("copy")
	for range 2 {
		if err := f.publish(); err != nil {
			f.checker.fail("publishing without a fault of the store: %v", err)
		}
	}
	time.Sleep(time.Second)
	f.checker.recordFault()
	f.checker.recordDisturbance(storeIndex)
	s.postStoreControl("outage?kind=drop")
	time.Sleep(500 * time.Millisecond)
	f.publishAgain(kept, false, func() {
		s.postStoreControl("restore")
		s.postStoreControl("outage?kind=off")
	})
	if err := f.publish(); err != nil {
		f.checker.fail("publishing after the return of the store: %v", err)
	}
	f.checker.recordDisturbance(storeIndex)
	f.checker.recordFault()
}

func (s *schedule) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)))
}

func (s *schedule) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%7.3fs ", time.Since(s.fleet.checker.start).Seconds())+fmt.Sprintf(format, args...))
}

// startRandomEvent starts one event. Kinds 0 to 4 are planned work, the others are faults.
func (s *schedule) startRandomEvent() {
	node := s.rnd.IntN(len(s.fleet.nodes))
	kinds := 11
	if s.plannedOnly {
		kinds = 5
	}
	switch s.rnd.IntN(kinds) {
	case 0:
		s.signal(node, syscall.SIGTERM, 0)
	case 1:
		s.reload(node)
	case 2:
		s.publishBurst(1)
	case 3:
		s.publishBurst(2 + s.rnd.IntN(6))
	case 4:
		s.drainBackend(node, s.rnd.IntN(3) == 0)
	case 5:
		s.signal(node, syscall.SIGKILL, 0)
	case 6:
		s.signal(node, syscall.SIGSTOP, s.randomDuration(300*time.Millisecond, 4*time.Second))
	case 7:
		s.injectProxyFault(s.fleet.storeProxies[node], node, "store")
	case 8:
		s.injectProxyFault(s.fleet.serverProxies[node], node, "server")
	case 9:
		s.injectStoreFault()
	case 10:
		if s.rnd.IntN(4) == 0 {
			s.killMostNodes()
		}
	}
}

// startStatementEvent starts, half of the time, an event of what servers say about themselves, or a return of the store from
// a copy.
func (s *schedule) startStatementEvent() {
	rnd := s.statements
	node, kind, duration := rnd.IntN(len(s.fleet.nodes)), rnd.IntN(10), 3*time.Second+time.Duration(rnd.Int64N(int64(6*time.Second)))
	backend := s.fleet.backends[node]
	switch {
	case kind < 2:
		limit := []float64{0.3, 5.6, 8, 40}[rnd.IntN(4)]
		restarts := duration.Milliseconds()%2 == 0
		s.onBackend(node, fmt.Sprintf("states a limit of %v for %v, with a restart of its node: %t", limit, duration, restarts), func() {
			if restarts {
				s.wg.Go(func() { s.restartDuringLimit(node) })
			}
			backend.limitFor(limit, duration)
		})
	case kind == 2:
		s.onBackend(node, "leaves by its responses", backend.leaveByResponses)
	case kind == 3:
		s.onBackend(node, fmt.Sprintf("sends responses twice for %v", duration), func() { backend.copyFor(duration) })
	case kind == 4 && !s.plannedOnly:
		s.restoreStore(time.Duration(rnd.Int64N(int64(3*time.Second))), time.Duration(rnd.Int64N(int64(2*time.Second))), rnd.IntN(2) == 0)
	}
}

// restartDuringLimit restarts the node of a limited server several times once the limit has to be kept.
func (s *schedule) restartDuringLimit(node int) {
	time.Sleep(limitNotice + toldNotice)
	sig := syscall.SIGKILL
	if s.plannedOnly {
		sig = syscall.SIGTERM
	}
	for range 3 {
		if s.claim(node) {
			s.signalClaimed(node, sig, 0, 100*time.Millisecond)
		}
		time.Sleep(time.Second)
	}
}

// onBackend runs an event of a backend server unless another one is in progress there.
func (s *schedule) onBackend(node int, what string, run func()) {
	if !s.claim(1000 + node) {
		return
	}
	s.logEvent("node %d: backend server %s", node, what)
	s.wg.Go(func() {
		defer s.release(1000 + node)
		run()
	})
}

// restoreStore takes a copy of the store, and has the store return from it after an outage. The operator then publishes
// again what was lost, all versions or the newest one only.
func (s *schedule) restoreStore(age, away time.Duration, all bool) {
	if !s.claim(storeIndex) {
		return
	}
	s.logEvent("store: returns from a copy %v old after %v away; all versions are published again: %t", age, away, all)
	s.wg.Go(func() {
		defer s.release(storeIndex)
		version, _ := s.fleet.newestVersion()
		s.postStoreControl("copy")
		time.Sleep(age)
		s.fleet.checker.recordFault()
		s.fleet.checker.recordDisturbance(storeIndex)
		s.postStoreControl("outage?kind=drop")
		time.Sleep(away)
		s.fleet.publishAgain(version, all, func() {
			s.postStoreControl("restore")
			s.postStoreControl("outage?kind=off")
		})
		s.fleet.checker.recordDisturbance(storeIndex)
		s.fleet.checker.recordFault()
	})
}

// claim reports whether no event with the same target is in progress, and marks the target if so. The targets are the
// index of a node, the same plus 1000 for its backend server and plus 2000 for its proxies, and storeIndex.
func (s *schedule) claim(target int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimed[target] {
		return false
	}
	s.claimed[target] = true
	return true
}

func (s *schedule) release(target int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claimed, target)
}

// signal stops or kills a node and restarts it, or freezes it for the length of pause.
func (s *schedule) signal(node int, sig syscall.Signal, pause time.Duration) {
	if s.claim(node) {
		s.signalClaimed(node, sig, pause, s.randomDuration(20*time.Millisecond, 800*time.Millisecond))
	}
}

// signalClaimed is signal for a node that is claimed. A node that stops is restarted after it was down for some time.
func (s *schedule) signalClaimed(node int, sig syscall.Signal, pause, down time.Duration) {
	s.logEvent("node %d: %v for %v", node, sig, max(pause, down))
	s.wg.Go(func() {
		defer s.release(node)
		f := s.fleet
		p := f.process(node)
		f.checker.recordDisturbance(node)
		defer f.checker.recordDisturbance(node)
		if sig == syscall.SIGTERM {
			if err := p.Stop(); err != nil {
				f.checker.fail("node %d did not stop cleanly: %v", node, err)
			}
		} else if sig == syscall.SIGKILL {
			f.checker.recordFault()
			p.Kill()
		} else {
			f.checker.recordFault()
			_ = p.Signal(sig)
			time.Sleep(pause)
			_ = p.Signal(syscall.SIGCONT)
			f.checker.recordFault()
			return
		}
		time.Sleep(down)
		if err := f.startNode(node, false); err != nil {
			f.checker.fail("node %d did not start: %v", node, err)
		}
		if sig == syscall.SIGKILL {
			f.checker.recordFault()
		}
	})
}

func (s *schedule) reload(node int) {
	s.logEvent("node %d: SIGHUP", node)
	s.fleet.checker.recordDisturbance(node)
	_ = s.fleet.process(node).Signal(syscall.SIGHUP)
}

// publishBurst publishes count versions in quick succession.
func (s *schedule) publishBurst(count int) {
	gap := s.randomDuration(20*time.Millisecond, 300*time.Millisecond)
	s.logEvent("publish %d versions, one each %v", count, gap)
	s.wg.Go(func() {
		for range count {
			if err := s.fleet.publish(); err != nil {
				return // the store is unavailable and has not acknowledged the version
			}
			time.Sleep(gap)
		}
	})
}

func (s *schedule) drainBackend(node int, silent bool) {
	if !s.claim(1000 + node) {
		return
	}
	s.logEvent("node %d: backend server is replaced; no report before it leaves: %t", node, silent)
	s.wg.Go(func() {
		defer s.release(1000 + node)
		s.fleet.backends[node].replaceInstance(silent)
	})
}

func (s *schedule) injectProxyFault(p *proxy, node int, target string) {
	f := fault(1 + s.rnd.IntN(4))
	duration := s.randomDuration(300*time.Millisecond, 4*time.Second)
	if !s.claim(2000 + node) {
		return
	}
	s.logEvent("node %d: fault %v between it and its %s for %v", node, f, target, duration)
	s.wg.Go(func() {
		defer s.release(2000 + node)
		s.fleet.checker.recordFault()
		s.fleet.checker.recordDisturbance(node)
		p.setFault(f)
		time.Sleep(duration)
		p.setFault(faultNone)
		s.fleet.checker.recordDisturbance(node)
		s.fleet.checker.recordFault()
	})
}

// injectStoreFault makes the store refuse or drop requests, hang, slow down, lose acknowledgements or trim its log. Each
// pair holds the control request that starts a fault and the one that ends it; a trim can't be undone.
func (s *schedule) injectStoreFault() {
	duration := s.randomDuration(300*time.Millisecond, 4*time.Second)
	pairs := [][2]string{
		{"outage?kind=refuse", "outage?kind=off"},
		{"outage?kind=drop", "outage?kind=off"},
		{"outage?kind=hang", "outage?kind=off"},
		{"slow?delay=300ms", "slow?delay=0s"},
		{"lose-acks?count=3", "lose-acks?count=0"},
		{"trim?stream=keyed.op&before=1000000", "slow?delay=0s"},
	}
	pair := pairs[s.rnd.IntN(len(pairs))]
	if !s.claim(storeIndex) {
		return
	}
	s.logEvent("store: %s for %v", pair[0], duration)
	s.wg.Go(func() {
		defer s.release(storeIndex)
		s.fleet.checker.recordFault()
		s.fleet.checker.recordDisturbance(storeIndex)
		s.postStoreControl(pair[0])
		time.Sleep(duration)
		s.postStoreControl(pair[1])
		s.fleet.checker.recordDisturbance(storeIndex)
		s.fleet.checker.recordFault()
	})
}

func (s *schedule) postStoreControl(request string) {
	resp, err := s.fleet.client.Post("http://"+s.fleet.storeAddress()+"/control/"+request, "", nil)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		s.fleet.checker.fail("control request %s to the store failed: %v", request, err)
		return
	}
	_ = resp.Body.Close()
}

// killMostNodes kills each node with a probability of two thirds.
func (s *schedule) killMostNodes() {
	for node := range s.fleet.nodes {
		if s.rnd.IntN(3) > 0 {
			s.signal(node, syscall.SIGKILL, 0)
		}
	}
}
