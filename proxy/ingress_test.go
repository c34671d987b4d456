package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/timer"
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

// TestSilentNodeIsUnreachable tells a VM that is gone from a process that restarts, and from nodes that start together.
func TestSilentNodeIsUnreachable(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	in := &Ingress{starting: newStartState(clock.Service())}
	c.Check(in.resultForBalancer(notRun(ReasonUnreachable), minSilentDial), qt.Equals, balance.ResultFailed)
	clock.Advance(startupTime)
	c.Check(in.resultForBalancer(notRun(ReasonUnreachable), time.Millisecond), qt.Equals, balance.ResultFailed)
	c.Check(in.resultForBalancer(notRun(ReasonUnreachable), minSilentDial), qt.Equals, balance.ResultUnreachable)
	c.Check(in.resultForBalancer(unknown(ReasonNodeLost), time.Second), qt.Equals, balance.ResultFailed)
}
