package burn

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// Limits on decoded counts.
const (
	maxWireNodes   = 10_000
	maxWireSeries  = 100_000
	maxWireBuckets = 2 * bucketsPerSeries
)

type wireCounts struct {
	Nodes   []wireNode   `json:"nodes"`
	TakenAt time.Time    `json:"at"`
	Series  []wireSeries `json:"series"`
}

type wireNode struct {
	Peer        string `json:"peer"`
	Incarnation uint64 `json:"incarnation,string"`
}

type wireSeries struct {
	Service           string       `json:"service"`
	Route             string       `json:"route"`
	Region            string       `json:"region"`
	Target            float64      `json:"target"`
	Latency           string       `json:"latency"`
	MinuteBuckets     []wireBucket `json:"minutes"`
	FiveMinuteBuckets []wireBucket `json:"five_minutes"`
	HourBuckets       []wireBucket `json:"hours"`
}

// wireBucket holds the start in Unix seconds, the calls and the bad calls.
type wireBucket [3]uint64

// EncodeCounts returns counts as JSON.
func EncodeCounts(c Counts) ([]byte, error) {
	w := wireCounts{TakenAt: c.takenAt, Nodes: make([]wireNode, 0, len(c.nodes)), Series: make([]wireSeries, 0, len(c.series))}
	for _, n := range c.nodes {
		w.Nodes = append(w.Nodes, wireNode{Peer: n.Peer().String(), Incarnation: uint64(n.Incarnation())})
	}
	for _, s := range c.series {
		w.Series = append(w.Series, wireSeries{
			Service: s.service, Route: s.route, Region: string(s.region),
			Target: s.objective.Target(), Latency: s.objective.Latency().String(),
			MinuteBuckets: encodeBuckets(s.rings[0]), FiveMinuteBuckets: encodeBuckets(s.rings[1]), HourBuckets: encodeBuckets(s.rings[2]),
		})
	}
	return json.Marshal(w)
}

func encodeBuckets(buckets []bucket) []wireBucket {
	out := make([]wireBucket, len(buckets))
	for i, b := range buckets {
		out[i] = wireBucket{uint64(b.start), b.calls, b.badCalls}
	}
	return out
}

// DecodeCounts decodes counts encoded by EncodeCounts.
func DecodeCounts(data []byte) (Counts, error) {
	var w wireCounts
	if err := json.Unmarshal(data, &w); err != nil {
		return Counts{}, err
	}
	if len(w.Nodes) > maxWireNodes || len(w.Series) > maxWireSeries {
		return Counts{}, fmt.Errorf("%d nodes and %d series; at most %d and %d are allowed", len(w.Nodes), len(w.Series), maxWireNodes, maxWireSeries)
	}
	c := Counts{takenAt: w.TakenAt}
	for _, n := range w.Nodes {
		peer, err := netip.ParseAddrPort(n.Peer)
		if err != nil {
			return Counts{}, err
		}
		c.nodes = append(c.nodes, member.NewKey(peer, member.Incarnation(n.Incarnation)))
	}
	for _, ws := range w.Series {
		s, err := decodeSeries(ws)
		if err != nil {
			return Counts{}, fmt.Errorf("route %q: %w", ws.Route, err)
		}
		c.series = append(c.series, s)
	}
	slices.SortFunc(c.nodes, compareKeys)
	slices.SortFunc(c.series, compareSeries)
	return c, nil
}

func decodeSeries(w wireSeries) (series, error) {
	latency, err := time.ParseDuration(w.Latency)
	if err != nil {
		return series{}, err
	}
	if w.Target <= 0 || w.Target >= 1 {
		return series{}, fmt.Errorf("target %v; must be above 0 and below 1", w.Target)
	}
	s := series{
		service: w.Service, route: w.Route, region: member.Region(w.Region),
		objective: record.NewObjective(w.Target, latency),
	}
	for i, buckets := range [][]wireBucket{w.MinuteBuckets, w.FiveMinuteBuckets, w.HourBuckets} {
		if s.rings[i], err = decodeBuckets(buckets, int64(resolutions[i].bucketWidth/time.Second)); err != nil {
			return series{}, err
		}
	}
	return s, nil
}

func decodeBuckets(wire []wireBucket, width int64) ([]bucket, error) {
	if len(wire) > maxWireBuckets {
		return nil, fmt.Errorf("%d buckets; at most %d are allowed", len(wire), maxWireBuckets)
	}
	out := make([]bucket, len(wire))
	for i, w := range wire {
		b := bucket{start: int64(w[0]), calls: w[1], badCalls: w[2]}
		if b.start < 0 || b.start%width != 0 || b.badCalls > b.calls || i > 0 && b.start <= out[i-1].start {
			return nil, fmt.Errorf("bucket %v; starts must be ascending multiples of %d seconds, and bad calls must not exceed calls", w, width)
		}
		out[i] = b
	}
	return out, nil
}
