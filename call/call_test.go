package call

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/standin"
)

func TestIdempotentCallGetsCompleteResponse(t *testing.T) {
	f := newFleet(t, 3, standin.ServerSettings{Slots: 4})
	got := f.do("GET", "/browse/gates?page=2", "")
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.status, qt.Equals, http.StatusOK)
	f.c.Assert(got.outcome, qt.Equals, OutcomeAnswered)
	f.c.Assert(got.body, qt.Equals, "done GET /browse/gates?page=2\n")
	f.c.Assert(got.header.Get(HeaderLoad), qt.Equals, "")
}

func TestIssuedKeyRunsOnce(t *testing.T) {
	f := newFleet(t, 3, standin.ServerSettings{Slots: 4})
	response := f.do("GET", KeysPath+"?path=/commission/1&count=2", "")
	f.c.Assert(response.status, qt.Equals, http.StatusOK)
	var keys issuedKeys
	f.c.Assert(json.Unmarshal([]byte(response.body), &keys), qt.IsNil)
	f.c.Assert(keys.Keys, qt.HasLen, 2)
	for range 3 {
		got := f.do("POST", "/commission/1", "gate", HeaderKey, keys.Keys[0])
		f.c.Assert(got.outcome, qt.Equals, OutcomeAnswered)
		f.c.Assert(got.body, qt.Equals, "done POST /commission/1\ngate")
		f.c.Assert(got.header.Get("Content-Type"), qt.Equals, "text/plain")
	}
	f.c.Assert(f.executions(keys.Keys[0]), qt.Equals, 1)
	f.c.Assert(f.executions(keys.Keys[1]), qt.Equals, 0)
}

func TestBadCallsAreRefused(t *testing.T) {
	f := newFleet(t, 1, standin.ServerSettings{Slots: 4})
	unused := f.newKey(f.nodes[0])
	used := f.newKey(f.nodes[0])
	f.c.Assert(f.do("POST", "/commission", "a", HeaderKey, used).outcome, qt.Equals, OutcomeAnswered)
	for _, test := range []struct {
		name, path, body string
		header           []string
		status           int
		reason           Reason
	}{
		{"no route", "/nothing", "", nil, 404, ReasonNoRoute},
		{"path of another route", "/browse/../commission", "", nil, 400, ReasonPath},
		{"encoded path of another route", "/browse/%2e%2e/commission", "", nil, 400, ReasonPath},
		{"no key", "/commission", "", nil, 428, ReasonKeyMissing},
		{"malformed key", "/commission", "", []string{HeaderKey, "17"}, 400, ReasonKeyBad},
		{"foreign key", "/commission", "", []string{HeaderKey, "01932c07-209f-7f4d-8f3a-3c9d8d2b7a11"}, 400, ReasonKeyBad},
		{"key of another service", "/elsewhere", "", []string{HeaderKey, unused}, 400, ReasonKeyService},
		{"key of another request", "/commission", "b", []string{HeaderKey, used}, 422, ReasonKeyReused},
		{"too deep", "/browse", "", []string{HeaderDepth, "17"}, 400, ReasonTooDeep},
		{"keys for an idempotent route", KeysPath + "?path=/browse", "", nil, 400, ReasonBadArgument},
		{"too many keys", KeysPath + "?route=commission&count=1000", "", nil, 400, ReasonBadArgument},
	} {
		f.c.Run(test.name, func(c *qt.C) {
			method := "POST"
			if strings.HasPrefix(test.path, KeysPath) {
				method = "GET"
			}
			got := f.do(method, test.path, test.body, test.header...)
			c.Assert(got.status, qt.Equals, test.status)
			c.Assert(got.outcome, qt.Equals, OutcomeBad)
			c.Assert(got.reason, qt.Equals, test.reason)
		})
	}
}

func TestSlotsFollowServiceRecord(t *testing.T) {
	f := newFleet(t, 1, standin.ServerSettings{Slots: 4})
	slots := func() int {
		f.do("GET", "/browse", "")
		return f.nodes[0].owner.gate.Slots()
	}
	f.c.Assert(slots(), qt.Equals, 4)
	view := f.snap.Load().View()
	records := map[record.ID]record.Record{}
	for _, r := range append(testConfig().Records(), record.NewService(record.Schema1, "orders", 2)) {
		records[r.ID()] = r
	}
	f.snap.Store(message.NewSnapshot(catalog.NewSnapshot(2, record.SchemaNewest, records), view))
	f.c.Assert(slots(), qt.Equals, 2)
	f.setView()
	f.c.Assert(slots(), qt.Equals, 4)
}

// A rate limit at the ingress says nothing about earlier attempts with the same key, so a repeated key must
// not be reported as not run.
func TestRateLimitReportsRepeatedKeyAsUnknown(t *testing.T) {
	f := newFleet(t, 1, standin.ServerSettings{Slots: 4})
	key, fresh := f.newKey(f.nodes[0]), f.newKey(f.nodes[0])
	f.c.Assert(f.do("POST", "/booking", "x", HeaderKey, key, HeaderAttempt, "1").outcome, qt.Equals, OutcomeAnswered)
	got := f.do("POST", "/booking", "x", HeaderKey, key)
	f.c.Assert(got.outcome, qt.Equals, OutcomeUnknown)
	f.c.Assert(got.reason, qt.Equals, ReasonRate)
	f.c.Assert(got.status, qt.Equals, http.StatusGatewayTimeout)
	got = f.do("POST", "/booking", "x", HeaderKey, fresh, HeaderAttempt, "1")
	f.c.Assert(got.outcome, qt.Equals, OutcomeNotRun)
	f.c.Assert(f.executions(fresh), qt.Equals, 0)
}

func TestFinishedCallsAreObserved(t *testing.T) {
	f := newFleet(t, 1, standin.ServerSettings{Slots: 4})
	var observed []string
	f.ingress.settings.Observe = func(route record.Route, good bool, _ time.Duration) {
		observed = append(observed, fmt.Sprint(route.Name(), " ", good))
	}
	f.do("GET", "/browse", "")
	f.do("GET", "/nothing", "")
	f.do("POST", "/commission", "")
	f.do("GET", "/limited", "")
	f.do("GET", "/limited", "")
	f.nodes[0].server.TruncateResponses(1)
	f.do("POST", "/browse", "x")
	f.ingress.Close()
	f.c.Assert(observed, qt.DeepEquals, []string{"browse true", "limited true", "limited false", "browse false"})
}

func TestResourceRateLimit(t *testing.T) {
	f := newFleet(t, 1, standin.ServerSettings{Slots: 4})
	f.c.Assert(f.do("GET", "/limited", "").outcome, qt.Equals, OutcomeAnswered)
	got := f.do("GET", "/limited", "")
	f.c.Assert(got.status, qt.Equals, http.StatusTooManyRequests)
	f.c.Assert(got.outcome, qt.Equals, OutcomeNotRun)
	f.c.Assert(got.header.Get("Retry-After"), qt.Equals, "60")
	f.c.Assert(f.nodes[0].server.Completed(), qt.Equals, 1)
}
