package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

// regressions returns the options of each seed in a file of seeds that have failed.
func regressions(path string, o options) ([]options, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var all []options
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		one, trouble := o, ""
		one.Seeds = 1
		if _, err := fmt.Sscan(line, &one.Seed, &one.Nodes, &trouble, &one.Planned); err != nil {
			return nil, fmt.Errorf("%s: %q: %w", path, line, err)
		}
		if one.For, err = time.ParseDuration(trouble); err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, scanner.Err()
}
