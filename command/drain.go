package command

import (
	"errors"
	"fmt"

	"github.com/bambooknot/bambooknot/operator"
)

const drainLong = `Drains a node: it refuses new calls as not run and completes those in flight.
The command returns as soon as draining has started.

Exit codes: 0 the node is draining; 2 invalid arguments; 4 no response, the node may be draining; 5 the node could
not be reached, nothing was changed; 1 any other failure, nothing was changed.`

type drainCommand struct {
	NodeOptions
}

func init() {
	Register("drain", "Drain a node", drainLong, func() Runner { return &drainCommand{} })
}

func (c *drainCommand) Run(env Env, _ []string) int {
	client, err := c.Client()
	if err != nil {
		return FailUsage(env, err)
	}
	ctx, cancel := c.RequestContext()
	defer cancel()
	if err := client.Drain(ctx); err != nil {
		return c.fail(env, err)
	}
	fmt.Fprintln(env.Out, "draining", c.Node)
	return ExitOK
}

func (c *drainCommand) fail(env Env, err error) int {
	var rejected *operator.RejectedError
	if operator.NotSent(err) || errors.As(err, &rejected) {
		return FailRequest(env, err)
	}
	fmt.Fprintf(env.Err, "the node may be draining, check its status: %v\n", err)
	return ExitUnknown
}
