package command_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

func TestBridge(t *testing.T) {
	for _, test := range []struct {
		state  message.BridgeState
		code   int
		output string
	}{
		{message.BridgeWritten, command.ExitOK, "bridged up to offset 35"},
		{message.BridgeRefused, command.ExitRefused, "refused, nothing was changed: reason"},
		{message.BridgeNotAppended, command.ExitUnavailable, "nothing was changed: reason"},
		{message.BridgeUnknown, command.ExitUnknown, "may be bridged"},
	} {
		node, addr := startNode(t, accept)
		node.bridgeReceipt = message.NewBridgeReceipt(test.state, errors.New("reason"))
		code, out, errOut := run("bridge", "--accept-loss", "35", "--node", addr, "--fleet", fleet)
		qt.Check(t, code, qt.Equals, test.code)
		qt.Check(t, out+errOut, qt.Contains, test.output)
		qt.Check(t, node.bridgeOffsets, qt.DeepEquals, []record.Offset{35})
	}
	node, addr := startNode(t, accept)
	code, _, _ := run("bridge", "--node", addr, "--fleet", fleet)
	qt.Check(t, code, qt.Equals, command.ExitUsage)
	code, _, _ = run("bridge", "--accept-loss", "35", "--node", addr, "--fleet", "other")
	qt.Check(t, code, qt.Equals, command.ExitFailure)
	qt.Check(t, node.bridgeOffsets, qt.HasLen, 0)
}
