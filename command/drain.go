package command

import "fmt"

const drainLong = `Tells a node to drain: it refuses new calls as not run and ends those in flight.
The command returns as soon as the node has begun.

Exit codes: 0 the node drains; 2 bad arguments; 5 the node could not be reached; 1 any other failure.`

type drainCommand struct {
	Remote
}

func init() {
	Register("drain", "Drain a node", drainLong, func() Runner { return &drainCommand{} })
}

func (c *drainCommand) Run(env Env, _ []string) int {
	client, err := c.Client()
	if err != nil {
		return FailUsage(env, err)
	}
	ctx, cancel := c.Context()
	defer cancel()
	if err := client.Drain(ctx); err != nil {
		return Fail(env, err)
	}
	fmt.Fprintln(env.Out, "draining", c.Node)
	return ExitOK
}
