package rig_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/call"
	"github.com/bambooknot/bambooknot/caller"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/rig"
	"github.com/bambooknot/bambooknot/timer"
)

// waitTimeout keeps a test from hanging. It is not a limit on recovery times.
const waitTimeout = 45 * time.Second

// programDir is the directory of the executables under test.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bambooknot-rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := rig.Build("..", dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programDir = dir
	return m.Run()
}

// startFleet starts a fleet and publishes the records of the demo to all nodes.
func startFleet(t *testing.T) *rig.Fleet {
	t.Helper()
	f, err := rig.New(programDir, t.TempDir(), rig.KovaniDvor())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.Close)
	qt.Assert(t, f.StartAll(), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(waitTimeout, f.AllReady), qt.IsNil)
	_, err = f.RunCommand(0, "publish", filepath.Join("..", "demo", "records.toml"), "--wait", "--timeout", waitTimeout.String())
	qt.Assert(t, err, qt.IsNil)
	return f
}

func newClient(f *rig.Fleet, node int) *caller.Client {
	return caller.New(caller.Settings{Node: f.CallersAddress(node), Timers: timer.New()})
}

var browseCall = caller.Call{Method: http.MethodGet, Path: "/narudzbe/katalog/ograde"}

// checkAnswered makes a call and returns an error unless it was answered with status 200.
func checkAnswered(c *caller.Client, q caller.Call) error {
	r := c.Do(context.Background(), q)
	if r.Outcome() != call.OutcomeAnswered || r.Status() != http.StatusOK {
		return fmt.Errorf("%s %s: %s %s, status %d, %v", q.Method, q.Path, r.Outcome(), r.Reason(), r.Status(), r.Err())
	}
	return nil
}

// checkVersion returns an error unless the configuration of a node has at least the version.
func checkVersion(f *rig.Fleet, node int, version record.Version) error {
	status, err := f.Status(node)
	if err != nil {
		return err
	}
	if got := status.Digest().Version(); got < version {
		return fmt.Errorf("node %d has configuration version %d, want %d", node, got, version)
	}
	return nil
}

func checkAllVersions(f *rig.Fleet, version record.Version) error {
	for i := range f.Size() {
		if err := checkVersion(f, i, version); err != nil {
			return err
		}
	}
	return nil
}

func publishService(t *testing.T, f *rig.Fleet, node int, name string) (string, error) {
	path := filepath.Join(t.TempDir(), name+".toml")
	text := fmt.Sprintf("[[service]]\nschema = 1\nname = %q\n", name)
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return f.RunCommand(node, "publish", path)
}

func TestRecoversFromKilledNodeAndLog(t *testing.T) {
	f := startFleet(t)
	client := newClient(f, 0)
	defer client.Close()

	const victim = 1
	f.Node(victim).Kill()
	f.Server(victim).Kill()
	qt.Assert(t, rig.WaitUntil(waitTimeout, func() error { return checkAnswered(client, browseCall) }), qt.IsNil)

	f.Log().Kill()
	qt.Assert(t, checkAnswered(client, browseCall), qt.IsNil)
	_, err := publishService(t, f, 2, "while-down")
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*exit status 5.*", qt.Commentf("a publish must change nothing while the log is down"))

	qt.Assert(t, f.StartNode(victim), qt.IsNil)
	qt.Assert(t, f.StartServer(victim), qt.IsNil)
	qt.Assert(t, f.StartLog(), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(waitTimeout, f.AllReady), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(waitTimeout, func() error {
		_, err := publishService(t, f, victim, "after")
		return err
	}), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(waitTimeout, func() error { return checkAllVersions(f, 2) }), qt.IsNil)
	qt.Assert(t, checkAnswered(client, browseCall), qt.IsNil)
}

func TestPausedNodeCatchesUp(t *testing.T) {
	f := startFleet(t)
	const paused, through = 4, 0
	qt.Assert(t, f.Node(paused).Signal(syscall.SIGSTOP), qt.IsNil)
	for _, name := range []string{"one", "two", "three"} {
		_, err := publishService(t, f, through, name)
		qt.Assert(t, err, qt.IsNil)
	}
	client := newClient(f, through)
	defer client.Close()
	qt.Assert(t, rig.WaitUntil(waitTimeout, func() error { return checkAnswered(client, browseCall) }), qt.IsNil)
	qt.Assert(t, f.Node(paused).Signal(syscall.SIGCONT), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(waitTimeout, func() error { return checkAllVersions(f, 4) }), qt.IsNil)
	own := newClient(f, paused)
	defer own.Close()
	qt.Assert(t, rig.WaitUntil(waitTimeout, func() error { return checkAnswered(own, browseCall) }), qt.IsNil)
}

// executionsByKey returns how often each request key was executed, summed over all backend servers.
func executionsByKey(t *testing.T, f *rig.Fleet) map[string]int {
	total := make(map[string]int)
	for i := range f.Size() {
		res, err := http.Get("http://" + f.BackendAddress(i).String() + "/control/executions")
		qt.Assert(t, err, qt.IsNil)
		counts := make(map[string]int)
		err = json.NewDecoder(res.Body).Decode(&counts)
		_ = res.Body.Close()
		qt.Assert(t, err, qt.IsNil)
		for key, n := range counts {
			total[key] += n
		}
	}
	return total
}

// runKeyedCalls makes keyed calls through a node until stop is closed and returns all results. Calls of unknown outcome
// are resumed through another node.
func runKeyedCalls(f *rig.Fleet, node int, stop <-chan struct{}) []caller.Result {
	first, second := newClient(f, node), newClient(f, (node+5)%f.Size())
	defer first.Close()
	defer second.Close()
	q := caller.Call{Method: http.MethodPost, Path: "/radionica/termin", Keyed: true, Body: []byte("termin")}
	var results []caller.Result
	for {
		select {
		case <-stop:
			return results
		default:
		}
		r := first.Do(context.Background(), q)
		results = append(results, r)
		if r.Outcome() == call.OutcomeUnknown && r.Key() != "" {
			results = append(results, second.Resume(context.Background(), q, r.Key()))
		}
	}
}

func TestKeyedCallsRunAtMostOnceWhenNodesFail(t *testing.T) {
	f := startFleet(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	results := make([][]caller.Result, 6)
	for i := range results {
		wg.Go(func() { results[i] = runKeyedCalls(f, 3*(i%4), stop) })
	}
	// Nodes 2, 5, 8 and 11 have the servers of radionica. The server processes keep running, so that the counts survive.
	for _, victim := range []int{2, 8} {
		time.Sleep(time.Second)
		f.Node(victim).Kill()
	}
	time.Sleep(time.Second)
	qt.Check(t, f.Node(5).Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(time.Second)
	qt.Check(t, f.Node(5).Signal(syscall.SIGCONT), qt.IsNil)
	qt.Check(t, f.StartNode(2), qt.IsNil)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	runs := executionsByKey(t, f)
	for key, n := range runs {
		qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, n))
	}
	counts := make(map[call.Outcome]int)
	for _, r := range flatten(results) {
		counts[r.Outcome()]++
		if r.Outcome() == call.OutcomeNotRun && r.Key() != "" {
			qt.Check(t, runs[r.Key()], qt.Equals, 0, qt.Commentf("key %s was executed despite outcome not-run", r.Key()))
		}
		if r.Outcome() == call.OutcomeAnswered {
			qt.Check(t, runs[r.Key()], qt.Equals, 1, qt.Commentf("key %s was answered", r.Key()))
		}
	}
	t.Logf("outcomes: %v", counts)
	qt.Assert(t, counts[call.OutcomeAnswered] > 0, qt.IsTrue)
}

func flatten(results [][]caller.Result) []caller.Result {
	var all []caller.Result
	for _, r := range results {
		all = append(all, r...)
	}
	return all
}

func TestGracefulShutdownFailsNoCalls(t *testing.T) {
	f := startFleet(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	for _, node := range []int{0, 4, 7, 10} {
		wg.Go(func() {
			client := newClient(f, node)
			defer client.Close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := checkAnswered(client, browseCall); err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	qt.Check(t, f.Node(1).Stop(), qt.IsNil)
	qt.Check(t, f.Node(6).Stop(), qt.IsNil)
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	qt.Assert(t, failures, qt.HasLen, 0)
}

// TestAllNodesRestartAtOnce guards against loss of accepted records, and nodes that do not recover, when all nodes are
// killed and restarted together while the log is up.
func TestAllNodesRestartAtOnce(t *testing.T) {
	f := startFleet(t)
	_, err := publishService(t, f, 3, "accepted")
	qt.Assert(t, err, qt.IsNil)
	restartNodes(t, f)
	qt.Assert(t, rig.WaitUntil(waitTimeout, f.AllReady), qt.IsNil)
	qt.Assert(t, checkAllVersions(f, 2), qt.IsNil, qt.Commentf("a ready node must have the accepted records"))

	client := newClient(f, 7)
	defer client.Close()
	qt.Assert(t, rig.WaitUntil(waitTimeout, func() error { return checkAnswered(client, browseCall) }), qt.IsNil)
}

// restartNodes kills every node and starts them all again.
func restartNodes(t *testing.T, f *rig.Fleet) {
	for i := range f.Size() {
		f.Node(i).Kill()
	}
	for i := range f.Size() {
		qt.Assert(t, f.StartNode(i), qt.IsNil)
	}
}

// TestNodesRestartWhileLogIsDown restarts some of the nodes while the log is down. Nodes with hints get the
// configuration from the nodes that kept running. A node without hints rejoins only if other nodes still probe its
// address; if it becomes ready, it must have the accepted records.
func TestNodesRestartWhileLogIsDown(t *testing.T) {
	f := startFleet(t)
	f.Log().Kill()
	killed := []int{2, 4, 6, 8, 10}
	for _, i := range killed {
		f.Node(i).Kill()
	}
	const withoutHints = 2
	qt.Assert(t, f.StartNode(withoutHints), qt.IsNil)
	f.UseHints(2)
	for _, i := range killed[1:] {
		qt.Assert(t, f.StartNode(i), qt.IsNil)
	}
	for _, i := range killed[1:] {
		qt.Assert(t, rig.WaitUntil(waitTimeout, func() error { return f.Ready(i) }), qt.IsNil)
		qt.Assert(t, checkVersion(f, i, 1), qt.IsNil)
	}
	if f.Ready(withoutHints) == nil {
		qt.Assert(t, checkVersion(f, withoutHints, 1), qt.IsNil)
	}

	qt.Assert(t, f.StartLog(), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(waitTimeout, f.AllReady), qt.IsNil)
	qt.Assert(t, checkAllVersions(f, 1), qt.IsNil)
}
