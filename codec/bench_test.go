package codec

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// BenchmarkChange encodes and decodes change sets of several sizes and reports the size of the log entry.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1, 20, 200} {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) {
			var puts []record.Record
			for i := range n {
				o := record.NewObjective(0.999, 300*time.Millisecond)
				puts = append(puts, record.NewRoute2(fmt.Sprint("route-", i), fmt.Sprint("/path/to/", i), "narudzbe", true, 2*time.Second, nil, o))
			}
			c := record.NewChangeSet(record.PublishID{1, 2, 3}, "ana", 4711, puts, nil)
			size := 0
			for b.Loop() {
				data, err := EncodeChange(c)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
