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

// TestBoundServesWhatIsWorthMost has a server with two slots for two seconds, so four seconds of slot time. Requests to pay
// take 1 s each and are worth 3, requests to browse take 1 s each and are worth 1.
func TestBoundServesWhatIsWorthMost(t *testing.T) {
	c := qt.New(t)
	const times = `"time":"2026-01-02T03:04:0`
	log := `{"vm":"a","kind":"started",` + times + `4Z"}
{"vm":"a","kind":"server_changed","service":"shop","state":"ready","slots":2,` + times + `4Z"}
`
	for _, r := range []struct{ id, route, loss string }{{"1", "browse", ""}, {"2", "browse", ""}, {"3", "browse", "late_server"}, {"4", "pay", ""}} {
		log += `{"vm":"a","kind":"server_result","request":"` + r.id + `","ending":"answered","took":1200,"waited":200,` + times + `5.9Z"}
{"vm":"b","kind":"request_answered","request":"` + r.id + `","route":"` + r.route + `","loss":"` + r.loss + `",` + times + `5.9Z"}
`
	}
	for _, id := range []string{"5", "6"} {
		log += `{"vm":"b","kind":"request_given_up","request":"` + id + `","route":"pay","loss":"refused_full",` + times + `5.9Z"}
`
	}
	log += `{"vm":"a","kind":"members_changed",` + times + `6Z"}
`
	file := filepath.Join(t.TempDir(), "log")
	c.Assert(os.WriteFile(file, []byte(log), 0o600), qt.IsNil)
	var out bytes.Buffer
	c.Assert(command.Run([]string{"bound", "--worth", "pay=3", file}, &out, &out), qt.Equals, command.ExitOK, qt.Commentf("%s", out.String()))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[1], qt.Matches, `03:04:04.0 +12 +5 +0.417 +10 +0.833`)
	c.Assert(command.Run([]string{"bound", "--every", "0s", file}, &out, &out), qt.Equals, command.ExitUsage)
}
