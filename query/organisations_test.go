package query_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/usage"
)

// TestOrganisationsAreListed guards against numbers that are lost between the node and the operator.
func TestOrganisationsAreListed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = operator.WriteOrganisations(w, []usage.Row{
			{Name: "acme", Organisations: 1, Asked: 9, Answered: 4, Waiting: 2, Refused: map[string]int64{"slow": 1, "full": 2}}, {Organisations: 7, Asked: 3},
		})
	}))
	defer server.Close()
	var out bytes.Buffer
	code := command.Run([]string{"organisations", "--node", server.Listener.Addr().String()}, &out, &out)
	qt.Check(t, code, qt.Equals, command.ExitOK)
	qt.Check(t, out.String(), qt.Matches, `(?s).*acme +9 +4 +2 +full=2 slow=1\n\(7 others\) +3 +0 +0 *\n`)
}
