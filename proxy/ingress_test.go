package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/balance"
)

// TestBalanceResult checks that a request refused for lack of time does not count against the server.
func TestBalanceResult(t *testing.T) {
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
		qt.Check(t, balanceResult(test.result), qt.Equals, test.want, qt.Commentf("%v %s", test.result.outcome, test.result.reason))
	}
}
