package standin

import (
	"encoding/json"
	"net/http"
)

func (s *Server) serveHealth(w http.ResponseWriter) {
	state := s.stateAt(s.timers.Now().Add(-s.settings.HealthLag))
	if s.settings.HealthAlwaysReady {
		state = ServerReady
	}
	writeJSON(w, map[string]string{"state": string(state)})
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control/executions":
		writeJSON(w, s.AllExecutions())
	case "/control/drain":
		s.Drain()
		w.WriteHeader(http.StatusNoContent)
	case "/control/done":
		writeJSON(w, s.Completed())
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
