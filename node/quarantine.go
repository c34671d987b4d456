package node

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/timer"
)

// quarantineView makes the control loop's view of requests that crash servers available to the traffic, and to operators on
// the metrics port.
type quarantineView struct {
	log     zerolog.Logger
	clock   *timer.Service
	post    func(message.Event)
	address netip.Addr // of the node
	current atomic.Pointer[quarantine.View]
	logged  map[quarantine.Content]quarantine.Status // quarantined contents as last logged; owned by the control loop
}

func newQuarantineView(log zerolog.Logger, clock *timer.Service, address netip.Addr, post func(message.Event)) *quarantineView {
	v := &quarantineView{log: log, clock: clock, post: post, address: address}
	v.current.Store(quarantine.NewView())
	return v
}

func (v *quarantineView) load() *quarantine.View { return v.current.Load() }

func (v *quarantineView) onCrash(server quarantine.Server, requests []quarantine.Request) {
	v.post(message.NewServerCrash(server, requests))
}

func (v *quarantineView) onCleared(request quarantine.Request) {
	v.post(message.NewRequestCleared(request))
}

func (v *quarantineView) onTrial(content quarantine.Content, number int) {
	v.post(message.NewContentTried(content, number))
}

// publish stores a view of the control loop and logs which requests are quarantined from now on and which are not any more.
func (v *quarantineView) publish(view *quarantine.View) {
	if view == v.current.Load() {
		return
	}
	v.current.Store(view)
	quarantined := view.Quarantined()
	for content, s := range quarantined {
		if _, known := v.logged[content]; !known {
			v.log.Warn().Str("kind", "request_quarantined").Stringer("content", content).Int("crashes", s.Crashes()).Int("trials", s.Trials()).
				Dur("next_trial", s.NextTrialAt().Sub(v.clock.Now())).Msg("servers crashed while they ran a request; refusing it")
		}
	}
	for content := range v.logged {
		if _, still := quarantined[content]; !still {
			v.log.Info().Str("kind", "request_released").Stringer("content", content).Msg("a request that was refused may run again")
		}
	}
	v.logged = quarantined
}

// register adds the paths for operators to a handler of the metrics port.
func (v *quarantineView) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+operator.QuarantinePath, v.serveList)
	mux.HandleFunc("POST "+operator.ReleasePath, v.serveRelease)
}

func (v *quarantineView) serveList(w http.ResponseWriter, _ *http.Request) {
	now := v.clock.Now()
	var contents []operator.QuarantinedContent
	for content, s := range v.load().Quarantined() {
		nextTrial := max(s.NextTrialAt().Sub(now), 0)
		contents = append(contents, operator.NewQuarantinedContent(content.String(), s.Crashes(), s.Trials(), nextTrial.Round(time.Millisecond)))
	}
	slices.SortFunc(contents, func(a, b operator.QuarantinedContent) int { return cmp.Compare(a.Content(), b.Content()) })
	w.Header().Set("Content-Type", "application/json")
	_ = operator.WriteQuarantine(w, contents) // the client has gone
}

// serveRelease releases a content. Only clients on the VM may do so, as the port is open to all that collect metrics.
func (v *quarantineView) serveRelease(w http.ResponseWriter, r *http.Request) {
	if !fromOwnVM(r, v.address) {
		http.Error(w, "a content can be released from the node's own VM only", http.StatusForbidden)
		return
	}
	content, err := quarantine.ParseContent(r.URL.Query().Get(operator.ContentParameter))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.log.Info().Str("kind", "quarantine_released").Stringer("content", content).Msg("an operator releases a quarantined content")
	v.post(message.NewContentReleased(content))
	w.WriteHeader(http.StatusNoContent)
}

// fromOwnVM reports whether a request comes from the VM with an address.
func fromOwnVM(r *http.Request, vm netip.Addr) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && (from.Addr().IsLoopback() || from.Addr() == vm)
}
