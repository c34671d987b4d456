package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// series holds the buckets of one route in one region under one objective.
type series struct {
	service   string
	route     string
	region    member.Region
	objective record.Objective
	rings     [len(resolutions)][]bucket // oldest first
}

func compareSeries(a, b series) int {
	return cmp.Or(
		cmp.Compare(a.service, b.service),
		cmp.Compare(a.region, b.region),
		cmp.Compare(a.route, b.route),
		cmp.Compare(a.objective.Target(), b.objective.Target()),
		cmp.Compare(a.objective.Latency(), b.objective.Latency()),
	)
}

// Counts holds the counts of one or more nodes. The zero Counts covers no node.
type Counts struct {
	nodes   []member.Key // sorted
	takenAt time.Time    // latest time at which one of the nodes took its counts
	series  []series     // sorted
}

// Nodes returns the nodes that the counts cover. The caller must not change the slice.
func (c Counts) Nodes() []member.Key { return c.nodes }

// TakenAt returns the time up to which calls were counted.
func (c Counts) TakenAt() time.Time { return c.takenAt }

// Merge returns the sum of the counts of different nodes. It is commutative and associative. Buckets are
// aligned by wall clock, so clock skew between nodes blurs the edges of windows.
func Merge(a, b Counts) Counts {
	out := Counts{takenAt: a.takenAt}
	if b.takenAt.After(a.takenAt) {
		out.takenAt = b.takenAt
	}
	out.nodes = slices.Concat(a.nodes, b.nodes)
	slices.SortFunc(out.nodes, compareKeys)
	out.series = mergeSeries(a.series, b.series)
	return out
}

func compareKeys(a, b member.Key) int {
	return cmp.Or(a.Peer().Compare(b.Peer()), cmp.Compare(a.Incarnation(), b.Incarnation()))
}

func mergeSeries(a, b []series) []series {
	out := make([]series, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch order := compareSeries(a[0], b[0]); {
		case order < 0:
			out, a = append(out, a[0]), a[1:]
		case order > 0:
			out, b = append(out, b[0]), b[1:]
		default:
			out = append(out, addSeries(a[0], b[0]))
			a, b = a[1:], b[1:]
		}
	}
	return append(append(out, a...), b...)
}

func addSeries(a, b series) series {
	for i := range a.rings {
		a.rings[i] = mergeBuckets(a.rings[i], b.rings[i])
	}
	return a
}

func mergeBuckets(a, b []bucket) []bucket {
	out := make([]bucket, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0].start < b[0].start:
			out, a = append(out, a[0]), a[1:]
		case a[0].start > b[0].start:
			out, b = append(out, b[0]), b[1:]
		default:
			sum := bucket{start: a[0].start, calls: a[0].calls + b[0].calls, badCalls: a[0].badCalls + b[0].badCalls}
			out, a, b = append(out, sum), a[1:], b[1:]
		}
	}
	return append(append(out, a...), b...)
}
