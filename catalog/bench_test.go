package catalog

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

var sizes = []int{100, 1000, 5000}

// newFilledState returns a state of n records with one service per 19 routes. Each record was put by a publish of its
// own, as after years of use.
func newFilledState(b *testing.B, n int) *State {
	s := New()
	rnd := rand.New(rand.NewPCG(1, 2))
	service := ""
	for i := range n {
		r := benchRoute(i, service)
		if i%20 == 0 {
			service = fmt.Sprint("service-", i/20)
			r = record.NewService(record.Schema2, service, 18)
		}
		var id record.PublishID
		binary.BigEndian.PutUint64(id[:], rnd.Uint64())
		binary.BigEndian.PutUint64(id[8:], rnd.Uint64())
		mustApply(b, s, record.NewChangeSet(id, "ana", s.Version(), puts(r), nil))
	}
	return s
}

func benchRoute(i int, service string) record.Record {
	o := record.NewObjective(0.999, 300*time.Millisecond)
	return record.NewRoute2(fmt.Sprint("route-", i), fmt.Sprint("/path/to/", i), service, true, 2*time.Second, nil, o)
}

func mustApply(b *testing.B, s *State, c record.ChangeSet) {
	data, err := codec.EncodeChange(c)
	if err != nil {
		b.Fatal(err)
	}
	result, err := s.Apply(record.NewEntry(s.Head(), data))
	if err != nil || result.Kind() != ResultAccepted {
		b.Fatal(result, err)
	}
}

// BenchmarkApply applies a change set of one route.
func BenchmarkApply(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) { benchApply(b, n, func(*State) {}) })
	}
}

// BenchmarkApplySnapshot applies a change set of one route and creates the snapshot.
func BenchmarkApplySnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) { benchApply(b, n, func(s *State) { s.Snapshot() }) })
	}
}

func benchApply(b *testing.B, n int, after func(s *State)) {
	s := newFilledState(b, n)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		id := record.PublishID{5, byte(i >> 16), byte(i >> 8), byte(i)}
		data, err := codec.EncodeChange(record.NewChangeSet(id, "ana", s.Version(), puts(benchRoute(1+i%19, "service-0")), nil))
		if err != nil {
			b.Fatal(err)
		}
		e := record.NewEntry(s.Head(), data)
		b.StartTimer()
		result, err := s.Apply(e)
		if err != nil || result.Kind() != ResultAccepted {
			b.Fatal(result, err)
		}
		after(s)
	}
}

func BenchmarkCheckpoint(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) {
			s := newFilledState(b, n)
			size := 0
			for b.Loop() {
				data, err := s.Checkpoint()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) {
			data, err := newFilledState(b, n).Checkpoint()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
