package query_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/operator"
)

// TestRolloutsAreListedAndHalted guards against fields that the command loses on the way, and a halt of another service.
func TestRolloutsAreListedAndHalted(t *testing.T) {
	halted := ""
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.RolloutsPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = operator.WriteRollouts(w, []operator.RolloutFields{{
			Service: "cart", Base: "v1", Target: "v2", Phase: "canary", Share: 0.07, Servers: 3, Halted: true, Age: 9 * time.Second, Limit: 24 * time.Second,
			Verdict: "bad", Guards: 2, BaseRequests: 930, TargetRequests: 70, Decider: "10.0.0.1:7000", Reason: "failures",
		}})
	})
	mux.HandleFunc("POST "+operator.HaltPath, func(w http.ResponseWriter, r *http.Request) {
		halted = r.URL.Query().Get(operator.ServiceParameter)
		w.WriteHeader(http.StatusNoContent)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	run := func(args ...string) (code int, out string) {
		var stdout, stderr bytes.Buffer
		code = command.Run(append(args, "--node", server.Listener.Addr().String()), &stdout, &stderr)
		return code, stdout.String() + stderr.String()
	}
	code, out := run("rollouts")
	qt.Check(t, code, qt.Equals, command.ExitOK)
	qt.Check(t, out, qt.Matches, `(?s).*cart +v1 +v2 +canary, halted +7.0% +3 +9s +24s +bad +2 +930 +70 +10.0.0.1:7000 +failures\n`)
	code, _ = run("rollouts", "--halt", "cart")
	qt.Check(t, code, qt.Equals, command.ExitOK)
	qt.Check(t, halted, qt.Equals, "cart")
}
