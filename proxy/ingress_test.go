package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/balance"
)

// TestOutcomeForTheChoiceOfServers: what a caller's lack of time shows is nothing about the server.
func TestOutcomeForTheChoiceOfServers(t *testing.T) {
	for _, test := range []struct {
		result Result
		want   balance.Result
	}{
		{notRun(ReasonDeadlineExceeded), balance.ResultNone},
		{unknown(ReasonDeadlineExceeded), balance.ResultFailed},
		{notRun(ReasonCallerLeft), balance.ResultNone},
		{notRun(ReasonFull), balance.ResultRefused},
		{notRun(ReasonDraining), balance.ResultDraining},
		{notRun(ReasonUnreachable), balance.ResultFailed},
		{unknown(ReasonConnectionLost), balance.ResultFailed},
	} {
		qt.Check(t, outcomeFor(test.result), qt.Equals, test.want, qt.Commentf("%v %s", test.result.ending, test.result.reason))
	}
}
