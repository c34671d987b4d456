package call

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/crash"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
)

// CrashReports tell the rest of the node what an owner learns of calls that crash servers. The functions may block for a short
// time. Nil functions are not called.
type CrashReports struct {
	// OnCrash is called when the server has ended while it was running calls.
	OnCrash func(server quarantine.Server, requests []quarantine.Request)
	// OnCleared is called when the server has run a suspected call to its end.
	OnCleared func(request quarantine.Request)
	// OnTrial is called when a quarantined call is about to be sent to the server.
	OnTrial func(content quarantine.Content, number int)
}

func (c CrashReports) withDefaults() CrashReports {
	if c.OnCrash == nil {
		c.OnCrash = func(quarantine.Server, []quarantine.Request) {}
	}
	if c.OnCleared == nil {
		c.OnCleared = func(quarantine.Request) {}
	}
	if c.OnTrial == nil {
		c.OnTrial = func(quarantine.Content, int) {}
	}
	return c
}

// identity returns the identity of a call, and false if its body is not held in memory, so that it cannot be recognised.
func (body requestBody) identity(r *http.Request) (quarantine.Request, bool) {
	if !body.repeatable() {
		return quarantine.Request{}, false
	}
	content := quarantine.NewContent(r.Method, "", r.URL.RequestURI(), body.buffered)
	return quarantine.NewRequest(content, quarantine.NewCaller("", r.Header.Get("Authorization"), r.Header.Get("Cookie"))), true
}

// statusIn returns what is known of servers that crashed while they ran a call.
func (body requestBody) statusIn(view *quarantine.View, r *http.Request) (quarantine.Status, quarantine.Request) {
	if view.Empty() {
		return quarantine.Status{}, quarantine.Request{}
	}
	id, ok := body.identity(r)
	if !ok {
		return quarantine.Status{}, id
	}
	return view.Status(id), id
}

func quarantined(now time.Time, s quarantine.Status) failure {
	f := notRun(ReasonQuarantined, "servers crashed while they ran the same call")
	f.retryAfter = max(s.NextTrialAt().Sub(now), time.Second)
	return f
}

func (i *Ingress) isQuarantined(q *request) bool {
	status, _ := q.body.statusIn(i.settings.Quarantine(), q.r)
	return status.Quarantined()
}

// refuseQuarantined returns the failure of a call that servers crashed with, unless its next trial is due.
func (i *Ingress) refuseQuarantined(q *request) *failure {
	status, id := q.body.statusIn(i.settings.Quarantine(), q.r)
	now := i.settings.Timers.Now()
	if !status.Quarantined() {
		return nil
	}
	if to, ok := quarantine.TrialNode(q.snapshot.View(), q.route.Service(), id.Content()); ok && !now.Before(status.NextTrialAt()) {
		q.trialNode = to
		return nil
	}
	f := quarantined(now, status)
	return &f
}

// refuseQuarantined returns the failure of a call that the server must not run. It claims the trial of one that may run.
func (o *Owner) refuseQuarantined(r *http.Request, body requestBody, service string) *failure {
	view := o.quarantine()
	status, id := body.statusIn(view, r)
	if !status.Quarantined() {
		return nil
	}
	now := o.timers.Now()
	f := quarantined(now, status)
	if now.Before(status.NextTrialAt()) || !o.isTrialNode(o.snapshot(), service, id.Content()) || !o.trials.Claim(view, id.Content(), status.NextTrial()) {
		return &f
	}
	o.reports.OnTrial(id.Content(), status.NextTrial())
	return nil
}

func (o *Owner) isTrialNode(snap *message.Snapshot, service string, content quarantine.Content) bool {
	if snap == nil {
		return false
	}
	to, ok := quarantine.TrialNode(snap.View(), service, content)
	return ok && to.Key().Peer() == o.self.Peer()
}

// clearSuspicion reports a call that the server has run to its end, if servers crashed while they ran it before.
func (o *Owner) clearSuspicion(r *http.Request, body requestBody) {
	if status, id := body.statusIn(o.quarantine(), r); status.Suspect() {
		o.reports.OnCleared(id)
	}
}

// serverEnded reports whether the server's process has ended, for a call whose connection to it broke.
func (o *Owner) serverEnded(ctx context.Context, r *http.Request, target *backend, body requestBody) bool {
	id, ok := body.identity(r)
	address, err := netip.ParseAddrPort(target.host)
	if !ok || err != nil {
		return false
	}
	return o.crashes.ConnectionLost(ctx, crash.NewProcess(target.host, 0), address, "", id)
}

func (o *Owner) recordCrash(r crash.Report) { o.reports.OnCrash(r.Server(), r.Identities()) }
