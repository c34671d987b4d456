package node

import (
	"fmt"
	"net/http"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/usage"
)

// newObserveHandler returns a handler for metrics, readiness, liveness and quarantined calls. A node is ready while it serves calls, and
// alive while its control loop responds.
func newObserveHandler(metrics http.Handler, stage func() message.Stage, alive func() bool, quarantine *quarantineView) http.Handler {
	mux := http.NewServeMux()
	quarantine.register(mux)
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		writeCheck(w, stage() == message.StageServing, string(stage()))
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		writeCheck(w, alive(), "control thread")
	})
	return mux
}

// newSidecarObserveHandler returns the handler of a sidecar's metrics port.
func newSidecarObserveHandler(metrics http.Handler, quarantine *quarantineView, rollouts *rolloutView, organisations *usage.Counts) http.Handler {
	mux := http.NewServeMux()
	quarantine.register(mux)
	rollouts.register(mux)
	mux.HandleFunc("GET "+operator.OrganisationsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = operator.WriteOrganisations(w, organisations.List()) // the client has gone
	})
	mux.Handle("/", metrics)
	return mux
}

func writeCheck(w http.ResponseWriter, ok bool, detail string) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintln(w, detail)
}
