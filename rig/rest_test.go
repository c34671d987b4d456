package rig_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/rig"
)

// Limits of letter 1 for the control of one node, and the project's own target for memory.
const (
	controlCPULimit   = 0.037 // share of a core
	controlBytesLimit = 21_000
	memoryLimit       = 64 << 20
)

// BenchmarkProcesses starts fleets of real processes without calls, lets them rest and measures what a
// node uses: processor time, memory and control bytes.
func BenchmarkProcesses(b *testing.B) {
	for _, size := range []int{12, 48, 120} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f, err := rig.New(programs, b.TempDir(), rig.EvenPlacements(size))
			qt.Assert(b, err, qt.IsNil)
			b.Cleanup(f.Close)
			qt.Assert(b, f.StartAll(), qt.IsNil)
			qt.Assert(b, rig.WaitUntil(patience, f.AllReady), qt.IsNil)
			for b.Loop() {
				measureRest(b, f)
			}
		})
	}
}

func measureRest(b *testing.B, f *rig.Fleet) {
	const settle, span = 10 * time.Second, 20 * time.Second
	time.Sleep(settle)
	cpu, bytes := cpuOf(b, f), bytesOf(b, f)
	time.Sleep(span)
	nodes := float64(f.Size())
	share := (cpuOf(b, f) - cpu).Seconds() / span.Seconds() / nodes
	rate := float64(bytesOf(b, f)-bytes) / span.Seconds() / nodes
	resident, most := residentOf(b, f)
	b.ReportMetric(100*share, "%core/node")
	b.ReportMetric(rate, "B/s/node")
	b.ReportMetric(float64(resident)/nodes/(1<<20), "MB/node")
	b.ReportMetric(float64(most)/(1<<20), "MB/node-max")
	b.ReportMetric(0, "ns/op")
	qt.Check(b, share <= controlCPULimit, qt.IsTrue, qt.Commentf("%.4f of a core", share))
	qt.Check(b, rate <= controlBytesLimit, qt.IsTrue, qt.Commentf("%.0f bytes a second", rate))
	qt.Check(b, most <= memoryLimit, qt.IsTrue, qt.Commentf("%d bytes", most))
}

func cpuOf(b *testing.B, f *rig.Fleet) (total time.Duration) {
	for i := range f.Size() {
		total += cpuOfNode(b, f, i)
	}
	return total
}

func cpuOfNode(b *testing.B, f *rig.Fleet, i int) time.Duration {
	u, err := f.Node(i).Usage()
	qt.Assert(b, err, qt.IsNil)
	return u.CPU()
}

func residentOf(b *testing.B, f *rig.Fleet) (total, most int64) {
	for i := range f.Size() {
		u, err := f.Node(i).Usage()
		qt.Assert(b, err, qt.IsNil)
		total += u.Resident()
		most = max(most, u.Resident())
	}
	return total, most
}

// bytesOf adds up the control bytes that all nodes have sent, from their metrics.
func bytesOf(b *testing.B, f *rig.Fleet) (total int64) {
	for i := range f.Size() {
		res, err := http.Get("http://" + f.ObserveAddress(i).String() + "/metrics")
		qt.Assert(b, err, qt.IsNil)
		lines := bufio.NewScanner(res.Body)
		for lines.Scan() {
			name, value, _ := strings.Cut(lines.Text(), " ")
			if !strings.Contains(name, "link_datagram_bytes_sent") && !strings.Contains(name, "link_frame_bytes_sent") {
				continue
			}
			if n, err := strconv.ParseFloat(value, 64); err == nil {
				total += int64(n)
			}
		}
		_ = res.Body.Close()
	}
	return total
}
