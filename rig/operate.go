package rig

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
)

const requestTimeout = 5 * time.Second

// Status requests the status of node i.
func (f *Fleet) Status(i int) (message.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return operator.NewClient(f.OperatorsAddress(i), fleetName, http.DefaultClient).Status(ctx)
}

// RunCommand runs a bambooknot command against the operators' port of node i and returns its combined output.
func (f *Fleet) RunCommand(i int, args ...string) (string, error) {
	args = append(args, "--node", f.OperatorsAddress(i).String(), "--fleet", fleetName)
	cmd := exec.Command(f.Program("bambooknot"), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("bambooknot %v: %w\n%s", args, err, &out)
	}
	return out.String(), nil
}
