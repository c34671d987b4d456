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

const lossLog = `  3.1 vm-1 {"vm":"vm-1","kind":"request_answered","request":"a","loss":"late_queue","route":"pay","time":"2026-01-02T03:04:05.2Z"}
{"vm":"vm-1","kind":"request_answered","request":"b","loss":"","route":"pay","time":"2026-01-02T03:04:05.2Z"}
{"vm":"vm-1","kind":"request_given_up","request":"c","loss":"refused_full","route":"browse","time":"2026-01-02T03:04:05.2Z"}
{"vm":"vm-2","kind":"request_given_up","request":"d","loss":"refused_full","route":"browse","time":"2026-01-02T03:04:05.2Z"}
{"vm":"vm-2","kind":"request_given_up","request":"e","loss":"refused_no_routes","route":"","time":"2026-01-02T03:04:05.2Z"}
`

func losses(t *testing.T, args ...string) (code int, out string) {
	file := filepath.Join(t.TempDir(), "log")
	qt.Assert(t, os.WriteFile(file, []byte(lossLog), 0o600), qt.IsNil)
	var stdout, stderr bytes.Buffer
	code = command.Run(append(append([]string{"losses"}, args...), file), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

func TestLossesAreRanked(t *testing.T) {
	code, out := losses(t)
	qt.Assert(t, code, qt.Equals, command.ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	qt.Assert(t, lines, qt.HasLen, 4)
	qt.Check(t, lines[1], qt.Matches, `refused_full +browse +2 +2 +50%`)

	_, out = losses(t, "--worth", "pay=3")
	qt.Check(t, strings.Split(out, "\n")[1], qt.Matches, `late_queue +pay +1 +3 +50%`)
	qt.Check(t, out, qt.Contains, "(unknown)")
}

func TestLossesRejectInvalidWeights(t *testing.T) {
	for _, bad := range []string{"pay", "=1", "pay=x", "pay=-1"} {
		code, _ := losses(t, "--worth", bad)
		qt.Check(t, code, qt.Equals, command.ExitUsage, qt.Commentf("%s", bad))
	}
}
