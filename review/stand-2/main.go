//go:build review

// Command stand-2 plays the cases of the second review that are scripts.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(2)
	}
	play := map[string]func(*fleet, *record, bool) (bool, error){"uploads": playUploads, "departure": playDeparture, "added-route": playAddedRoute}[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(play func(*fleet, *record, bool) (bool, error), folder string, trouble bool) int {
	r, err := newRecord(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(root, r)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		r.printf("could not start: %v", err)
		return 2
	}
	held, err := play(f, r, trouble)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case !held:
		return 1
	}
	return 0
}
