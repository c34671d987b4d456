package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/exchange"
)

func TestLossOf(t *testing.T) {
	answer := func(status int, waited, ran time.Duration) Result {
		r := answered(exchange.NewResponse(status, nil, nil))
		r.waited, r.ran = waited*time.Millisecond, ran*time.Millisecond
		return r
	}
	for name, c := range map[string]struct {
		result        Result
		took, earlier time.Duration // ms
		want          Loss
	}{
		"in time":         {answer(200, 90, 5), 100, 0, LossNone},
		"waited":          {answer(200, 90, 20), 115, 0, LossQueueTime},
		"ran":             {answer(200, 20, 90), 115, 0, LossServerTime},
		"tried elsewhere": {answer(200, 10, 40), 115, 60, LossRetryTime},
		"on the way":      {answer(200, 10, 40), 150, 5, LossNetwork},
		"failed":          {answer(500, 1, 1), 2, 0, LossFailed},
		"refused":         {notRun(ReasonFull), 1, 0, "refused_full"},
		"lost":            {unknown(ReasonConnectionLost), 1, 0, "lost_broken"},
	} {
		got := lossOf(c.result, c.took*time.Millisecond, c.earlier*time.Millisecond, 100*time.Millisecond)
		qt.Check(t, got, qt.Equals, c.want, qt.Commentf("%s", name))
	}
}
