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

// Limits set by the users for the control plane of one node, and the project's own target for memory.
const (
	controlCPULimit   = 0.037    // share of a CPU core
	controlBytesLimit = 21_000   // bytes sent per second
	memoryLimit       = 64 << 20 // resident bytes
)

// BenchmarkProcesses starts fleets of node processes that get no calls, and measures the CPU time, the memory and the
// control bytes sent per node.
func BenchmarkProcesses(b *testing.B) {
	for _, size := range []int{12, 48, 120} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f, err := rig.New(programDir, b.TempDir(), rig.EvenPlacements(size))
			qt.Assert(b, err, qt.IsNil)
			b.Cleanup(f.Close)
			qt.Assert(b, f.StartAll(), qt.IsNil)
			qt.Assert(b, rig.WaitUntil(waitTimeout, f.AllReady), qt.IsNil)
			for b.Loop() {
				measureIdle(b, f)
			}
		})
	}
}

func measureIdle(b *testing.B, f *rig.Fleet) {
	const settleTime, measureTime = 10 * time.Second, 20 * time.Second
	time.Sleep(settleTime)
	cpu, bytes := totalCPU(b, f), controlBytesSent(b, f)
	time.Sleep(measureTime)
	nodes := float64(f.Size())
	share := (totalCPU(b, f) - cpu).Seconds() / measureTime.Seconds() / nodes
	rate := float64(controlBytesSent(b, f)-bytes) / measureTime.Seconds() / nodes
	resident, most := residentMemory(b, f)
	b.ReportMetric(100*share, "%core/node")
	b.ReportMetric(rate, "B/s/node")
	b.ReportMetric(float64(resident)/nodes/(1<<20), "MB/node")
	b.ReportMetric(float64(most)/(1<<20), "MB/node-max")
	b.ReportMetric(0, "ns/op")
	qt.Check(b, share <= controlCPULimit, qt.IsTrue, qt.Commentf("%.4f of a CPU core per node", share))
	qt.Check(b, rate <= controlBytesLimit, qt.IsTrue, qt.Commentf("%.0f control bytes per second and node", rate))
	qt.Check(b, most <= memoryLimit, qt.IsTrue, qt.Commentf("%d resident bytes", most))
}

func totalCPU(b *testing.B, f *rig.Fleet) (total time.Duration) {
	for i := range f.Size() {
		total += nodeCPU(b, f, i)
	}
	return total
}

func nodeCPU(b *testing.B, f *rig.Fleet, i int) time.Duration {
	u, err := f.Node(i).Usage()
	qt.Assert(b, err, qt.IsNil)
	return u.CPU()
}

func residentMemory(b *testing.B, f *rig.Fleet) (total, most int64) {
	for i := range f.Size() {
		u, err := f.Node(i).Usage()
		qt.Assert(b, err, qt.IsNil)
		total += u.Resident()
		most = max(most, u.Resident())
	}
	return total, most
}

// controlBytesSent returns the sum of the control bytes sent by all nodes according to their metrics.
func controlBytesSent(b *testing.B, f *rig.Fleet) (total int64) {
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
