package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

// readRegressions returns the options of each seed in a file of past failures. Each line holds the seed, the number of
// nodes, the duration of the phase with faults and whether there is planned work only; the cause behind is ignored.
func readRegressions(path string, o options) ([]options, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var runs []options
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		run, faultPhase := o, ""
		run.Seeds = 1
		if _, err := fmt.Sscan(line, &run.Seed, &run.Nodes, &faultPhase, &run.PlannedOnly); err != nil {
			return nil, fmt.Errorf("%s: %q: %w", path, line, err)
		}
		if run.FaultPhase, err = time.ParseDuration(faultPhase); err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	return runs, scanner.Err()
}
