// Demo starts the fleet of Kovani Dvor on loopback addresses, publishes records and a change to them, drains a
// node and stops the fleet. Its exit code is 0 only if every step succeeds.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/bambooknot/bambooknot/rig"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run() error {
	work, err := os.MkdirTemp("", "bambooknot-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(work) }()
	if err := rig.Build(".", work); err != nil {
		return err
	}
	fleet, err := rig.New(work, work, rig.KovaniDvor())
	if err != nil {
		return err
	}
	defer fleet.Close()
	s := &scenario{fleet: fleet, recordsPath: filepath.Join("demo", "records.toml"), changePath: filepath.Join("demo", "change.toml")}
	return s.run()
}
