package burn

import "time"

// resolution is the bucket width and the number of buckets of a ring.
type resolution struct {
	bucketWidth time.Duration
	bucketCount int
}

// resolutions are those of the rings of a series. Each ring keeps one bucket more than its longest window
// needs, because the newest bucket is incomplete.
var resolutions = [...]resolution{
	{time.Minute, 61},
	{5 * time.Minute, 73},
	{time.Hour, 73},
}

const bucketsPerSeries = 61 + 73 + 73

// bucket counts the calls observed within one interval. Bad calls are included in calls.
type bucket struct {
	start    int64 // Unix seconds, a multiple of the bucket width
	calls    uint64
	badCalls uint64
}

// ring is a ring buffer of the newest buckets of one width, indexed by start time.
type ring struct {
	bucketWidth int64 // seconds
	buckets     []bucket
}

func newRing(r resolution) ring {
	return ring{bucketWidth: int64(r.bucketWidth / time.Second), buckets: make([]bucket, r.bucketCount)}
}

// add adds the calls of a shorter bucket, unless a newer bucket has taken its slot in the ring.
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

// nonEmptyBuckets returns the buckets with calls that lie within the ring's range at a Unix time, oldest first.
func (r *ring) nonEmptyBuckets(now int64) []bucket {
	newest := now - now%r.bucketWidth
	out := make([]bucket, 0, len(r.buckets))
	for i := len(r.buckets) - 1; i >= 0; i-- {
		start := newest - int64(i)*r.bucketWidth
		if start < 0 {
			continue
		}
		b := r.buckets[(start/r.bucketWidth)%int64(len(r.buckets))]
		if b.start == start && b.calls > 0 {
			out = append(out, b)
		}
	}
	return out
}
