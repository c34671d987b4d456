package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/quarantine"
)

// identity computes the identity of a request when it is first needed. It is not safe for concurrent use.
type identity struct {
	service      string // that sends the request
	organisation string // that sends the request, or ""
	request      *exchange.Request
	known        bool
	value        quarantine.Request
}

func newIdentity(service string, r *exchange.Request) *identity {
	return &identity{service: service, request: r}
}

func (i *identity) get() quarantine.Request {
	if !i.known {
		r := i.request
		content := quarantine.NewContent(r.Method(), r.Host(), r.Target(), r.Body())
		credentials := []string{r.Header().Get("Authorization"), r.Header().Get("Cookie")}
		if i.organisation != "" {
			credentials = append(credentials, i.organisation) // in place of the key, which is not passed on
		}
		i.value = quarantine.NewRequest(content, quarantine.NewCaller(i.service, credentials...))
		i.known = true
	}
	return i.value
}

// quarantineRefusal returns the result of a request that no server may run before its next trial.
func quarantineRefusal(now time.Time, s quarantine.Status) Result {
	result := notRun(ReasonQuarantined)
	result.retryAfter = max(s.NextTrialAt().Sub(now), minRetryAfter)
	return result
}

// quarantineStatus returns what is known of servers that crashed while they ran a request.
func (in *Ingress) quarantineStatus(q *request) quarantine.Status {
	view := in.settings.Quarantine()
	if view.Empty() {
		return quarantine.Status{}
	}
	return view.Status(q.identity.get())
}

// attemptQuarantined refuses a quarantined request, unless its next trial is due. last is the result of its last attempt.
func (in *Ingress) attemptQuarantined(ctx context.Context, q *request, s quarantine.Status, last Result) Result {
	now := in.settings.Timers.Now()
	if q.serverAttempts > 0 {
		return last
	}
	to, ok := quarantine.TrialNode(q.snapshot.View(), q.service, q.identity.get().Content())
	if !ok || now.Before(s.NextTrialAt()) || !in.versionAllows(now, q, to) {
		return quarantineRefusal(now, s)
	}
	q.trial = s.NextTrial()
	q.tried = append(q.tried, to.Key())
	in.mu.Lock()
	in.balancer.RecordStart(to.Key())
	in.mu.Unlock()
	result := in.send(ctx, q, to)
	if result.reachedServer {
		q.serverAttempts++
	}
	return result
}

// checkQuarantine returns the refusal of a request that the server must not run, and false if it may run.
func (o *Owner) checkQuarantine(c Call, id *identity) (Result, bool) {
	view := o.settings.Quarantine()
	if view.Empty() {
		return Result{}, false
	}
	now := o.settings.Timers.Now()
	status := view.Status(id.get())
	if !status.Quarantined() || c.trial == status.NextTrial() && !now.Before(status.NextTrialAt()) {
		return Result{}, false
	}
	return quarantineRefusal(now, status), true
}

// claimTrial claims the trial of a quarantined request that is about to run, and returns its refusal if it must not run.
func (o *Owner) claimTrial(c Call, id *identity) (Result, bool) {
	refusal, refused := o.checkQuarantine(c, id)
	view := o.settings.Quarantine()
	if refused || view.Empty() {
		return refusal, refused
	}
	status, content := view.Status(id.get()), id.get().Content()
	if !status.Quarantined() {
		return Result{}, false
	}
	if !o.trials.Claim(view, content, c.trial) {
		return quarantineRefusal(o.settings.Timers.Now(), status), true
	}
	o.settings.Log.Info().Str("kind", "quarantine_trial").Str("request", c.requestID).Stringer("content", content).Int("number", c.trial).
		Int("crashes", status.Crashes()).Msg("sending a quarantined request to the server as a trial")
	o.settings.OnTrial(content, c.trial)
	return Result{}, false
}

// clearSuspicion reports a request that the server has run to its end, if servers crashed while they ran it before.
func (o *Owner) clearSuspicion(id *identity) {
	view := o.settings.Quarantine()
	if view.Empty() {
		return
	}
	if view.Status(id.get()).Suspect() {
		o.settings.OnCleared(id.get())
	}
}

// setTrial states in a request to another node that it is a trial.
func setTrial(h http.Header, number int) {
	if number > 0 {
		h.Set(headerTrial, strconv.Itoa(number))
	}
}

// trialOf returns the number of the trial that a request of another node is, or 0.
func trialOf(h http.Header) int {
	number, err := strconv.Atoi(h.Get(headerTrial))
	if err != nil {
		return 0
	}
	return number
}
