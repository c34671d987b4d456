package command

import (
	"errors"
	"fmt"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
)

const bridgeLong = `Gives up the log entries that were trimmed before any node had read them. The node appends a checkpoint
to the log that continues from the first retained offset; all nodes that have not passed the gap load it.
Specify that offset as shown by the status of the node. Entries given up can't be recovered.

Exit codes: 0 the checkpoint is in the log; 2 invalid arguments; 3 the node refused, nothing was changed;
4 the outcome is not known, the command may be repeated; 5 the node or the log could not be reached, nothing
was changed; 1 any other failure, nothing was changed.`

type bridgeCommand struct {
	NodeOptions
	AcceptLoss uint64 `long:"accept-loss" value-name:"FIRST" required:"true" description:"first retained offset of the log; entries before it are given up"`
}

func init() {
	Register("bridge", "Give up log entries that no node has read", bridgeLong,
		func() Runner { return &bridgeCommand{} })
}

func (c *bridgeCommand) Run(env Env, _ []string) int {
	client, err := c.Client()
	if err != nil {
		return FailUsage(env, err)
	}
	ctx, cancel := c.RequestContext()
	defer cancel()
	receipt, err := client.Bridge(ctx, record.Offset(c.AcceptLoss))
	if err != nil {
		return c.fail(env, err)
	}
	return c.report(env, receipt)
}

func (c *bridgeCommand) report(env Env, r message.BridgeReceipt) int {
	switch r.State() {
	case message.BridgeWritten:
		fmt.Fprintf(env.Out, "bridged up to offset %d; publish lost changes again\n", c.AcceptLoss)
		return ExitOK
	case message.BridgeRefused:
		fmt.Fprintf(env.Err, "refused, nothing was changed: %v\n", r.Err())
		return ExitRefused
	case message.BridgeNotAppended:
		fmt.Fprintf(env.Err, "the log did not accept the checkpoint, nothing was changed: %v\n", r.Err())
		return ExitUnavailable
	}
	return c.failUnknown(env, r.Err())
}

func (c *bridgeCommand) fail(env Env, err error) int {
	var rejected *operator.RejectedError
	if operator.NotSent(err) || errors.As(err, &rejected) {
		return FailRequest(env, err)
	}
	return c.failUnknown(env, err)
}

func (c *bridgeCommand) failUnknown(env Env, err error) int {
	fmt.Fprintf(env.Err, "the gap may be bridged, check the status of the node: %v\n", err)
	return ExitUnknown
}
