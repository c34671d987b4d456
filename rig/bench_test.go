package rig_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/rig"
)

// Targets of letter 1: 210,000 calls a second over 580 nodes, 0.31 ms added for 99 in 100.
const (
	callsPerNode  = 360 // calls a second
	addedP99Limit = 310 * time.Microsecond
)

// BenchmarkAddedTime measures, side by side, calls straight to a backend server and calls through an
// ingress node and the node beside that server, each process on its own, at 1, 10 and 50 times the rate
// of one node. Metrics are in microseconds. The bound is the target at the rate of one node.
func BenchmarkAddedTime(b *testing.B) {
	for _, factor := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("rate=%d", factor*callsPerNode), func(b *testing.B) {
			f := startPair(b)
			for b.Loop() {
				added := measureAdded(b, f, factor*callsPerNode)
				if factor == 1 && added > addedP99Limit {
					b.Errorf("added %s for 99 in 100, limit %s", added, addedP99Limit)
				}
			}
		})
	}
}

// startPair starts two nodes in one failure domain, of which the second has a backend server.
func startPair(b *testing.B) *rig.Fleet {
	b.Helper()
	spots := []rig.Placement{rig.NewPlacement("jadran", "split", "", 0), rig.NewPlacement("jadran", "split", "narudzbe", 64)}
	f, err := rig.New(programs, b.TempDir(), spots)
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(f.Close)
	qt.Assert(b, f.StartLog(), qt.IsNil)
	qt.Assert(b, f.StartNode(0), qt.IsNil)
	qt.Assert(b, f.StartNode(1), qt.IsNil)
	qt.Assert(b, f.StartServer(1, "--work", "0s"), qt.IsNil)
	qt.Assert(b, rig.WaitUntil(patience, f.AllReady), qt.IsNil)
	path := filepath.Join(b.TempDir(), "records.toml")
	records := "[[service]]\nschema = 1\nname = \"narudzbe\"\n\n" +
		"[[route]]\nschema = 1\nname = \"katalog\"\npath = \"/katalog\"\nservice = \"narudzbe\"\nidempotent = true\n"
	qt.Assert(b, os.WriteFile(path, []byte(records), 0o600), qt.IsNil)
	_, err = f.RunCommand(0, "publish", path, "--wait")
	qt.Assert(b, err, qt.IsNil)
	client := newClient(f, 0)
	defer client.Close()
	ask := browse
	ask.Path = "/katalog"
	qt.Assert(b, rig.WaitUntil(patience, func() error { return answers(client, ask) }), qt.IsNil)
	return f
}

// measureAdded makes rounds of calls on both ways in turn and returns the difference of the 99th percentiles.
func measureAdded(b *testing.B, f *rig.Fleet, rate int) time.Duration {
	const rounds, warmUp, length = 4, 500 * time.Millisecond, 2 * time.Second
	direct, through := newHistogram(), newHistogram()
	_, _ = offer(f.BackendAddress(1), rate, warmUp), offer(f.CallersAddress(0), rate, warmUp)
	ingress, owner := cpuOfNode(b, f, 0), cpuOfNode(b, f, 1)
	for range rounds {
		direct.Merge(offer(f.BackendAddress(1), rate, length))
		through.Merge(offer(f.CallersAddress(0), rate, length))
	}
	calls := float64(through.TotalCount())
	b.ReportMetric(float64((cpuOfNode(b, f, 0)-ingress).Microseconds())/calls, "ingress-cpu-us/call")
	b.ReportMetric(float64((cpuOfNode(b, f, 1)-owner).Microseconds())/calls, "owner-cpu-us/call")
	micros := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	b.ReportMetric(micros(direct, 50), "direct-p50-us")
	b.ReportMetric(micros(direct, 99), "direct-p99-us")
	b.ReportMetric(micros(through, 50), "through-p50-us")
	b.ReportMetric(micros(through, 99), "through-p99-us")
	b.Logf("rate %d: direct %.0f/%.0f us, through %.0f/%.0f us at 50/99 in 100", rate,
		micros(direct, 50), micros(direct, 99), micros(through, 50), micros(through, 99))
	added := micros(through, 99) - micros(direct, 99)
	b.ReportMetric(added, "added-p99-us")
	return time.Duration(added * float64(time.Microsecond))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Second), 3)
}

// offer makes calls at a rate for some time, from workers that each keep a connection, and returns the
// time that each call took from its sending on.
func offer(to netip.AddrPort, rate int, length time.Duration) *hdrhistogram.Histogram {
	const workers = 24
	transport := &http.Transport{MaxIdleConnsPerHost: workers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	total := newHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	period := time.Duration(workers) * time.Second / time.Duration(rate)
	begin := time.Now()
	for w := range workers {
		wg.Go(func() {
			h := newHistogram()
			for due := begin.Add(period * time.Duration(w) / workers); due.Sub(begin) < length; due = due.Add(period) {
				time.Sleep(time.Until(due))
				_ = h.RecordValue(int64(timeCall(transport, to)))
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
		})
	}
	wg.Wait()
	return total
}

// timeCall returns how long a call took, or the longest time there is if it failed.
func timeCall(transport *http.Transport, to netip.AddrPort) time.Duration {
	begin := time.Now()
	req, err := http.NewRequest(http.MethodGet, "http://"+to.String()+"/katalog", nil)
	if err != nil {
		return 10 * time.Second
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return 10 * time.Second
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		return 10 * time.Second
	}
	return time.Since(begin)
}
