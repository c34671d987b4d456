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

// schedule draws what happens to a world, from its seed alone.
type schedule struct {
	world   *world
	rnd     *rand.Rand
	planned bool // draws planned work only
	wg      sync.WaitGroup

	mu   sync.Mutex
	busy map[int]bool // nodes of which a signal is under way
	log  []string
}

func newSchedule(w *world, planned bool) *schedule {
	return &schedule{world: w, rnd: rand.New(rand.NewPCG(w.seed, 7)), planned: planned, busy: make(map[int]bool)}
}

// run does things until the context ends, then waits for what is under way.
func (s *schedule) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.step()
		time.Sleep(s.span(50*time.Millisecond, 900*time.Millisecond))
	}
	s.wg.Wait()
}

func (s *schedule) span(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)))
}

func (s *schedule) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%7.3fs ", time.Since(s.world.checks.start).Seconds())+fmt.Sprintf(format, args...))
}

// step draws one thing to do.
func (s *schedule) step() {
	node := s.rnd.IntN(len(s.world.nodes))
	kinds := 11
	if s.planned {
		kinds = 5
	}
	switch s.rnd.IntN(kinds) {
	case 0:
		s.signal(node, syscall.SIGTERM, 0)
	case 1:
		s.reload(node)
	case 2:
		s.storm(1)
	case 3:
		s.storm(2 + s.rnd.IntN(6))
	case 4:
		s.leave(node, s.rnd.IntN(3) == 0)
	case 5:
		s.signal(node, syscall.SIGKILL, 0)
	case 6:
		s.signal(node, syscall.SIGSTOP, s.span(300*time.Millisecond, 4*time.Second))
	case 7:
		s.harmProxy(s.world.toStore[node], node, "store")
	case 8:
		s.harmProxy(s.world.toServer[node], node, "server")
	case 9:
		s.harmStore()
	case 10:
		if s.rnd.IntN(4) == 0 {
			s.herd()
		}
	}
}

// claim keeps two signals from a node at once.
func (s *schedule) claim(node int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[node] {
		return false
	}
	s.busy[node] = true
	return true
}

func (s *schedule) release(node int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, node)
}

// signal stops, kills or pauses a node, and has it run again.
func (s *schedule) signal(node int, sig syscall.Signal, pause time.Duration) {
	if !s.claim(node) {
		return
	}
	down := s.span(20*time.Millisecond, 800*time.Millisecond)
	s.note("node %d: %v for %v", node, sig, max(pause, down))
	s.wg.Go(func() {
		defer s.release(node)
		w := s.world
		p := w.process(node)
		w.checks.disturb(node)
		defer w.checks.disturb(node)
		if sig == syscall.SIGTERM {
			if err := p.Stop(); err != nil {
				w.checks.fail("node %d did not stop cleanly: %v", node, err)
			}
		} else if sig == syscall.SIGKILL {
			w.checks.harm()
			p.Kill()
		} else {
			w.checks.harm()
			_ = p.Signal(sig)
			time.Sleep(pause)
			_ = p.Signal(syscall.SIGCONT)
			w.checks.harm()
			return
		}
		time.Sleep(down)
		if err := w.startNode(node, false); err != nil {
			w.checks.fail("node %d did not start: %v", node, err)
		}
		if sig == syscall.SIGKILL {
			w.checks.harm()
		}
	})
}

func (s *schedule) reload(node int) {
	s.note("node %d: SIGHUP", node)
	s.world.checks.disturb(node)
	_ = s.world.process(node).Signal(syscall.SIGHUP)
}

// storm publishes versions in quick succession.
func (s *schedule) storm(count int) {
	gap := s.span(20*time.Millisecond, 300*time.Millisecond)
	s.note("%d versions each %v", count, gap)
	s.wg.Go(func() {
		for range count {
			if err := s.world.publish(); err != nil {
				return // the store is away, so nothing was acknowledged
			}
			time.Sleep(gap)
		}
	})
}

func (s *schedule) leave(node int, silent bool) {
	if !s.claim(1000 + node) {
		return
	}
	s.note("the server beside node %d leaves, without a word before: %t", node, silent)
	s.wg.Go(func() {
		defer s.release(1000 + node)
		s.world.backends[node].leave(silent)
	})
}

func (s *schedule) harmProxy(p *proxy, node int, what string) {
	h := harm(1 + s.rnd.IntN(4))
	span := s.span(300*time.Millisecond, 4*time.Second)
	if !s.claim(2000 + node) {
		return
	}
	s.note("node %d to its %s: %v for %v", node, what, h, span)
	s.wg.Go(func() {
		defer s.release(2000 + node)
		s.world.checks.harm()
		s.world.checks.disturb(node)
		p.set(h)
		time.Sleep(span)
		p.set(harmNone)
		s.world.checks.disturb(node)
		s.world.checks.harm()
	})
}

// harmStore has the store refuse, break off, hang, slow down, lose answers or forget its history.
func (s *schedule) harmStore() {
	span := s.span(300*time.Millisecond, 4*time.Second)
	pairs := [][2]string{
		{"outage?kind=refuse", "outage?kind=off"},
		{"outage?kind=drop", "outage?kind=off"},
		{"outage?kind=hang", "outage?kind=off"},
		{"slow?delay=300ms", "slow?delay=0s"},
		{"lose-acks?count=3", "lose-acks?count=0"},
		{"trim?stream=keyed.op&before=1000000", "slow?delay=0s"},
	}
	pair := pairs[s.rnd.IntN(len(pairs))]
	if !s.claim(store) {
		return
	}
	s.note("store: %s for %v", pair[0], span)
	s.wg.Go(func() {
		defer s.release(store)
		s.world.checks.harm()
		s.world.checks.disturb(store)
		s.control(pair[0])
		time.Sleep(span)
		s.control(pair[1])
		s.world.checks.disturb(store)
		s.world.checks.harm()
	})
}

func (s *schedule) control(what string) {
	resp, err := s.world.client.Post("http://"+s.world.storeAddress()+"/control/"+what, "", nil)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		s.world.checks.fail("the store did not take %s: %v", what, err)
		return
	}
	_ = resp.Body.Close()
}

// herd kills most nodes at once.
func (s *schedule) herd() {
	for node := range s.world.nodes {
		if s.rnd.IntN(3) > 0 {
			s.signal(node, syscall.SIGKILL, 0)
		}
	}
}
