package standin_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

// logFixture is a stand-in log with a manual clock, served on a loopback address.
type logFixture struct {
	c      *qt.C
	t      *testing.T
	clock  *timer.Manual
	log    *standin.Log
	server *httptest.Server
	client *platform.Log
}

func newLogFixture(t *testing.T, settings standin.LogSettings) *logFixture {
	clock := timer.NewManual(time.Unix(1000, 0))
	f := &logFixture{c: qt.New(t), t: t, clock: clock, log: standin.NewLog(settings, clock.Service())}
	f.server = httptest.NewServer(f.log)
	f.client = platform.NewLog(netip.MustParseAddrPort(f.server.Listener.Addr().String()), f.server.Client())
	t.Cleanup(f.server.Close)
	t.Cleanup(f.log.Close)
	return f
}

func (f *logFixture) append(text string) (record.Offset, error) {
	return f.client.Append(f.t.Context(), message.StreamConfig, []byte(text))
}

func (f *logFixture) fill(n int) {
	for i := range n {
		_, err := f.append(fmt.Sprint("entry ", i))
		f.c.Assert(err, qt.IsNil)
	}
}

func (f *logFixture) read(from record.Offset, wait time.Duration) message.LogPage {
	return f.client.Read(f.t.Context(), message.StreamConfig, from, wait)
}

func (f *logFixture) control(path string) int {
	resp, err := f.server.Client().Post(f.server.URL+"/control/"+path, "", nil)
	f.c.Assert(err, qt.IsNil)
	resp.Body.Close()
	return resp.StatusCode
}

func TestLogAppendAndRead(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	f.fill(3)
	page := f.read(1, 0)
	f.c.Assert(page.Err(), qt.IsNil)
	f.c.Assert(page.First(), qt.Equals, record.Offset(0))
	f.c.Assert(page.Next(), qt.Equals, record.Offset(3))
	f.c.Assert(page.Entries(), qt.HasLen, 2)
	f.c.Assert(string(page.Entries()[1].Data()), qt.Equals, "entry 2")
	f.c.Assert(f.client.Read(t.Context(), message.StreamRendezvous, 0, 0).Entries(), qt.HasLen, 0)
	_, err := f.append("")
	f.c.Assert(platform.ClassOf(err), qt.Equals, platform.ClassNotApplied)
}

func TestLogPagesAreBounded(t *testing.T) {
	settings := standin.DefaultLogSettings()
	settings.AppendsPerSecond = 1e6
	f := newLogFixture(t, settings)
	f.fill(platform.MaxPageEntries + 5)
	f.c.Assert(f.read(0, 0).Entries(), qt.HasLen, platform.MaxPageEntries)
	f.c.Assert(f.read(platform.MaxPageEntries, 0).Entries(), qt.HasLen, 5)
}

func TestLogRetention(t *testing.T) {
	settings := standin.DefaultLogSettings()
	settings.MaxEntries, settings.MaxAge = 4, time.Hour
	f := newLogFixture(t, settings)
	f.fill(6)
	page := f.read(1, 0)
	f.c.Assert(platform.ClassOf(page.Err()), qt.Equals, platform.ClassTrimmed)
	f.c.Assert(page.First(), qt.Equals, record.Offset(2))
	f.clock.Advance(time.Hour)
	f.c.Assert(f.read(2, 0).Entries(), qt.HasLen, 4)
	f.fill(1)
	f.clock.Advance(time.Second)
	page = f.read(2, 0)
	f.c.Assert(page.First(), qt.Equals, record.Offset(6))
	f.c.Assert(f.read(page.First(), 0).Next(), qt.Equals, record.Offset(7))
}

func TestLogAppendRate(t *testing.T) {
	settings := standin.DefaultLogSettings()
	settings.AppendsPerSecond = 100
	f := newLogFixture(t, settings)
	f.fill(10)
	_, err := f.append("too many")
	f.c.Assert(platform.ClassOf(err), qt.Equals, platform.ClassNotApplied)
	f.c.Assert(err, qt.ErrorMatches, ".*status 429.*")
	f.clock.Advance(50 * time.Millisecond)
	f.fill(5)
	_, err = f.append("too many")
	f.c.Assert(err, qt.ErrorMatches, ".*status 429.*")
	f.c.Assert(f.read(0, 0).Next(), qt.Equals, record.Offset(15))
}

func TestLogEntrySize(t *testing.T) {
	settings := standin.DefaultLogSettings()
	settings.MaxEntrySize = 10
	f := newLogFixture(t, settings)
	_, err := f.append("01234567890")
	f.c.Assert(err, qt.ErrorMatches, ".*status 413.*")
	f.c.Assert(platform.ClassOf(err), qt.Equals, platform.ClassNotApplied)
}

func TestLogOutages(t *testing.T) {
	for kind, want := range map[string]platform.Class{"refuse": platform.ClassNotApplied, "drop": platform.ClassUnknown} {
		t.Run(kind, func(t *testing.T) {
			f := newLogFixture(t, standin.DefaultLogSettings())
			f.fill(2)
			f.c.Assert(f.control("outage?kind="+kind), qt.Equals, http.StatusNoContent)
			_, err := f.append("lost")
			f.c.Assert(platform.ClassOf(err), qt.Equals, want)
			f.c.Assert(platform.ClassOf(f.read(0, 0).Err()), qt.Equals, platform.ClassUnavailable)
			f.c.Assert(f.control("outage?kind=off"), qt.Equals, http.StatusNoContent)
			f.c.Assert(f.read(0, 0).Entries(), qt.HasLen, 2)
		})
	}
}

func TestLogHangsUntilOutageEnds(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	f.control("outage?kind=hang")
	done := make(chan error)
	go func() {
		_, err := f.append("late")
		done <- err
	}()
	f.control("outage?kind=off")
	f.c.Assert(<-done, qt.IsNil)
}

func TestLogLosesAcks(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	f.fill(1)
	f.control("lose-acks?count=1")
	_, err := f.append("in doubt")
	f.c.Assert(platform.ClassOf(err), qt.Equals, platform.ClassUnknown)
	offset, err := f.append("known")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(offset, qt.Equals, record.Offset(2))
	f.c.Assert(string(f.read(1, 0).Entries()[0].Data()), qt.Equals, "in doubt")
}

// post sends a request to the log and decodes the JSON response into answer unless that is nil.
func (f *logFixture) post(path, body string, answer any) int {
	resp, err := f.server.Client().Post(f.server.URL+path, "application/json", strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	if answer != nil {
		f.c.Assert(json.NewDecoder(resp.Body).Decode(answer), qt.IsNil)
	}
	return resp.StatusCode
}

// TestLogDelaysAppends checks that a delayed append is applied after its connection has been broken, unless it requires
// an end offset that the topic has passed.
func TestLogDelaysAppends(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	f.c.Assert(f.control("defer?count=2&delay=3s"), qt.Equals, http.StatusNoContent)
	_, err := f.append("late")
	f.c.Assert(platform.ClassOf(err), qt.Equals, platform.ClassUnknown)
	entry := "\x00\x00\x00\x01x"
	_, err = f.server.Client().Post(f.server.URL+"/v1/log-append?topic=config&part=0&at=0", "", strings.NewReader(entry))
	f.c.Assert(err, qt.IsNotNil)
	f.c.Assert(f.read(0, 0).Entries(), qt.HasLen, 0)
	f.fill(1)
	f.clock.Advance(4 * time.Second)
	page := f.read(0, 0)
	f.c.Assert(page.Entries(), qt.HasLen, 2) // the append with at=0 is rejected, as the topic has grown
	f.c.Assert(string(page.Entries()[1].Data()), qt.Equals, "late")
}

func TestLogProducers(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	type outcome struct {
		Offset, Sequence uint64
		Why              string
	}
	const entry = "\x00\x00\x00\x01x"
	for _, step := range []struct {
		epoch, sequence int
		body            string
		status          int
		want            outcome
	}{
		{1, 7, entry, 200, outcome{Offset: 0}}, // an epoch may start at any sequence number
		{1, 8, entry, 200, outcome{Offset: 1}},
		{1, 7, entry, 200, outcome{Offset: 0}}, // a repeat
		{1, 10, entry, 409, outcome{Why: "seq", Sequence: 9}},
		{2, 0, "", 200, outcome{}}, // sets the epoch
		{1, 9, entry, 409, outcome{Why: "fenced"}},
		{2, 3, entry, 200, outcome{Offset: 2}},
	} {
		var got outcome
		path := fmt.Sprintf("/v1/log-append?topic=t&part=0&producer=p&epoch=%d&sequence=%d", step.epoch, step.sequence)
		f.c.Assert(f.post(path, step.body, &got), qt.Equals, step.status, qt.Commentf("%v", step))
		f.c.Assert(got, qt.Equals, step.want, qt.Commentf("%v", step))
	}
	f.c.Assert(f.post("/v1/log-trim?topic=t&part=0&before=2", "", nil), qt.Equals, http.StatusOK)
	f.c.Assert(f.client.Read(t.Context(), "t", 0, 0).First(), qt.Equals, record.Offset(2))
}

type joinResponse struct {
	Generation uint64
	Parts      [][]any
}

func (f *logFixture) join(member string, generation uint64) joinResponse {
	var got joinResponse
	body := fmt.Sprintf(`{"group":"g","member":%q,"topics":["a","b"],"ttl_time":"2s","generation":%d}`, member, generation)
	f.c.Assert(f.post("/v1/log-join", body, &got), qt.Equals, http.StatusOK)
	return got
}

func (f *logFixture) commit(member, topic string, generation, offset uint64) int {
	return f.post("/v1/log-commit", fmt.Sprintf(`{"group":"g","member":%q,"topic":%q,"part":0,"generation":%d,"offset":%d}`, member, topic, generation, offset), nil)
}

// TestLogGroups checks that a partition moves to another member only after its owner has joined with the current
// generation, has left, or has not joined for its time-to-live.
func TestLogGroups(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	first := f.join("m1", 0)
	f.c.Assert(first.Parts, qt.HasLen, 2)
	f.c.Assert(f.commit("m1", "b", first.Generation, 5), qt.Equals, http.StatusOK)

	second := f.join("m2", 0)
	f.c.Assert(second.Generation > first.Generation, qt.IsTrue)
	f.c.Assert(second.Parts, qt.HasLen, 0) // m1 has not yet joined with the new generation
	f.c.Assert(f.commit("m2", "b", second.Generation, 6), qt.Equals, http.StatusConflict)
	f.c.Assert(f.join("m1", first.Generation).Parts, qt.HasLen, 1)
	f.c.Assert(f.join("m1", second.Generation).Parts, qt.HasLen, 1)
	f.c.Assert(f.join("m2", second.Generation).Parts, qt.DeepEquals, [][]any{{"b", 0.0, 5.0}})
	f.c.Assert(f.commit("m1", "b", second.Generation, 6), qt.Equals, http.StatusConflict)
	f.c.Assert(f.commit("m2", "b", first.Generation, 6), qt.Equals, http.StatusConflict)
	f.c.Assert(f.commit("m2", "b", second.Generation, 6), qt.Equals, http.StatusOK)

	f.clock.Advance(1500 * time.Millisecond)
	f.join("m2", second.Generation)
	f.clock.Advance(time.Second) // exceeds the time-to-live of m1
	f.c.Assert(f.join("m2", second.Generation).Parts, qt.HasLen, 2)
	f.c.Assert(f.post("/v1/log-leave", `{"group":"g","member":"m2"}`, nil), qt.Equals, http.StatusOK)
	var owners struct{ Owners [][]any }
	resp, err := f.server.Client().Get(f.server.URL + "/v1/log-owners?group=g")
	f.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	f.c.Assert(json.NewDecoder(resp.Body).Decode(&owners), qt.IsNil)
	f.c.Assert(owners.Owners, qt.DeepEquals, [][]any{{"a", 0.0, "", 0.0}, {"b", 0.0, "", 6.0}})
	f.c.Assert(f.post("/v1/log-join", `{"group":"g","member":"m","ttl_time":"1ms"}`, nil), qt.Equals, http.StatusBadRequest)
	f.c.Assert(f.post("/v1/log-join", `{"group":"g"}`, nil), qt.Equals, http.StatusBadRequest)
}

func TestLogGroupIsReassigned(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	g := f.join("m1", 0).Generation
	g = f.join("m2", g).Generation
	f.join("m1", g)
	before := f.join("m2", g).Parts
	f.c.Assert(f.control("reassign?group=g"), qt.Equals, http.StatusNoContent)
	after := f.join("m2", g)
	f.c.Assert(after.Parts, qt.Not(qt.DeepEquals), before)
	f.c.Assert(after.Generation > g, qt.IsTrue)
}

// TestLogReadWaits checks that a waiting read returns an entry as soon as it is appended, and an empty page after its
// maximum wait.
func TestLogReadWaits(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	pages := make(chan message.LogPage)
	read := func() { pages <- f.read(0, time.Minute) }
	go read()
	f.fill(1)
	f.c.Assert((<-pages).Entries(), qt.HasLen, 1)

	go func() { pages <- f.read(1, 10*time.Second) }()
	var page message.LogPage
	for waiting := true; waiting; {
		select {
		case page = <-pages:
			waiting = false
		default:
			f.clock.Advance(time.Second)
		}
	}
	f.c.Assert(page.Err(), qt.IsNil)
	f.c.Assert(page.Entries(), qt.HasLen, 0)
	f.c.Assert(page.Next(), qt.Equals, record.Offset(1))
}

func TestLogOutageEndsWaits(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	pages := make(chan message.LogPage)
	go func() { pages <- f.read(0, time.Minute) }()
	f.c.Assert(f.log.SetOutage(standin.OutageRefuse), qt.IsNil)
	f.c.Assert(platform.ClassOf((<-pages).Err()), qt.Equals, platform.ClassUnavailable)
}

func TestLogRequestDelay(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	f.c.Assert(f.control("slow?delay=2s"), qt.Equals, http.StatusNoContent)
	done := make(chan error)
	start := f.clock.Now()
	go func() {
		_, err := f.append("slow")
		done <- err
	}()
	for waiting := true; waiting; {
		select {
		case err := <-done:
			f.c.Assert(err, qt.IsNil)
			waiting = false
		default:
			f.clock.Advance(10 * time.Millisecond)
		}
	}
	f.c.Assert(f.clock.Now().Sub(start) >= 2*time.Second, qt.IsTrue)
}

func TestLogControlRejectsInvalidArguments(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	for _, path := range []string{"outage?kind=fire", "slow?delay=x", "lose-acks", "trim?before=-1"} {
		f.c.Check(f.control(path), qt.Equals, http.StatusBadRequest, qt.Commentf("%s", path))
	}
	f.c.Assert(f.control("nothing"), qt.Equals, http.StatusNotFound)
	resp, err := f.server.Client().Get(f.server.URL + "/control/status")
	f.c.Assert(err, qt.IsNil)
	resp.Body.Close()
	f.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

func TestLogCloseEndsWaits(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	pages := make(chan message.LogPage)
	go func() { pages <- f.read(0, time.Minute) }()
	f.log.Close()
	f.c.Assert(platform.ClassOf((<-pages).Err()), qt.Equals, platform.ClassUnavailable)
	f.c.Assert(platform.ClassOf(f.read(0, 0).Err()), qt.Equals, platform.ClassUnavailable)
}
