package query_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/command"
)

const ingressLog = `  1.5 vm-1 {"level":"info","vm":"vm-1","kind":"request_retried","request":"r1","reason":"full","time":"2026-01-02T03:04:05.2Z","message":"trying another server"}
not a log line of a sidecar
{"level":"info","vm":"vm-1","kind":"routes_changed","version":7,"time":"2026-01-02T03:04:04.9Z","message":"new routes are in force"}
{"level":"info","vm":"vm-1","kind":"request_given_up","request":"r1","status":503,"time":"2026-01-02T03:04:05.4Z","message":"request given up"}
{"level":"info","vm":"vm-1","kind":"request_given_up","request":"r2","status":503,"time":"2026-01-02T03:04:05.4Z","message":"request given up"}
`

const ownerLog = `{"level":"info","vm":"vm-2","kind":"server_result","request":"r1","reason":"full","queued":9,"time":"2026-01-02T03:04:05.1Z","message":"request was not answered by the server"}
{"level":"info","vm":"vm-2","kind":"store_lost","time":"2026-01-02T03:04:01Z","message":"the store does not answer"}
`

func trace(t *testing.T, args ...string) (code int, out []string) {
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "1"), filepath.Join(dir, "2")}
	qt.Assert(t, os.WriteFile(files[0], []byte(ingressLog), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(files[1], []byte(ownerLog), 0o600), qt.IsNil)
	var stdout, stderr bytes.Buffer
	code = command.Run(append(append([]string{"trace"}, args...), files...), &stdout, &stderr)
	return code, strings.Split(strings.TrimSpace(stdout.String()), "\n")
}

func TestTraceOrdersLinesOfAllNodes(t *testing.T) {
	c := qt.New(t)
	code, out := trace(t, "r1")
	c.Assert(code, qt.Equals, command.ExitOK)
	c.Assert(out, qt.HasLen, 3)
	c.Assert(out[0], qt.Equals, "+0.000s vm-2: request was not answered by the server kind=server_result queued=9 reason=full")
	c.Assert(out[1], qt.Equals, "+0.100s vm-1: trying another server kind=request_retried reason=full")
	c.Assert(out[2], qt.Equals, "+0.300s vm-1: request given up kind=request_given_up status=503")
}

func TestTraceAroundPrintsNodeEvents(t *testing.T) {
	c := qt.New(t)
	code, out := trace(t, "--around", "1s", "r1")
	c.Assert(code, qt.Equals, command.ExitOK)
	c.Assert(out, qt.HasLen, 4)
	c.Assert(out[0], qt.Contains, "new routes are in force kind=routes_changed version=7")
}

func TestTraceOfUnknownRequest(t *testing.T) {
	code, _ := trace(t, "r3")
	qt.Assert(t, code, qt.Equals, command.ExitFailure)
}

// TestTraceAroundTimeOfUnloggedRequest covers a request that no line names because its node was down: --at prints the
// events around the time of the failure.
func TestTraceAroundTimeOfUnloggedRequest(t *testing.T) {
	c := qt.New(t)
	code, out := trace(t, "--at", "2026-01-02T03:04:01.5Z", "--around", "1s", "r9")
	c.Assert(code, qt.Equals, command.ExitFailure)
	c.Assert(out, qt.HasLen, 1)
	c.Assert(out[0], qt.Contains, "the store does not answer")
	code, _ = trace(t, "--at", "noon", "r9")
	c.Assert(code, qt.Equals, command.ExitUsage)
}
