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

// Targets of the users: 210,000 calls per second over 580 nodes, and at most 0.31 ms added at the 99th percentile.
const (
	callsPerNode  = 360 // calls per second, about 210,000/580
	addedP99Limit = 310 * time.Microsecond
)

// BenchmarkAddedTime compares calls sent directly to a backend server with calls sent through an ingress node and the
// node beside the server, at 1, 10 and 50 times the call rate of one node. All of them are separate processes. Metrics
// are in microseconds. The target for the added time is checked at the call rate of one node only.
func BenchmarkAddedTime(b *testing.B) {
	for _, factor := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("rate=%d", factor*callsPerNode), func(b *testing.B) {
			f := startTwoNodes(b)
			for b.Loop() {
				added := measureAddedTime(b, f, factor*callsPerNode)
				if factor == 1 && added > addedP99Limit {
					b.Errorf("added %s for 99 in 100, limit %s", added, addedP99Limit)
				}
			}
		})
	}
}

// startTwoNodes starts two nodes in one failure domain, the second one with a backend server, and publishes a route to
// the server.
func startTwoNodes(b *testing.B) *rig.Fleet {
	b.Helper()
	placements := []rig.Placement{rig.NewPlacement("jadran", "split", "", 0), rig.NewPlacement("jadran", "split", "narudzbe", 64)}
	f, err := rig.New(programDir, b.TempDir(), placements)
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(f.Close)
	qt.Assert(b, f.StartLog(), qt.IsNil)
	qt.Assert(b, f.StartNode(0), qt.IsNil)
	qt.Assert(b, f.StartNode(1), qt.IsNil)
	qt.Assert(b, f.StartServer(1, "--work", "0s"), qt.IsNil)
	qt.Assert(b, rig.WaitUntil(waitTimeout, f.AllReady), qt.IsNil)
	path := filepath.Join(b.TempDir(), "records.toml")
	records := "[[service]]\nschema = 1\nname = \"narudzbe\"\n\n" +
		"[[route]]\nschema = 1\nname = \"katalog\"\npath = \"/katalog\"\nservice = \"narudzbe\"\nidempotent = true\n"
	qt.Assert(b, os.WriteFile(path, []byte(records), 0o600), qt.IsNil)
	_, err = f.RunCommand(0, "publish", path, "--wait")
	qt.Assert(b, err, qt.IsNil)
	client := newClient(f, 0)
	defer client.Close()
	call := browseCall
	call.Path = "/katalog"
	qt.Assert(b, rig.WaitUntil(waitTimeout, func() error { return checkAnswered(client, call) }), qt.IsNil)
	return f
}

// measureAddedTime alternates between direct calls and calls through the nodes, and returns the difference of the 99th
// percentiles of their times.
func measureAddedTime(b *testing.B, f *rig.Fleet, rate int) time.Duration {
	const rounds, warmUp, length = 4, 500 * time.Millisecond, 2 * time.Second
	direct, through := newHistogram(), newHistogram()
	_, _ = runLoad(f.BackendAddress(1), rate, warmUp), runLoad(f.CallersAddress(0), rate, warmUp)
	ingress, owner := nodeCPU(b, f, 0), nodeCPU(b, f, 1)
	for range rounds {
		direct.Merge(runLoad(f.BackendAddress(1), rate, length))
		through.Merge(runLoad(f.CallersAddress(0), rate, length))
	}
	calls := float64(through.TotalCount())
	b.ReportMetric(float64((nodeCPU(b, f, 0)-ingress).Microseconds())/calls, "ingress-cpu-us/call")
	b.ReportMetric(float64((nodeCPU(b, f, 1)-owner).Microseconds())/calls, "owner-cpu-us/call")
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

// runLoad makes calls at a rate for a time, from workers that reuse their connections, and returns a histogram of the
// call times. A call is timed from when it is sent, not from when it was due.
func runLoad(to netip.AddrPort, rate int, length time.Duration) *hdrhistogram.Histogram {
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
				_ = h.RecordValue(int64(measureCall(transport, to)))
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
		})
	}
	wg.Wait()
	return total
}

// measureCall returns the time that a call took, or the upper bound of the histogram if it failed.
func measureCall(transport *http.Transport, to netip.AddrPort) time.Duration {
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
