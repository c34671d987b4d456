package burn

import "time"

// resolution is one ring of buckets: how long a bucket is and how many are kept.
type resolution struct {
	bucketWidth time.Duration
	bucketCount int
}

// The rings of a series. Each keeps one bucket more than its longest window needs, because the newest
// bucket is not complete.
var resolutions = [...]resolution{
	{time.Minute, 61},
	{5 * time.Minute, 73},
	{time.Hour, 73},
}

const bucketsPerSeries = 61 + 73 + 73

// bucket counts the calls within one stretch of time, bad ones included.
type bucket struct {
	start    int64 // Unix seconds, a multiple of the width
	calls    uint64
	badCalls uint64
}

// ring holds the newest buckets of one width, addressed by time.
type ring struct {
	bucketWidth int64 // seconds
	buckets     []bucket
}

func newRing(r resolution) ring {
	return ring{bucketWidth: int64(r.bucketWidth / time.Second), buckets: make([]bucket, r.bucketCount)}
}

// add counts the calls of a shorter bucket. One that is older than the ring reaches is left out.
func (r *ring) add(shorter bucket) {
	start := shorter.start - shorter.start%r.bucketWidth
	b := &r.buckets[(start/r.bucketWidth)%int64(len(r.buckets))]
	if start < b.start {
		return
	}
	if start > b.start {
		*b = bucket{start: start}
	}
	b.calls += shorter.calls
	b.badCalls += shorter.badCalls
}

// nonEmptyBuckets returns the buckets with calls that the ring still reaches at a Unix time, oldest first.
func (r *ring) nonEmptyBuckets(now int64) []bucket {
	newest := now - now%r.bucketWidth
	kept := make([]bucket, 0, len(r.buckets))
	for i := len(r.buckets) - 1; i >= 0; i-- {
		start := newest - int64(i)*r.bucketWidth
		if start < 0 {
			continue
		}
		b := r.buckets[(start/r.bucketWidth)%int64(len(r.buckets))]
		if b.start == start && b.calls > 0 {
			kept = append(kept, b)
		}
	}
	return kept
}
