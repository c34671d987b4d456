package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/routing"
)

// newOrganisationFixture returns a fleet whose table has the organisation acme with the given keys.
func newOrganisationFixture(t *testing.T, nodes int, keys ...string) *fixture {
	f := newFixture(t, nodes, tally.NoopScope)
	f.publishKeys(keys...)
	return f
}

func (f *fixture) publishKeys(keys ...string) {
	organisations := routing.NewOrganisations()
	qt.Assert(f.t, organisations.Add(routing.NewOrganisation(routing.OrganisationFields{Name: "acme"}), keys), qt.IsNil)
	exempt := routing.NewRoute(routing.RouteFields{
		Name: "open", Host: "a.example", Prefix: "/open/", Kind: routing.KindSafe, Timeout: 20 * time.Second, TargetLatency: 10 * time.Second, AuthExempt: true,
		Services: []routing.WeightedService{routing.NewWeightedService(service, 1)},
	})
	f.table = routing.NewTable(1, []routing.Route{route("read", "/read/", routing.KindSafe, 20*time.Second), exempt}, nil, routing.Limits{}).WithOrganisations(organisations)
	f.publish()
}

// sendWith sends a request as a caller with further headers and returns the status of the response.
func (f *fixture) sendWith(path, attempt string, more http.Header) int {
	h := http.Header{"X-Attempt-Id": {attempt}, "X-Deadline-Remaining": {"15000"}}
	for name, values := range more {
		h[name] = values
	}
	return f.ingress.Handle(f.t.Context(), received(exchange.NewRequest(http.MethodGet, path, "a.example", h, nil))).Status()
}

// TestRequestsNeedKeys guards against requests that run without a valid key, against keys that are refused for the case of
// the scheme, and against exempt routes that ask for a key.
func TestRequestsNeedKeys(t *testing.T) {
	f := newOrganisationFixture(t, 1, "k1", "k2")
	for i, test := range []struct {
		path string
		keys []string
		want int
	}{
		{"/read/1", []string{"Bearer k1"}, 200},
		{"/read/1", []string{"bEARER k2"}, 200},
		{"/read/1", nil, 401},
		{"/read/1", []string{"Bearer k3"}, 401},
		{"/read/1", []string{"Bearer "}, 401},
		{"/read/1", []string{"Bearer"}, 401},
		{"/read/1", []string{"k1"}, 401},
		{"/read/1", []string{"Basic k1"}, 401},
		{"/read/1", []string{"Bearer k1", "Bearer k1"}, 401},
		{"/open/1", nil, 200},
		{"/open/1", []string{"Bearer k3"}, 200},
		{"/none/1", nil, 404},
	} {
		attempt := fmt.Sprint("r", i)
		status := f.sendWith(test.path, attempt, http.Header{"Authorization": test.keys})
		qt.Check(t, status, qt.Equals, test.want, qt.Commentf("%s %q", test.path, test.keys))
		qt.Check(t, f.runsOf(attempt) == 1, qt.Equals, test.want == 200, qt.Commentf("%s %q", test.path, test.keys))
	}
}

// TestCallsOfRunningRequestsAreRecognised guards against calls of a server that wait behind new requests, and against
// callers that are preferred for IDs that look like those of such calls.
func TestCallsOfRunningRequestsAreRecognised(t *testing.T) {
	f := newOrganisationFixture(t, 1, "k1")
	calls := make(map[string]bool)
	f.backends[0].setHandler(func(w http.ResponseWriter, r *http.Request) {
		for _, id := range []string{"p.1", "p.1.2", "q.1", "p1"} {
			calls[id] = f.owners[0].IsNested(id)
		}
		f.backends[0].answer(w, r)
	})
	qt.Assert(t, f.sendWith("/read/1", "p", http.Header{"Authorization": {"Bearer k1"}}), qt.Equals, http.StatusOK)
	qt.Assert(t, calls, qt.DeepEquals, map[string]bool{"p.1": true, "p.1.2": true, "q.1": false, "p1": false})
	qt.Assert(t, f.owners[0].IsNested("p.1"), qt.IsFalse)
}

// TestNodeWithoutDocumentRefusesNoKey guards against status 401 from a node that does not know the keys yet.
func TestNodeWithoutDocumentRefusesNoKey(t *testing.T) {
	f := newOrganisationFixture(t, 1, "k1")
	f.snapshot.Store(nil)
	for i, keys := range [][]string{nil, {"Bearer k1"}, {"Bearer k2"}} {
		qt.Check(t, f.sendWith("/read/1", fmt.Sprint("r", i), http.Header{"Authorization": keys}), qt.Equals, http.StatusServiceUnavailable)
	}
}
