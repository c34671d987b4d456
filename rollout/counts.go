package rollout

import (
	"math/bits"
	"time"
)

const (
	// Buckets is the number of buckets of a Tally.
	Buckets = 16
	// Cohorts is the number of groups into which the servers of the target version are divided, so that one faulty server
	// can be told from a bad version. The size of counts does not depend on the number of servers.
	Cohorts = 3

	bucketUnit = 256 * time.Microsecond
)

// BucketOf returns the bucket of a duration: bucket 0 ends at 256 µs, each further one at twice the end of the one before,
// and the last one has no end.
func BucketOf(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/bucketUnit)), Buckets-1)
}

// Tally counts responses: failures, and by duration those that did not fail.
type Tally struct {
	failures  uint32
	durations [Buckets]uint32
}

// NewTally returns a tally.
func NewTally(failures uint32, durations [Buckets]uint32) Tally {
	return Tally{failures: failures, durations: durations}
}

// Failures returns the number of failed requests: 5xx of the server, broken or corrupted responses, timeouts.
func (t Tally) Failures() uint32 { return t.failures }

// Durations returns the number of responses that did not fail, by bucket.
func (t Tally) Durations() [Buckets]uint32 { return t.durations }

// Requests returns the number of requests that ended.
func (t Tally) Requests() uint64 {
	n := uint64(t.failures)
	for _, d := range t.durations {
		n += uint64(d)
	}
	return n
}

func (t *Tally) record(failed bool, d time.Duration) {
	if failed {
		t.failures++
		return
	}
	t.durations[BucketOf(d)]++
}

// since returns what was counted after an earlier state of the same tally. Counts that went back count as new.
func (t Tally) since(earlier Tally) Tally {
	if t.failures < earlier.failures {
		return t
	}
	delta := Tally{failures: t.failures - earlier.failures}
	for i, n := range t.durations {
		if n < earlier.durations[i] {
			return t
		}
		delta.durations[i] = n - earlier.durations[i]
	}
	return delta
}

// RouteCounts are the responses of one route.
type RouteCounts struct {
	route  string
	base   Tally
	target [Cohorts]Tally
}

// NewRouteCounts returns the counts of a route: of the base version, and of the target version by cohort of servers.
func NewRouteCounts(route string, base Tally, target [Cohorts]Tally) RouteCounts {
	return RouteCounts{route: route, base: base, target: target}
}

// Route returns the name of the route.
func (c RouteCounts) Route() string { return c.route }

// Base returns the responses of the base version.
func (c RouteCounts) Base() Tally { return c.base }

// Target returns the responses of the target version by cohort of servers.
func (c RouteCounts) Target() [Cohorts]Tally { return c.target }

// since returns what was counted after an earlier report of the same reporter.
func (c RouteCounts) since(earlier RouteCounts) RouteCounts {
	c.base = c.base.since(earlier.base)
	for i := range c.target {
		c.target[i] = c.target[i].since(earlier.target[i])
	}
	return c
}

// CountsFields are the fields of Counts.
type CountsFields struct {
	Service        string
	Order          uint64 // number of the order that the counts belong to
	Sequence       uint64 // of the decision that the reporter follows
	Routes         []RouteCounts
	InFlightBase   int  // requests sent to the base version and not ended
	InFlightTarget int  // requests sent to the target version and not ended
	Guarded        bool // the reporter's guard has stopped the target version
}

// Counts are what one node has counted of a service since it first knew the order. They are totals, so that a later
// report makes up for a lost one.
type Counts struct{ fields CountsFields }

// NewCounts returns counts. It keeps the slice of routes.
func NewCounts(fields CountsFields) Counts { return Counts{fields: fields} }

// Service returns the service.
func (c Counts) Service() string { return c.fields.Service }

// Order returns the number of the order that the counts belong to.
func (c Counts) Order() uint64 { return c.fields.Order }

// Sequence returns the sequence of the decision that the reporter follows.
func (c Counts) Sequence() uint64 { return c.fields.Sequence }

// Routes returns the responses by route. The slice must not be changed.
func (c Counts) Routes() []RouteCounts { return c.fields.Routes }

// InFlightBase returns the number of requests sent to the base version and not ended.
func (c Counts) InFlightBase() int { return c.fields.InFlightBase }

// InFlightTarget returns the number of requests sent to the target version and not ended.
func (c Counts) InFlightTarget() int { return c.fields.InFlightTarget }

// Guarded reports whether the reporter's guard has stopped the target version.
func (c Counts) Guarded() bool { return c.fields.Guarded }

// ReportInterval returns the time between two reports of counts of a node, in a fleet with that many members. A node also
// reports at once when it takes over a decision: a report that covers two shares would compare different times.
func ReportInterval(members int) time.Duration {
	return max(250*time.Millisecond, 3*time.Millisecond*time.Duration(members))
}
