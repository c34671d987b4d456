package node

import (
	"fmt"
	"net/http"

	"github.com/bambooknot/bambooknot/message"
)

// newObserver serves metrics, readiness and liveness. A node is ready while it serves calls, and alive
// while its control thread answers.
func newObserver(metrics http.Handler, stage func() message.Stage, alive func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		report(w, stage() == message.StageServing, string(stage()))
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		report(w, alive(), "control thread")
	})
	return mux
}

func report(w http.ResponseWriter, ok bool, detail string) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintln(w, detail)
}
