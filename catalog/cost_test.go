package catalog

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// TestApplyAllocationsBounded guards against a cost per change set that grows with the number of records in force.
func TestApplyAllocationsBounded(t *testing.T) {
	const maxAllocs = 64
	for _, n := range []int{10, 2000} {
		f := newFixture(t)
		f.publishServices(0, n)
		i := 0
		var entries []record.Entry
		for range 101 {
			id := record.PublishID{9, byte(i >> 8), byte(i)}
			data, err := codec.EncodeChange(record.NewChangeSet(id, "ana", f.state.Version(), puts(service(fmt.Sprint("new", i))), nil))
			f.c.Assert(err, qt.IsNil)
			entries = append(entries, record.NewEntry(f.state.Head()+record.Offset(i), data))
			i++
		}
		allocs := testing.AllocsPerRun(100, func() {
			if _, err := f.state.Apply(entries[0]); err != nil {
				t.Fatal(err)
			}
			entries = entries[1:]
		})
		f.c.Check(allocs <= maxAllocs, qt.IsTrue, qt.Commentf("%v allocations at %d records", allocs, n))
	}
}

// BenchmarkMemory reports the heap size of a state with its snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) {
			data, err := newFilledState(b, n).Checkpoint()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				before := heapBytes()
				s, err := Restore(data)
				if err != nil {
					b.Fatal(err)
				}
				s.Snapshot()
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
