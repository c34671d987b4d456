package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
)

// finish turns the result of the last attempt into the answer for the caller.
func (in *Ingress) finish(q *request, r Result) *exchange.Response {
	if r.ending != OutcomeAnswered {
		return in.giveUp(q, r)
	}
	loss, took := in.account(q, r)
	log := &in.settings.AnsweredLog
	if loss != LossNone {
		log = &in.settings.Log
	}
	log.Info().Str("kind", "request_answered").Str("request", q.attempt).Int("status", r.answer.Status()).Str("loss", string(loss)).
		Str("route", q.route.Name()).Str("service", q.service).Uint64("version", q.version()).Stringer("node", q.tried[len(q.tried)-1].Peer()).
		Int("tried", len(q.tried)).Int("arrivals", q.arrivals).Dur("limit", q.limit).Dur("target", q.route.TargetLatency()).Dur("earlier", q.earlier).
		Dur("waited", r.waited).Dur("ran", r.ran).Dur("took", took).Msg("request answered")
	return r.answer
}

// giveUp answers a request that is not tried any further. 503 promises that it has not run and never will; 502
// and 504 promise nothing.
func (in *Ingress) giveUp(q *request, r Result) *exchange.Response {
	status := http.StatusServiceUnavailable
	header := make(http.Header)
	switch {
	case r.ending == OutcomeNotRun:
		header.Set("Retry-After", retryAfter(r))
	case r.reason == ReasonDeadlineExceeded:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	in.logGivenUp(q, r, status)
	return exchange.NewResponse(status, header, nil)
}

// defaultRetryAfter is the time after which a caller may find a server when nothing better is known.
const defaultRetryAfter = 250 * time.Millisecond

// retryAfter returns the seconds until a refused request may find room.
func retryAfter(r Result) string {
	after := r.retryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}

// refuse answers a request that is wrong.
func (in *Ingress) refuse(q *request, status int, reason string) *exchange.Response {
	in.settings.Log.Info().Str("kind", "request_refused").Str("request", q.attempt).Str("reason", reason).Int("status", status).
		Str("host", q.ask.Host()).Uint64("version", q.version()).Msg("request refused as wrong")
	return exchange.NewResponse(status, nil, nil)
}

func (q *request) version() uint64 {
	if q.snapshot == nil {
		return 0
	}
	return uint64(q.snapshot.Table().Version())
}

func (in *Ingress) logGivenUp(q *request, r Result, status int) {
	loss, took := in.account(q, r)
	in.settings.Log.Info().Str("kind", "request_given_up").Str("request", q.attempt).Int("status", status).Stringer("ending", r.ending).
		Str("reason", string(r.reason)).Str("loss", string(loss)).Str("route", q.route.Name()).Str("service", q.service).Uint64("version", q.version()).
		Int("tried", len(q.tried)).Int("arrivals", q.arrivals).Dur("limit", q.limit).Dur("retry_after", r.retryAfter).
		Dur("took", took).Msg("request given up")
}

func (in *Ingress) logRetry(q *request, to member.Member, r Result) {
	in.settings.Log.Info().Str("kind", "request_retried").Str("request", q.attempt).Stringer("node", to.Key().Peer()).Stringer("ending", r.ending).
		Str("reason", string(r.reason)).Str("service", q.service).Uint64("version", q.version()).Int("running", r.load.Running()).Int("queued", r.load.Queued()).
		Dur("took", in.settings.Timers.Now().Sub(q.begun)).Msg("trying another server")
}

// account counts a request that has ended if it was lost, and returns why and how long it took.
func (in *Ingress) account(q *request, r Result) (loss Loss, took time.Duration) {
	took = in.settings.Timers.Now().Sub(q.begun)
	loss = lossOf(r, took, q.earlier, q.route.TargetLatency())
	if loss != LossNone {
		in.settings.Scope.Tagged(map[string]string{"route": q.route.Name(), "loss": string(loss)}).Counter("requests_lost").Inc(1)
	}
	return loss, took
}

func (in *Ingress) count(q *request, answer *exchange.Response) {
	in.settings.Scope.Tagged(map[string]string{"route": q.route.Name(), "status": strconv.Itoa(answer.Status())}).Counter("requests").Inc(1)
	in.latency.RecordDuration(in.settings.Timers.Now().Sub(q.begun))
}
