package standin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

func serve(s *standin.Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func TestServerCountsExecutions(t *testing.T) {
	c := qt.New(t)
	s := standin.NewServer(standin.ServerSettings{Slots: 2}, timer.NewManual(time.Unix(0, 0)).Service())
	for range 2 {
		w := serve(s, "POST", "/a?b=1", "gate", "Idempotency-Key", "k")
		c.Assert(w.Body.String(), qt.Equals, "done POST /a?b=1\ngate")
	}
	c.Assert(s.Executions("k"), qt.Equals, 2)
	var counts map[string]int
	c.Assert(json.Unmarshal(serve(s, "GET", "/control/executions", "").Body.Bytes(), &counts), qt.IsNil)
	c.Assert(counts, qt.DeepEquals, map[string]int{"k": 2})
	late := serve(s, "POST", "/a", "", "Idempotency-Key", "late", "Bambooknot-Timeout-Ms", "0")
	c.Assert(late.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(late.Header().Get("Bambooknot-Outcome"), qt.Equals, "not-run")
	c.Assert(s.Executions("late"), qt.Equals, 0)
}

func TestServerHealthLagAndAlwaysReady(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	settings := standin.ServerSettings{ColdPeriod: 10 * time.Second, HealthLag: 3 * time.Second}
	s := standin.NewServer(settings, clock.Service())
	settings.HealthAlwaysReady = true
	alwaysReady := standin.NewServer(settings, clock.Service())
	health := func(s *standin.Server) string { return strings.TrimSpace(serve(s, "GET", "/health", "").Body.String()) }
	c.Assert(s.State(), qt.Equals, standin.ServerCold)
	c.Assert(health(alwaysReady), qt.Equals, `{"state":"ready"}`)
	clock.Advance(11 * time.Second)
	c.Assert(s.State(), qt.Equals, standin.ServerReady)
	c.Assert(health(s), qt.Equals, `{"state":"cold"}`)
	clock.Advance(2 * time.Second)
	c.Assert(health(s), qt.Equals, `{"state":"ready"}`)
	serve(s, "POST", "/control/drain", "")
	c.Assert(s.State(), qt.Equals, standin.ServerDraining)
	c.Assert(health(s), qt.Equals, `{"state":"ready"}`)
}

func TestAnnouncer(t *testing.T) {
	c := qt.New(t)
	bodies := make(chan string, 10)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- r.Method + " " + r.URL.Path + " " + string(body)
	}))
	defer node.Close()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := standin.NewServer(standin.ServerSettings{Service: "orders", Slots: 6, ColdPeriod: time.Second}, clock.Service())
	address := netip.MustParseAddrPort("127.0.0.1:8080")
	peer := netip.MustParseAddrPort(strings.TrimPrefix(node.URL, "http://"))
	a := standin.NewAnnouncer(s, address, peer, clock.Service(), func(err error) { c.Error(err) })
	want := func(state string) string {
		return `PUT /server {"service":"orders","state":"` + state + `","slots":6,"address":"127.0.0.1:8080"}`
	}
	c.Assert(<-bodies, qt.Equals, want("cold"))
	clock.Advance(standin.AnnouncePeriod)
	c.Assert(<-bodies, qt.Equals, want("ready"))
	s.Drain()
	clock.Advance(standin.AnnouncePeriod)
	c.Assert(<-bodies, qt.Equals, want("draining"))
	a.Close()
	clock.Advance(standin.AnnouncePeriod)
	c.Assert(bodies, qt.HasLen, 0)
}
