// Soak runs sidecars as real processes together with a store, backend servers and callers. It injects faults by a random
// schedule and checks the guarantees as callers and backend servers observe them.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bambooknot/bambooknot/rig"
)

type options struct {
	Seed           uint64        `long:"seed" description:"first seed; 0 derives one from the current time"`
	Seeds          int           `long:"seeds" default:"1" description:"number of seeds to run in sequence"`
	Nodes          int           `long:"nodes" default:"8" description:"number of nodes, at most 240"`
	Callers        int           `long:"callers" default:"3" description:"number of callers per node"`
	FaultPhase     time.Duration `long:"for" default:"15s" description:"duration of the phase with faults"`
	BinDir         string        `long:"bin" description:"folder with programs that are built already; builds them if empty"`
	UpgradeFrom    string        `long:"upgrade" value-name:"DIR" description:"folder with programs of an earlier version; nodes start with them and are replaced by the newer ones, then half of them are rolled back"`
	CalmPhase      time.Duration `long:"calm" default:"12s" description:"duration of the phase without faults that follows; all nodes have to be ready at its end"`
	RegressionFile string        `long:"failed" value-name:"FILE" description:"run the seeds listed in a file of past failures, with their options"`
	PlannedOnly    bool          `long:"planned" description:"schedule planned work only, no faults"`
	FailureDir     string        `long:"keep" default:"soak-failures" description:"folder for the logs of failed seeds"`
}

// readyTimeout bounds the wait for all nodes to report readiness after the calm phase. It allows for a busy machine.
const readyTimeout = 3 * time.Second

// startTimeout bounds the wait for all nodes of a new fleet to report readiness.
const startTimeout = 30 * time.Second

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	failed, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// run runs all seeds that the options select and returns how many failed.
func run(o options) (failed int, err error) {
	if o.BinDir == "" {
		if o.BinDir, err = os.MkdirTemp("", "soak-bin"); err != nil {
			return 0, err
		}
		defer os.RemoveAll(o.BinDir)
		if err := rig.Build(".", o.BinDir); err != nil {
			return 0, err
		}
	}
	runs := []options{o}
	if o.RegressionFile != "" {
		if runs, err = readRegressions(o.RegressionFile, o); err != nil {
			return 0, err
		}
	}
	for _, r := range runs {
		n, err := runSeeds(r)
		failed += n
		if err != nil {
			return failed, err
		}
	}
	return failed, nil
}

// runSeeds runs o.Seeds consecutive seeds and returns how many failed.
func runSeeds(o options) (failed int, err error) {
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		failures, summary, err := runSeed(o, seed)
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %d failures; %s\n", seed, len(failures), summary)
		for _, f := range failures {
			fmt.Println("  " + f)
		}
		if len(failures) > 0 {
			failed++
		}
	}
	return failed, nil
}

// runSeed runs one seed and returns the violations found.
func runSeed(o options, seed uint64) (failures []string, summary string, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, "", err
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(seed, o.BinDir, o.UpgradeFrom, dir, o.Nodes)
	defer f.close()
	if err != nil {
		return nil, "", err
	}
	if err := rig.WaitUntil(startTimeout, f.checkAllReady); err != nil {
		return nil, "", err
	}
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	var groups []*callerGroup
	for i := range o.Nodes {
		groups = append(groups, newCallerGroup(stop, f, i, o.Callers))
	}
	s := newSchedule(f, o.PlannedOnly)
	faultPhase, endFaults := context.WithTimeout(stop, o.FaultPhase)
	if o.UpgradeFrom != "" {
		s.wg.Go(func() { s.upgrade(faultPhase) })
	}
	s.run(faultPhase)
	endFaults()
	time.Sleep(o.CalmPhase)
	if err := rig.WaitUntil(readyTimeout, f.checkAllReady); err != nil {
		f.checker.fail("not ready after %v without faults: %v", o.CalmPhase, err)
	}
	f.checkMemory()
	f.checkUsed()
	cancel()
	for _, c := range groups {
		c.wg.Wait()
	}
	failures, counts := f.checker.results()
	if len(failures) > 0 {
		f.close()
		saveFailure(o, seed, dir, append(s.log, failures...))
	}
	return failures, formatCounts(counts), nil
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// saveFailure saves the logs of the nodes and a report of the events and violations.
func saveFailure(o options, seed uint64, dir string, report []string) {
	to := filepath.Join(o.FailureDir, fmt.Sprint(seed))
	if err := os.MkdirAll(to, 0o755); err != nil {
		fmt.Println(err)
		return
	}
	_ = os.WriteFile(filepath.Join(to, "story"), []byte(strings.Join(report, "\n")+"\n"), 0o644)
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range logs {
		if data, err := os.ReadFile(path); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(path)), data, 0o644)
		}
	}
}
