// Drill runs one case of the review against the real sidecar and exits with 1 if a rule was broken, 0 if it held and 2 if
// the case couldn't run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// drills are the cases by name. trouble says whether the disruption happens.
var drills = map[string]func(d *deployment, trouble bool) (int, error){
	"replacement": runReplacement,
	"latereport":  runLateReport,
}

func main() {
	if len(os.Args) != 4 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill NAME REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	d, err := newDeployment(r, root)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.say("not run: %v", err)
		return exitNotRun
	}
	code, err := drills[name](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("not run: %v", err)
		return exitNotRun
	}
	return code
}
