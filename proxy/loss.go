package proxy

import (
	"net/http"
	"time"
)

// Loss classifies why a request was not answered successfully within its target latency, by what an operator would have
// to change.
type Loss string

// Losses of answered requests. For other requests, the loss is lossNotRun or lossUnknown followed by the reason.
const (
	LossNone       Loss = ""
	LossFailed     Loss = "server_failed" // the server responded with a 5xx status
	LossQueueTime  Loss = "late_queue"    // late, mostly because of the wait for a slot
	LossServerTime Loss = "late_server"   // late, mostly because of the run time at the server
	LossRetryTime  Loss = "late_retry"    // late, mostly because of earlier attempts at other servers
	LossNetwork    Loss = "late_way"      // late, mostly because of the network and the nodes themselves
)

// Prefixes of the losses of requests that were not answered.
const (
	lossNotRun  = "refused_" // the request has not run
	lossUnknown = "lost_"    // it is unknown whether the request ran
)

// classifyLoss returns the loss of a request, given its total latency, the part spent on earlier attempts and the target
// latency.
func classifyLoss(r Result, latency, earlierAttempts, target time.Duration) Loss {
	switch r.outcome {
	case OutcomeNotRun:
		return Loss(lossNotRun + string(r.reason))
	case OutcomeUnknown:
		return Loss(lossUnknown + string(r.reason))
	}
	if r.response.Status() >= http.StatusInternalServerError {
		return LossFailed
	}
	if latency <= target {
		return LossNone
	}
	longest, loss := earlierAttempts, LossRetryTime
	for _, part := range []struct {
		duration time.Duration
		loss     Loss
	}{
		{r.queueTime, LossQueueTime},
		{r.runTime, LossServerTime},
		{latency - earlierAttempts - r.queueTime - r.runTime, LossNetwork},
	} {
		if part.duration > longest {
			longest, loss = part.duration, part.loss
		}
	}
	return loss
}
