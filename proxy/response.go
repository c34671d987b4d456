package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/platform"
)

// finish returns the response to the caller for the result of the last attempt.
func (in *Ingress) finish(q *request, r Result) *exchange.Response {
	if r.outcome != OutcomeAnswered {
		return in.giveUp(q, r)
	}
	q.ending = r
	loss, latency := in.recordLoss(q, r)
	log := &in.settings.AnsweredLog
	if loss != LossNone {
		log = &in.settings.Log
	}
	event := q.organisation.log(log.Info())
	if q.version.server != "" {
		event = event.Str("server_version", q.version.server)
	}
	event.Str("kind", "request_answered").Str("request", q.id).Int("status", r.response.Status()).Str("loss", string(loss)).
		Str("route", q.route.Name()).Str("service", q.service).Uint64("version", q.tableVersion()).Stringer("node", q.tried[len(q.tried)-1].Peer()).
		Int("tried", len(q.tried)).Int("arrivals", q.serverAttempts).Dur("limit", q.timeout).Dur("target", q.route.TargetLatency()).Dur("earlier", q.earlierAttemptsTime).
		Dur("waited", r.queueTime).Dur("ran", r.runTime).Dur("took", latency).Msg("request answered")
	return r.response
}

// giveUp returns the response to a request that is not tried any further. Status 503 guarantees that the request has not
// run and never will; 502 and 504 guarantee nothing.
func (in *Ingress) giveUp(q *request, r Result) *exchange.Response {
	q.ending = r
	status := http.StatusServiceUnavailable
	header := make(http.Header)
	switch {
	case r.outcome == OutcomeNotRun:
		header.Set("Retry-After", retryAfter(r))
	case r.reason == ReasonDeadlineExceeded:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	in.logGivenUp(q, r, status)
	return exchange.NewResponse(status, header, nil)
}

// defaultRetryAfter is the Retry-After time when the result has no estimate.
const defaultRetryAfter = 250 * time.Millisecond

// retryAfter returns the value of the Retry-After header in seconds.
func retryAfter(r Result) string {
	delay := r.retryAfter
	if delay <= 0 {
		delay = defaultRetryAfter
	}
	return strconv.FormatFloat(delay.Seconds(), 'f', 3, 64)
}

// refuse returns the response to an invalid request.
func (in *Ingress) refuse(q *request, status int, reason string) *exchange.Response {
	q.organisation.log(in.settings.Log.Info()).Str("kind", "request_refused").Str("request", q.id).Str("reason", reason).Int("status", status).
		Str("host", q.original.Host()).Uint64("version", q.tableVersion()).Msg("invalid request refused")
	return exchange.NewResponse(status, nil, nil)
}

// refuseUnauthenticated returns the response to a request without a valid API key.
func (in *Ingress) refuseUnauthenticated(q *request, reason string) *exchange.Response {
	response := in.refuse(q, http.StatusUnauthorized, reason)
	platform.SetChallenge(response.Header())
	return response
}

// tableVersion returns the version of the routing table, or 0 without one.
func (q *request) tableVersion() uint64 {
	if q.snapshot == nil {
		return 0
	}
	return uint64(q.snapshot.Table().Version())
}

func (in *Ingress) logGivenUp(q *request, r Result, status int) {
	loss, latency := in.recordLoss(q, r)
	q.organisation.log(in.settings.Log.Info()).Str("kind", "request_given_up").Str("request", q.id).Int("status", status).Stringer("ending", r.outcome).
		Str("reason", string(r.reason)).Str("loss", string(loss)).Str("route", q.route.Name()).Str("service", q.service).Uint64("version", q.tableVersion()).
		Int("tried", len(q.tried)).Int("arrivals", q.serverAttempts).Dur("limit", q.timeout).Dur("retry_after", r.retryAfter).
		Dur("took", latency).Msg("request given up")
}

func (in *Ingress) logRetry(q *request, to member.Member, r Result) {
	q.organisation.log(in.settings.Log.Info()).Str("kind", "request_retried").Str("request", q.id).Stringer("node", to.Key().Peer()).Stringer("ending", r.outcome).
		Str("reason", string(r.reason)).Str("service", q.service).Uint64("version", q.tableVersion()).Int("running", r.load.Running()).Int("queued", r.load.Queued()).
		Dur("took", in.settings.Timers.Now().Sub(q.receivedAt)).Msg("trying another server")
}

// recordLoss classifies a request that has ended, counts it if it was lost, and returns the loss and the latency.
func (in *Ingress) recordLoss(q *request, r Result) (loss Loss, latency time.Duration) {
	latency = in.settings.Timers.Now().Sub(q.receivedAt)
	loss = classifyLoss(r, latency, q.earlierAttemptsTime, q.route.TargetLatency())
	if loss != LossNone {
		in.settings.Scope.Tagged(map[string]string{"route": q.route.Name(), "loss": string(loss)}).Counter("requests_lost").Inc(1)
	}
	return loss, latency
}

func (in *Ingress) recordRequest(q *request, response *exchange.Response) {
	in.settings.Scope.Tagged(map[string]string{"route": q.route.Name(), "status": strconv.Itoa(response.Status())}).Counter("requests").Inc(1)
	in.latency.RecordDuration(in.settings.Timers.Now().Sub(q.receivedAt))
}
