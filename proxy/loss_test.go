package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/exchange"
)

func TestClassifyLoss(t *testing.T) {
	result := func(status int, queueTime, runTime time.Duration) Result {
		r := answered(exchange.NewResponse(status, nil, nil))
		r.queueTime, r.runTime = queueTime*time.Millisecond, runTime*time.Millisecond
		return r
	}
	for name, c := range map[string]struct {
		result                   Result
		latency, earlierAttempts time.Duration // ms
		want                     Loss
	}{
		"in time":          {result(200, 90, 5), 100, 0, LossNone},
		"queue time":       {result(200, 90, 20), 115, 0, LossQueueTime},
		"run time":         {result(200, 20, 90), 115, 0, LossServerTime},
		"earlier attempts": {result(200, 10, 40), 115, 60, LossRetryTime},
		"network":          {result(200, 10, 40), 150, 5, LossNetwork},
		"server error":     {result(500, 1, 1), 2, 0, LossFailed},
		"not run":          {notRun(ReasonFull), 1, 0, "refused_full"},
		"unknown":          {unknown(ReasonConnectionLost), 1, 0, "lost_broken"},
	} {
		got := classifyLoss(c.result, c.latency*time.Millisecond, c.earlierAttempts*time.Millisecond, 100*time.Millisecond)
		qt.Check(t, got, qt.Equals, c.want, qt.Commentf("%s", name))
	}
}
