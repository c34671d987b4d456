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

// patience guards against a hang: it is no bound on a time that matters.
const patience = 45 * time.Second

// programs is the folder of the built programs.
var programs string

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
	programs = dir
	return m.Run()
}

// startFleet starts a fleet with the records of the demo in force on all nodes.
func startFleet(t *testing.T) *rig.Fleet {
	t.Helper()
	f, err := rig.New(programs, t.TempDir(), rig.KovaniDvor())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.Close)
	qt.Assert(t, f.StartAll(), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(patience, f.AllReady), qt.IsNil)
	_, err = f.RunCommand(0, "publish", filepath.Join("..", "demo", "records.toml"), "--wait", "--timeout", patience.String())
	qt.Assert(t, err, qt.IsNil)
	return f
}

func newClient(f *rig.Fleet, node int) *caller.Client {
	return caller.New(caller.Settings{Node: f.CallersAddress(node), Timers: timer.New()})
}

var browse = caller.Call{Method: http.MethodGet, Path: "/narudzbe/katalog/ograde"}

// answers makes a call and returns an error unless it was answered whole.
func answers(c *caller.Client, q caller.Call) error {
	r := c.Do(context.Background(), q)
	if r.Outcome() != call.OutcomeAnswered || r.Status() != http.StatusOK {
		return fmt.Errorf("%s %s: %s %s, status %d, %v", q.Method, q.Path, r.Outcome(), r.Reason(), r.Status(), r.Err())
	}
	return nil
}

// holds returns an error unless node holds at least the version.
func holds(f *rig.Fleet, node int, version record.Version) error {
	status, err := f.Status(node)
	if err != nil {
		return err
	}
	if held := status.Digest().Version(); held < version {
		return fmt.Errorf("node %d holds version %d, want %d", node, held, version)
	}
	return nil
}

func allHold(f *rig.Fleet, version record.Version) error {
	for i := range f.Size() {
		if err := holds(f, i, version); err != nil {
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
	qt.Assert(t, rig.WaitUntil(patience, func() error { return answers(client, browse) }), qt.IsNil)

	f.Log().Kill()
	qt.Assert(t, answers(client, browse), qt.IsNil)
	_, err := publishService(t, f, 2, "while-down")
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*exit status 5.*", qt.Commentf("the log is down, so nothing was changed"))

	qt.Assert(t, f.StartNode(victim), qt.IsNil)
	qt.Assert(t, f.StartServer(victim), qt.IsNil)
	qt.Assert(t, f.StartLog(), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(patience, f.AllReady), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(patience, func() error {
		_, err := publishService(t, f, victim, "after")
		return err
	}), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(patience, func() error { return allHold(f, 2) }), qt.IsNil)
	qt.Assert(t, answers(client, browse), qt.IsNil)
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
	qt.Assert(t, rig.WaitUntil(patience, func() error { return answers(client, browse) }), qt.IsNil)
	qt.Assert(t, f.Node(paused).Signal(syscall.SIGCONT), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(patience, func() error { return allHold(f, 4) }), qt.IsNil)
	own := newClient(f, paused)
	defer own.Close()
	qt.Assert(t, rig.WaitUntil(patience, func() error { return answers(own, browse) }), qt.IsNil)
}

// executions adds up, over all backend servers, how often each request key was run.
func executions(t *testing.T, f *rig.Fleet) map[string]int {
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

// keyedLoad makes keyed calls through one node until it is stopped, repeats those of unknown outcome
// through the next node, and returns all results.
func keyedLoad(f *rig.Fleet, node int, stop <-chan struct{}) []caller.Result {
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

func TestKeyedCallsRunAtMostOnceUnderKills(t *testing.T) {
	f := startFleet(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	results := make([][]caller.Result, 6)
	for i := range results {
		wg.Go(func() { results[i] = keyedLoad(f, 3*(i%4), stop) })
	}
	// The nodes beside servers of radionica are 2, 5, 8 and 11. Their servers go on and keep the counts.
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

	runs := executions(t, f)
	for key, n := range runs {
		qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, n))
	}
	counts := make(map[call.Outcome]int)
	for _, r := range flatten(results) {
		counts[r.Outcome()]++
		if r.Outcome() == call.OutcomeNotRun && r.Key() != "" {
			qt.Check(t, runs[r.Key()], qt.Equals, 0, qt.Commentf("key %s was not run by its answer", r.Key()))
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

func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	f := startFleet(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var faults []error
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
				if err := answers(client, browse); err != nil {
					mu.Lock()
					faults = append(faults, err)
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
	qt.Assert(t, faults, qt.HasLen, 0)
}

// TestHerdReturns kills all nodes at once, with the log up and with the log down, and sees them serve
// again, holding what was accepted.
func TestHerdReturns(t *testing.T) {
	f := startFleet(t)
	_, err := publishService(t, f, 3, "accepted")
	qt.Assert(t, err, qt.IsNil)
	restartNodes(t, f)
	qt.Assert(t, rig.WaitUntil(patience, f.AllReady), qt.IsNil)
	qt.Assert(t, allHold(f, 2), qt.IsNil, qt.Commentf("a ready node holds what was accepted"))

	client := newClient(f, 7)
	defer client.Close()
	qt.Assert(t, rig.WaitUntil(patience, func() error { return answers(client, browse) }), qt.IsNil)
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

// TestNodesReturnWhileLogIsDown kills some of the nodes while the log is down. Those with hints take the
// configuration from survivors. One without is met by survivors only if they still probe its address; if
// it serves, it holds what was accepted.
func TestNodesReturnWhileLogIsDown(t *testing.T) {
	f := startFleet(t)
	f.Log().Kill()
	lost := []int{2, 4, 6, 8, 10}
	for _, i := range lost {
		f.Node(i).Kill()
	}
	const lone = 2
	qt.Assert(t, f.StartNode(lone), qt.IsNil)
	f.UseHints(2)
	for _, i := range lost[1:] {
		qt.Assert(t, f.StartNode(i), qt.IsNil)
	}
	for _, i := range lost[1:] {
		qt.Assert(t, rig.WaitUntil(patience, func() error { return f.Ready(i) }), qt.IsNil)
		qt.Assert(t, holds(f, i, 1), qt.IsNil)
	}
	if f.Ready(lone) == nil {
		qt.Assert(t, holds(f, lone, 1), qt.IsNil)
	}

	qt.Assert(t, f.StartLog(), qt.IsNil)
	qt.Assert(t, rig.WaitUntil(patience, f.AllReady), qt.IsNil)
	qt.Assert(t, allHold(f, 1), qt.IsNil)
}
