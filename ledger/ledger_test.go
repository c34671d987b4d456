package ledger

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/member"
)

func init() {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	start = time.UnixMilli(1_800_000_000_000)
	peer  = netip.MustParseAddrPort("10.0.0.1:7000")
)

func TestKeyHoldsOwnerAndIssueTime(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	owner := TagOf(member.NewKey(peer, 7))
	c.Assert(owner, qt.Not(qt.Equals), TagOf(member.NewKey(peer, 8)))
	key := NewKey("kovani", owner, start, rnd)
	parsed, err := ParseKey("kovani", key.String())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.Equals, key)
	c.Assert(parsed.Owner(), qt.Equals, owner)
	c.Assert(parsed.IssuedAt().Equal(start), qt.IsTrue)
	c.Assert(NewKey("kovani", owner, start, rnd), qt.Not(qt.Equals), key)
}

func TestParseKeyRejectsForeignKeys(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	foreign := 0
	for range 1000 {
		if _, err := ParseKey("kovani", NewKey("cloghan", 1, start, rnd).String()); err == ErrForeign {
			foreign++
		}
	}
	c.Assert(foreign > 950, qt.IsTrue, qt.Commentf("%d of 1000", foreign))
	for _, text := range []string{"", "x", uuid.NewString(), uuid.Nil.String()} {
		_, err := ParseKey("kovani", text)
		c.Assert(err, qt.Equals, ErrMalformed)
	}
}

func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	m := NewMachine(Settings{TTL: time.Minute, MaxResponseBytes: 8}, 1, start)
	key := func(offset time.Duration) Key { return NewKey("f", 1, start.Add(offset), rnd) }
	begin := func(offset time.Duration, k Key) Verdict {
		v, _ := m.Begin(start.Add(offset), k, 1)
		return v
	}
	answered, lost, refused, large := key(0), key(0), key(0), key(0)
	for _, k := range []Key{answered, lost, refused, large} {
		c.Assert(begin(0, k), qt.Equals, VerdictRun)
		c.Assert(begin(0, k), qt.Equals, VerdictWait)
	}
	m.Finish(start, answered, NewResponse(200, nil, []byte("one")))
	m.MarkUnknown(start, lost)
	m.MarkNotRun(start, refused)
	c.Assert(begin(0, answered), qt.Equals, VerdictReplay)
	c.Assert(begin(0, lost), qt.Equals, VerdictUnknown)
	c.Assert(begin(0, refused), qt.Equals, VerdictNotRun)
	v, _ := m.Begin(start, answered, 2)
	c.Assert(v, qt.Equals, VerdictMismatch)
	m.Finish(start, large, NewResponse(200, nil, []byte("eight bytes")))
	c.Assert(begin(0, large), qt.Equals, VerdictUnknown, qt.Commentf("its response exceeds MaxResponseBytes"))
	c.Assert(begin(0, answered), qt.Equals, VerdictUnknown, qt.Commentf("its response was evicted"))
	c.Assert(m.ResponseBytes(), qt.Equals, 0)
	c.Assert(begin(0, key(time.Hour)), qt.Equals, VerdictFuture)
	c.Assert(begin(0, key(-time.Second)), qt.Equals, VerdictStale)
	c.Assert(begin(0, NewKey("f", 2, start, rnd)), qt.Equals, VerdictStale)
	c.Assert(begin(time.Minute, refused), qt.Equals, VerdictStale)
	c.Assert(m.Len(), qt.Equals, 0)
	c.Assert(begin(0, refused), qt.Equals, VerdictStale, qt.Commentf("the clock does not move backwards"))
}

// ownerSim simulates successive processes at one node address and the callers that send keys to them. Messages may be
// delayed, duplicated, and arrive after the process they were sent to has terminated.
type ownerSim struct {
	draw        func(n int) int
	rnd         *rand.Rand
	now         time.Time
	incarnation member.Incarnation
	machine     *Machine
	newMachine  func(w *ownerSim) *Machine
	refuse      func(m *Machine, now time.Time, k Key)

	keys       []Key
	running    []Key
	executions map[Key]int
	notRun     map[Key]bool
}

func newOwnerSim(draw func(n int) int) *ownerSim {
	return &ownerSim{
		draw: draw, rnd: rand.New(rand.NewPCG(1, 2)), now: start, incarnation: 1,
		newMachine: newSimMachine, refuse: (*Machine).MarkNotRun,
		executions: make(map[Key]int), notRun: make(map[Key]bool),
	}
}

func newSimMachine(w *ownerSim) *Machine {
	settings := Settings{TTL: time.Minute, MaxClockSkew: time.Second, MaxKeys: 4, MaxResponseBytes: 4}
	return NewMachine(settings, TagOf(member.NewKey(peer, w.incarnation)), w.now)
}

// run executes random steps. It returns an error if a key ran twice, or ran although it was reported as not run.
func (w *ownerSim) run(steps int) error {
	w.machine = w.newMachine(w)
	for range steps {
		w.step()
		for k, n := range w.executions {
			if n > 1 || n == 1 && w.notRun[k] {
				return fmt.Errorf("key %v: %d executions, reported as not run: %t", k, n, w.notRun[k])
			}
		}
	}
	return nil
}

func (w *ownerSim) step() {
	switch w.draw(8) {
	case 0:
		skew := time.Duration(w.draw(3)-1) * 500 * time.Millisecond
		w.keys = append(w.keys, NewKey("f", TagOf(member.NewKey(peer, w.incarnation)), w.now.Add(skew), w.rnd))
	case 1, 2, 3:
		w.arrive()
	case 4, 5:
		w.end()
	case 6:
		w.now = w.now.Add(time.Duration(w.draw(20)) * time.Second)
	case 7:
		if w.draw(4) == 0 {
			w.incarnation++
			w.running = nil
			w.machine = w.newMachine(w)
		}
	}
}

func (w *ownerSim) arrive() {
	if len(w.keys) == 0 {
		return
	}
	k := w.keys[w.draw(len(w.keys))]
	verdict, _ := w.machine.Begin(w.now, k, 1)
	switch verdict {
	case VerdictNotRun:
		w.notRun[k] = true
	case VerdictRun:
		if w.draw(3) == 0 { // as when the process drains or has no free slot
			w.refuse(w.machine, w.now, k)
			w.notRun[k] = true
			return
		}
		w.executions[k]++
		w.running = append(w.running, k)
	}
}

func (w *ownerSim) end() {
	if len(w.running) == 0 {
		return
	}
	index := w.draw(len(w.running))
	k := w.running[index]
	w.running = append(w.running[:index], w.running[index+1:]...)
	if w.draw(3) == 0 {
		w.machine.MarkUnknown(w.now, k)
		return
	}
	w.machine.Finish(w.now, k, NewResponse(200, nil, make([]byte, w.draw(4))))
}

func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOwnerSim(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		if err := w.run(300); err != nil {
			t.Fatal(err)
		}
		if w.machine.Len() > 4 || w.machine.ResponseBytes() > 4 {
			t.Fatalf("the ledger holds %d keys and %d bytes, want at most 4 of each", w.machine.Len(), w.machine.ResponseBytes())
		}
	})
}

func TestOwnerSimDetectsFaultyLedgers(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(w *ownerSim)
	}{
		{"drops keys without raising the floor", func(w *ownerSim) {
			w.newMachine = func(w *ownerSim) *Machine {
				m := newSimMachine(w)
				m.afterDrop = func(*Machine, *entry) {}
				return m
			}
		}},
		{"restarts with the same incarnation and no start time", func(w *ownerSim) {
			w.newMachine = func(w *ownerSim) *Machine {
				w.incarnation = 1
				m := newSimMachine(w)
				m.floor = time.Time{}
				return m
			}
		}},
		{"refuses without a tombstone", func(w *ownerSim) {
			w.refuse = func(m *Machine, _ time.Time, k Key) {
				m.drop(m.entries[k])
				m.floor = start.Add(-time.Hour)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(200) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				w := newOwnerSim(rnd.IntN)
				test.fault(w)
				if w.run(300) != nil {
					return
				}
			}
			t.Fatal("the fault was not detected with any seed")
		})
	}
}

// BenchmarkKey measures the ledger operations of one keyed call. B/op is the memory of a recorded key with a response
// of 100 bytes.
func BenchmarkKey(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 2))
	l := New(Settings{MaxKeys: 1 << 30, MaxResponseBytes: 1 << 40, TTL: 1000 * time.Hour}, 1, start)
	header := []HeaderField{{"Content-Type", "text/plain"}, {"Content-Length", "100"}, {"Date", "Thu, 03 Dec 2026 21:00:00 GMT"}}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		key := NewKey("fleet", 1, now, rnd)
		l.Begin(now, key, 1)
		l.Finish(now, key, NewResponse(200, header, make([]byte, 100)))
	}
}
