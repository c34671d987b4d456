package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// handoverSim simulates owners that freeze and export their ledgers at any time, and nodes that store the exports they
// receive. Exports may be lost, duplicated, delayed and sent to any node; any node may look up any key at any time.
type handoverSim struct {
	draw   func(n int) int
	rnd    *rand.Rand
	now    time.Time
	owners []*Machine
	nodes  []*ExportStore
	sent   [][]byte

	keys          []Key
	running       []Key
	executions    map[Key]int
	notRun        map[Key]bool
	responses     map[Key]string
	finalVerdicts int // number of VerdictNotRun and VerdictReplay that exports gave
}

func newHandoverSim(draw func(n int) int, fault func(m *Machine)) *handoverSim {
	d := &handoverSim{
		draw: draw, rnd: rand.New(rand.NewPCG(1, 2)), now: start, nodes: []*ExportStore{NewExportStore(), NewExportStore(), NewExportStore()},
		executions: make(map[Key]int), notRun: make(map[Key]bool), responses: make(map[Key]string),
	}
	for tag := range Tag(3) {
		m := NewMachine(Settings{TTL: time.Minute, MaxClockSkew: time.Second, MaxKeys: 6, MaxResponseBytes: 64, MaxExportKeys: 3, MaxExportResponseBytes: 24}, tag, start)
		fault(m)
		d.owners = append(d.owners, m)
	}
	return d
}

func (d *handoverSim) run(steps int) error {
	for range steps {
		if err := d.step(); err != nil {
			return err
		}
		for k, n := range d.executions {
			if n > 1 || n == 1 && d.notRun[k] {
				return fmt.Errorf("key %v: %d executions, reported as not run: %t", k, n, d.notRun[k])
			}
		}
	}
	return nil
}

func (d *handoverSim) step() error {
	switch d.draw(12) {
	case 0, 1, 2:
		skew := time.Duration(d.draw(3)-1) * 500 * time.Millisecond
		d.keys = append(d.keys, NewKey("f", Tag(d.draw(3)), d.now.Add(skew), d.rnd))
	case 3, 4:
		return d.arrive()
	case 5:
		d.end()
	case 6:
		d.now = d.now.Add(time.Duration(d.draw(4000)) * time.Millisecond)
	case 7:
		return d.export(d.owners[d.draw(3)])
	case 8, 9:
		return d.deliver()
	default:
		return d.lookup()
	}
	return nil
}

func (d *handoverSim) arrive() error {
	if len(d.keys) == 0 {
		return nil
	}
	k := d.keys[d.draw(len(d.keys))]
	m := d.owners[d.draw(3)]
	verdict, response := m.Begin(d.now, k, 1)
	if verdict != VerdictRun {
		return d.recordVerdict(k, verdict, response)
	}
	if d.draw(3) == 0 {
		m.MarkNotRun(d.now, k)
		d.notRun[k] = true
		return nil
	}
	d.executions[k]++
	d.running = append(d.running, k)
	return nil
}

func (d *handoverSim) recordVerdict(k Key, verdict Verdict, response Response) error {
	switch verdict {
	case VerdictNotRun:
		d.notRun[k] = true
	case VerdictReplay:
		if string(response.Body()) != d.responses[k] {
			return fmt.Errorf("key %v: replayed %q, first %q", k, response.Body(), d.responses[k])
		}
	}
	return nil
}

func (d *handoverSim) end() {
	if len(d.running) == 0 {
		return
	}
	index := d.draw(len(d.running))
	k := d.running[index]
	d.running = append(d.running[:index], d.running[index+1:]...)
	m := d.owners[k.Owner()]
	if d.draw(4) == 0 {
		m.MarkUnknown(d.now, k)
		return
	}
	d.responses[k] = fmt.Sprintf("%08d", len(d.responses))
	m.Finish(d.now, k, NewResponse(200, nil, []byte(d.responses[k])))
}

// export attempts to export the ledger of an owner, in some cases after freezing it.
func (d *handoverSim) export(m *Machine) error {
	if d.draw(4) == 0 {
		m.Freeze(d.now)
	}
	e, err := m.Export()
	if err != nil {
		return nil
	}
	data, err := EncodeExport(e)
	d.sent = append(d.sent, data)
	return err
}

func (d *handoverSim) deliver() error {
	if len(d.sent) == 0 {
		return nil
	}
	e, err := DecodeExport(d.sent[d.draw(len(d.sent))])
	if err != nil {
		return err
	}
	_ = d.nodes[d.draw(3)].Add(d.now, e)
	return nil
}

func (d *handoverSim) lookup() error {
	if len(d.keys) == 0 {
		return nil
	}
	k := d.keys[d.draw(len(d.keys))]
	verdict, response := d.nodes[d.draw(3)].Lookup(d.now, k, 1)
	if verdict == VerdictRun {
		return fmt.Errorf("key %v: an export returned VerdictRun", k)
	}
	if verdict == VerdictNotRun || verdict == VerdictReplay {
		d.finalVerdicts++
	}
	return d.recordVerdict(k, verdict, response)
}

func TestHandoverKeepsAtMostOnce(t *testing.T) {
	finalVerdicts := 0
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		d := newHandoverSim(draw, func(*Machine) {})
		if err := d.run(300); err != nil {
			t.Fatal(err)
		}
		finalVerdicts += d.finalVerdicts
	})
	if finalVerdicts == 0 {
		t.Fatal("no lookup in an export returned VerdictNotRun or VerdictReplay")
	}
}

func TestHandoverSimDetectsFaultyExports(t *testing.T) {
	for name, fault := range map[string]func(m *Machine){
		"export before the freeze": func(m *Machine) {
			m.exportAllowed = func(m *Machine) bool { m.frozenAt = m.now; return true }
		},
		"omitted keys without a raised floor": func(m *Machine) {
			m.exportFloor = func(floor, _ time.Time) time.Time { return floor }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if newHandoverSim(rand.New(rand.NewPCG(seed, 1)).IntN, fault).run(300) != nil {
					return
				}
			}
			t.Fatal("the fault was not detected with any seed")
		})
	}
}

// newFrozenMachine returns a frozen machine with the given number of answered keys, each with a response of 100 bytes.
func newFrozenMachine(keys int) *Machine {
	rnd := rand.New(rand.NewPCG(1, 2))
	m := NewMachine(Settings{}, 1, start)
	header := []HeaderField{{"Content-Type", "text/plain"}, {"Date", "Thu, 03 Dec 2026 21:00:00 GMT"}}
	for n := range keys {
		now := start.Add(time.Duration(n) * time.Millisecond)
		k := NewKey("f", 1, now, rnd)
		m.Begin(now, k, Fingerprint(rnd.Uint64()))
		body := make([]byte, 100)
		for i := range body {
			body[i] = byte(rnd.Uint32())
		}
		m.Finish(now, k, NewResponse(200, header, body))
	}
	m.Freeze(start.Add(time.Duration(keys) * time.Millisecond))
	return m
}

func TestExportStoreIsBounded(t *testing.T) {
	c := qt.New(t)
	d := NewExportStore()
	key := NewKey("f", 1, start, rand.New(rand.NewPCG(1, 2)))
	for n := range 3 * maxStoredExports {
		e := Export{owner: Tag(n), floor: start.Add(-time.Second), frozenAt: start.Add(time.Second), ttl: time.Minute}
		c.Assert(d.Add(start, e), qt.IsNil)
	}
	c.Assert(d.Len(), qt.Equals, maxStoredExports)
	v, _ := d.Lookup(start, key, 1)
	c.Assert(v, qt.Equals, VerdictStale, qt.Commentf("its export was evicted"))
	c.Assert(d.Add(start, Export{owner: 1, floor: start.Add(-1), frozenAt: start.Add(1), ttl: time.Minute, entries: make([]exportEntry, maxStoredExportBytes/exportEntrySize+1)}), qt.Equals, ErrExportRejected)
	d.expire(start.Add(time.Minute))
	c.Assert(d.Len(), qt.Equals, 0)
	c.Assert(d.bytes, qt.Equals, 0)
}

func FuzzDecodeExport(f *testing.F) {
	for _, keys := range []int{0, 1, 20} {
		e, err := newFrozenMachine(keys).Export()
		qt.Assert(f, err, qt.IsNil)
		data, err := EncodeExport(e)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeExport(data)
		if err != nil {
			return
		}
		again, err := EncodeExport(e)
		qt.Assert(t, err, qt.IsNil)
		same, err := DecodeExport(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, fmt.Sprint(same), qt.Equals, fmt.Sprint(e))
	})
}

func BenchmarkExport(b *testing.B) {
	for _, keys := range []int{1000, 10800, 65536} {
		m := newFrozenMachine(keys)
		b.Run(fmt.Sprintf("encode/keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				e, _ := m.Export()
				data, _ := EncodeExport(e)
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
		e, _ := m.Export()
		data, _ := EncodeExport(e)
		b.Run(fmt.Sprintf("decode/keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				if _, err := DecodeExport(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
