package proxy

import (
	"net/http"
	"time"
)

// Loss says why a request was not answered with success within its target: what an operator would have to change.
type Loss string

// Losses of answered requests. Those of others name their reason after lossNotRun or lossUnknown.
const (
	LossNone       Loss = ""
	LossFailed     Loss = "server_failed" // the server's own answer was a failure
	LossQueueTime  Loss = "late_queue"    // late: it waited for a slot for most of the time
	LossServerTime Loss = "late_server"   // late: the server took most of the time
	LossRetryTime  Loss = "late_retry"    // late: tries at other servers took most of the time
	LossNetwork    Loss = "late_way"      // late: the ways between nodes and the nodes themselves took most of the time
)

const (
	lossNotRun  = "refused_" // a promise that the request has not run
	lossUnknown = "lost_"    // nobody knows whether it has
)

// lossOf returns why a request that took so long in all was lost, or LossNone.
func lossOf(r Result, took, earlier, target time.Duration) Loss {
	switch r.ending {
	case OutcomeNotRun:
		return Loss(lossNotRun + string(r.reason))
	case OutcomeUnknown:
		return Loss(lossUnknown + string(r.reason))
	}
	if r.answer.Status() >= http.StatusInternalServerError {
		return LossFailed
	}
	if took <= target {
		return LossNone
	}
	longest, loss := earlier, LossRetryTime
	for _, part := range []struct {
		took time.Duration
		loss Loss
	}{
		{r.waited, LossQueueTime},
		{r.ran, LossServerTime},
		{took - earlier - r.waited - r.ran, LossNetwork},
	} {
		if part.took > longest {
			longest, loss = part.took, part.loss
		}
	}
	return loss
}
