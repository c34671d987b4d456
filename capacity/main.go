// Capacity estimates from benchmark results the resources that each role of a node needs at the design size, compares
// results with a baseline and plots them.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Tables   string `long:"tables" value-name:"PAGE" description:"page whose tables are regenerated"`
	Plots    string `long:"plots" value-name:"FOLDER" description:"folder to write plots into"`
	Baseline string `long:"baseline" value-name:"FILE" description:"results to compare with; the exit code is 1 if a value is worse"`
	Args     struct {
		Results string `positional-arg-name:"RESULTS" description:"output of go test -bench"`
	} `positional-args:"true" required:"true"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	results, err := LoadResults(o.Args.Results)
	if err != nil {
		return err
	}
	if o.Tables != "" {
		if err := WriteTables(o.Tables, results); err != nil {
			return err
		}
	}
	if o.Plots != "" {
		if err := WritePlots(o.Plots, results); err != nil {
			return err
		}
	}
	if o.Baseline == "" {
		return nil
	}
	baseline, err := LoadResults(o.Baseline)
	if err != nil {
		return err
	}
	if worse := Compare(os.Stdout, baseline, results); worse > 0 {
		return fmt.Errorf("%d values are worse than the baseline", worse)
	}
	return nil
}
