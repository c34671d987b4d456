package rig

import (
	"bytes"
	"fmt"
	"os/exec"
)

// Operate runs a bambooknot command against the operators' port of node i and returns what it printed.
func (f *Fleet) Operate(i int, args ...string) (string, error) {
	args = append(args, "--node", f.Operators(i).String(), "--fleet", fleetName)
	cmd := exec.Command(f.Program("bambooknot"), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("bambooknot %v: %w\n%s", args, err, &out)
	}
	return out.String(), nil
}
