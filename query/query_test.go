package query_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/burn"
	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	_ "github.com/bambooknot/bambooknot/query"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/recordfile"
	"github.com/bambooknot/bambooknot/timer"
)

const fleet = "bambooknot"

var (
	now      = time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	accepted = record.PublishID{1}
	refused  = record.PublishID{2}
	places   = []member.Place{member.NewPlace("jadran", "split"), member.NewPlace("kontinent", "zagreb")}
)

func nodeMember(i int) member.Member {
	key := member.NewKey(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7100+i)), 1)
	return member.New(key, places[i%2], record.Schema2).WithServer(member.NewServer("narudzbe", member.ServerReady, 18))
}

// status returns the status of node i in a fleet of two nodes, one in each region, the second of which is behind.
func status(i int) message.Status {
	census := func(m member.Member, version record.Version, laggards ...message.Laggard) message.Census {
		return message.NewCensus(m.Place().Region(), []message.VersionCount{message.NewVersionCount(version, 1)}, laggards, now)
	}
	a, b := nodeMember(0), nodeMember(1)
	return message.NewStatus(message.StatusFields{
		Stage: message.StageServing, Self: nodeMember(i), Digest: message.NewDigest(7, 9, 0xabc), Level: 2,
		LogErr: errors.New("connection refused"), LogSeenAt: now, Roles: []string{"log reader"},
		Members: []member.Member{a, b}, MissingLevel: 3, Unconfirmed: true, Conflicts: 4, Gap: message.NewGap(9, 12),
		Census: []message.Census{census(a, 7), census(b, 6, message.NewLaggard(b.Key(), 6))},
	})
}

func outcome(id record.PublishID) (record.Outcome, bool) {
	switch id {
	case accepted:
		return record.Accepted(id, 6), true
	case refused:
		fault := record.NewFault(record.ReasonDangling, record.NewID(record.KindRoute, "r"), "service", "there is no service s")
		return record.Refused(id, 6, []record.Fault{fault}), true
	}
	return record.Outcome{}, false
}

// startNode serves the operators' port of node i and returns its address.
func startNode(t *testing.T, i int) string {
	server := httptest.NewServer(newHandler(i, status(i)))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newHandler returns the operators' handler of node i, whose counts exceed the error budget slowly.
func newHandler(i int, status message.Status) *operator.Handler {
	clock := timer.NewManual(now.Add(-2 * time.Hour))
	counter := burn.New(nodeMember(i).Key(), places[i%2].Region(), clock.Service(), tally.NoopScope)
	r := record.NewRoute2("commission", "/c", "radionica", false, 0, nil, record.NewObjective(0.99, 100*time.Millisecond))
	for n := range 1200 {
		counter.Observe(r, n%40 != 0, time.Duration(n%7)*time.Millisecond)
		clock.Advance(6 * time.Second)
	}
	return operator.NewHandler(fleet, operator.Callbacks{
		Status:  func() message.Status { return status },
		Outcome: outcome,
		Burn:    func() burn.Counts { return counter.Counts([]record.Route{r}) },
		Records: func() operator.Records { return operator.NewRecords(7, 2, []record.Record{r}) },
	}, tally.NoopScope)
}

func run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = command.Run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestQueries(t *testing.T) {
	node, other := startNode(t, 0), startNode(t, 1)
	closed := httptest.NewServer(nil)
	closed.Close()
	down := strings.TrimPrefix(closed.URL, "http://")
	for _, test := range []struct {
		name      string
		args      []string
		code      int
		wantTexts []string
	}{
		{"status", []string{"status", "--node", node}, command.ExitOK, []string{
			"10.0.0.1:7100, jadran/split", "serving", "narudzbe, ready, 18 slots", "log reader", "7, log applied up to offset 9",
			"lacks schema 3", "4 digests, entries or states contradicted", "entries 9 to 11 were trimmed before this node read them", "bambooknot bridge --accept-loss 12", "does not know the end of the log yet", "FAULT: connection refused", "2 alive, 0 suspect", "1 nodes at version 6; 10.0.0.1:7101 behind at 6",
		}},
		{"members", []string{"status", "--members", "--node", node}, command.ExitOK, []string{"10.0.0.1:7101  kontinent  zagreb"}},
		{"status as JSON", []string{"status", "--json", "--node", node}, command.ExitOK, []string{`"stage":"serving"`}},
		{"status of no node", []string{"status", "--node", down}, command.ExitUnavailable, []string{"connection refused"}},
		{"status of another fleet", []string{"status", "--node", node, "--fleet", "x"}, command.ExitFailure, []string{"another fleet"}},
		{"watch in force", []string{"watch", "6", "--node", node}, command.ExitOK, []string{"version 6 in force: jadran 1/1, kontinent 1/1"}},
		{"watch in time", []string{"watch", "7", "--node", node, "--timeout", "1ms"}, command.ExitTimeout, []string{"jadran 1/1, kontinent 0/1"}},
		{"watch as JSON", []string{"watch", "7", "--json", "--node", node, "--timeout", "1ms"}, command.ExitTimeout, []string{`"in_force":0,"nodes":1,"behind":["10.0.0.1:7101"]`}},
		{"watch a publish", []string{"watch", "--publish-id", accepted.String(), "--node", node}, command.ExitOK, []string{"version 6 in force"}},
		{"watch a refused publish", []string{"watch", "--publish-id", refused.String(), "--node", node}, command.ExitRefused, []string{"dangling: route/r: service: there is no service s"}},
		{"watch an unknown publish", []string{"watch", "--publish-id", "00000000-0000-0000-0000-000000000009", "--node", node, "--timeout", "1ms"}, command.ExitTimeout, []string{"no outcome"}},
		{"watch a version and a publish", []string{"watch", "6", "--publish-id", accepted.String(), "--node", node}, command.ExitUsage, []string{"VERSION and --publish-id are mutually exclusive"}},
		{"watch the newest", []string{"watch", "--node", node, "--timeout", "1ms"}, command.ExitTimeout, []string{"version 7 in force: jadran 1/1, kontinent 0/1"}},
		{"watch the newest of no node", []string{"watch", "--node", down, "--timeout", "1ms"}, command.ExitTimeout, []string{"no version known within the timeout", "connection refused"}},
		{"outcome accepted", []string{"outcome", accepted.String(), "--node", node}, command.ExitOK, []string{"accepted as version 6"}},
		{"outcome refused", []string{"outcome", refused.String(), "--json", "--node", node}, command.ExitRefused, []string{`"reason":"dangling"`}},
		{"outcome unknown", []string{"outcome", "00000000-0000-0000-0000-000000000009", "--node", node}, command.ExitUnknown, []string{"knows no outcome"}},
		{"outcome of no ID", []string{"outcome", "x", "--node", node}, command.ExitUsage, []string{"PUBLISH-ID"}},
		{"burn", []string{"report", "burn", "--node", node, "--node", other}, command.ExitOK, []string{
			"covers 2 of 2 nodes asked; 2 nodes of the fleet are alive", "commission", "99% in 100ms", "ticket",
		}},
		{"burn in part", []string{"report", "burn", "--node", node, "--node", down}, command.ExitFailure, []string{"covers 1 of 2", down + " has not answered"}},
		{"burn of no node", []string{"report", "burn", "--node", down}, command.ExitUnavailable, []string{"covers 0 of 1"}},
		{"unknown report", []string{"report", "weather", "--node", node}, command.ExitUsage, []string{"must be burn"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := run(test.args...)
			qt.Check(t, code, qt.Equals, test.code, qt.Commentf("%s%s", out, errOut))
			for _, want := range test.wantTexts {
				qt.Check(t, out+errOut, qt.Contains, want)
			}
		})
	}
}

func TestRecordsOutputIsAPublishableRecordFile(t *testing.T) {
	code, out, errOut := run("records", "--node", startNode(t, 0))
	qt.Assert(t, code, qt.Equals, command.ExitOK, qt.Commentf("%s", errOut))
	file, err := recordfile.Parse("records", []byte(out))
	qt.Assert(t, err, qt.IsNil)
	base, _ := file.Base()
	qt.Check(t, base, qt.Equals, record.Version(7))
	qt.Check(t, file.Puts(), qt.HasLen, 1)
}

// TestReportCountsNodeOnce checks that a node given at two addresses is not counted twice.
func TestReportCountsNodeOnce(t *testing.T) {
	first, second := startNode(t, 0), startNode(t, 0)
	code, out, errOut := run("report", "burn", "--json", "--node", first, "--node", second)
	qt.Check(t, code, qt.Equals, command.ExitFailure)
	qt.Check(t, errOut, qt.Contains, "already covered")
	var report struct {
		Rows []struct {
			Windows []struct{ Calls, Bad uint64 }
		}
	}
	qt.Assert(t, json.Unmarshal([]byte(out), &report), qt.IsNil)
	qt.Assert(t, report.Rows, qt.HasLen, 2)
	for _, row := range report.Rows {
		qt.Check(t, row.Windows[4].Calls, qt.Equals, uint64(1200))
		qt.Check(t, row.Windows[4].Bad, qt.Equals, uint64(30))
	}
}

// TestReportMembers checks that --members queries the other nodes at their peer addresses.
func TestReportMembers(t *testing.T) {
	var members []member.Member
	for i, host := range []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"} {
		members = append(members, member.New(member.NewKey(netip.MustParseAddrPort(host+":7100"), 1), places[i%2], record.Schema2))
	}
	members = append(members, nodeMember(3).WithHealth(member.HealthDead))
	known := message.NewStatus(message.StatusFields{Self: members[0], Members: members})
	first := httptest.NewServer(newHandler(0, known))
	defer first.Close()
	addr := strings.TrimPrefix(first.URL, "http://")
	_, port, err := net.SplitHostPort(addr)
	qt.Assert(t, err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.2:"+port)
	qt.Assert(t, err, qt.IsNil)
	second := &httptest.Server{Listener: listener, Config: &http.Server{Handler: newHandler(1, known)}}
	second.Start()
	defer second.Close()
	code, out, errOut := run("report", "burn", "--members", "--node", addr)
	qt.Check(t, code, qt.Equals, command.ExitFailure, qt.Commentf("%s", errOut))
	qt.Check(t, out, qt.Contains, "covers 2 of 3 nodes asked; 3 nodes of the fleet are alive")
	qt.Check(t, errOut, qt.Contains, "127.0.0.3:"+port+" has not answered")
	code, _, _ = run("report", "burn", "--members", "--node", "127.0.0.3:"+port)
	qt.Check(t, code, qt.Equals, command.ExitUnavailable)
}

func TestReportPage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "burn.html")
	code, _, errOut := run("report", "burn", "--html", path, "--node", startNode(t, 0), "--node", startNode(t, 1))
	qt.Assert(t, code, qt.Equals, command.ExitOK, qt.Commentf("%s", errOut))
	page, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	text := string(page)
	qt.Check(t, strings.Count(text, "<svg"), qt.Equals, 3)
	qt.Check(t, strings.Count(text, "</svg>"), qt.Equals, 3)
	for _, want := range []string{"covers 2 of 2 nodes asked", "radionica jadran", "radionica kontinent", "Burn rate, last 3d"} {
		qt.Check(t, text, qt.Contains, want)
	}
	for _, unwanted := range []string{"<script", "<?xml", "src=", "@import"} {
		qt.Check(t, text, qt.Not(qt.Contains), unwanted)
	}
	if keptPagePath := os.Getenv("BAMBOOKNOT_KEEP_PAGE"); keptPagePath != "" {
		qt.Assert(t, os.WriteFile(keptPagePath, page, 0o600), qt.IsNil)
	}
}
