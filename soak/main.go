// Soak runs real sidecars as processes with a store, backend servers and callers around them, does them harm from
// outside by a drawn schedule, and checks the promises as callers and servers see them.
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
	Seed    uint64        `long:"seed" description:"first seed; 0 takes the time of day"`
	Seeds   int           `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Nodes   int           `long:"nodes" default:"8" description:"number of nodes, 240 at most"`
	Callers int           `long:"callers" default:"3" description:"callers of each node"`
	For     time.Duration `long:"for" default:"15s" description:"time of trouble"`
	Bin     string        `long:"bin" description:"folder of built programs, in place of building them"`
	Calm    time.Duration `long:"calm" default:"12s" description:"time of calm after the trouble, by the end of which everything has to work"`
	Failed  string        `long:"failed" value-name:"FILE" description:"play the seeds in a file of those that have failed, with their options"`
	Planned bool          `long:"planned" description:"planned work only"`
	Keep    string        `long:"keep" default:"soak-failures" description:"folder for the logs of seeds that fail"`
}

// readyTime is how long nodes may take to say that they are ready, on a machine that is busy.
const readyTime = 3 * time.Second

// startTime bounds the start of a fleet.
const startTime = 30 * time.Second

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
	failed, err := soak(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// soak plays the seeds and returns how many failed.
func soak(o options) (failed int, err error) {
	if o.Bin == "" {
		if o.Bin, err = os.MkdirTemp("", "soak-bin"); err != nil {
			return 0, err
		}
		defer os.RemoveAll(o.Bin)
		if err := rig.Build(".", o.Bin); err != nil {
			return 0, err
		}
	}
	all := []options{o}
	if o.Failed != "" {
		if all, err = regressions(o.Failed, o); err != nil {
			return 0, err
		}
	}
	for _, one := range all {
		n, err := playSeeds(one)
		failed += n
		if err != nil {
			return failed, err
		}
	}
	return failed, nil
}

// playSeeds plays seeds of the same options.
func playSeeds(o options) (failed int, err error) {
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		failures, summary, err := play(o, seed)
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

// play runs one seed and returns the promises that were broken.
func play(o options, seed uint64) (failures []string, summary string, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, "", err
	}
	defer os.RemoveAll(dir)
	w, err := newWorld(seed, o.Bin, dir, o.Nodes)
	defer w.close()
	if err != nil {
		return nil, "", err
	}
	if err := rig.WaitUntil(startTime, w.allReady); err != nil {
		return nil, "", err
	}
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all []*callers
	for i := range o.Nodes {
		all = append(all, newCallers(stop, w, i, o.Callers))
	}
	s := newSchedule(w, o.Planned)
	trouble, done := context.WithTimeout(stop, o.For)
	s.run(trouble)
	done()
	time.Sleep(o.Calm)
	if err := rig.WaitUntil(readyTime, w.allReady); err != nil {
		w.checks.fail("after %v of calm: %v", o.Calm, err)
	}
	cancel()
	for _, c := range all {
		c.wg.Wait()
	}
	failures, counts := w.checks.result()
	if len(failures) > 0 {
		w.close()
		keep(o, seed, dir, append(s.log, failures...))
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

// keep saves the schedule, what failed and the logs of the nodes.
func keep(o options, seed uint64, dir string, story []string) {
	to := filepath.Join(o.Keep, fmt.Sprint(seed))
	if err := os.MkdirAll(to, 0o755); err != nil {
		fmt.Println(err)
		return
	}
	_ = os.WriteFile(filepath.Join(to, "story"), []byte(strings.Join(story, "\n")+"\n"), 0o644)
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range logs {
		if data, err := os.ReadFile(path); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(path)), data, 0o644)
		}
	}
}
