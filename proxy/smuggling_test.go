package proxy_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// TestServersSeeNoKeysAndNoMadeUpOrganisations sends X-Tenant in every form over a connection. It guards against a server
// that sees the value of a caller, on exempt routes and in deployments without organisations as well, or the key, unless the
// deployment has no organisations.
func TestServersSeeNoKeysAndNoMadeUpOrganisations(t *testing.T) {
	without, with := newFixture(t, 2, tally.NoopScope), newOrganisationFixture(t, 2, "k1")
	for _, test := range []struct {
		fixture *fixture
		path    string
		want    []string
	}{{without, "/read/1", nil}, {with, "/read/1", []string{"acme"}}, {with, "/open/1", nil}} {
		conn := test.fixture.connect()
		for i, more := range []string{
			"x-tenant: evil\r\n", "X-TENANT: evil\r\nX-Tenant: evil\r\n", "Connection: X-Tenant\r\nX-Tenant: evil\r\n", "X-Tenant:\tevil\r\nBn-Call: a s c 1 1 2 3 0:evil\r\n",
			"Trailer: X-Tenant\r\nTransfer-Encoding: chunked\r\n",
		} {
			body := ""
			if strings.Contains(more, "chunked") {
				body = "1\r\nx\r\n0\r\nX-Tenant: evil\r\n\r\n"
			}
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: s%d\r\nAuthorization: Bearer k1\r\n%s\r\n%s", test.path, i, more, body)
			qt.Assert(t, err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s %q", test.path, more))
		}
		seen := 0
		for _, b := range test.fixture.backends {
			for _, h := range b.headers {
				seen++
				qt.Check(t, h["X-Tenant"], qt.DeepEquals, test.want, qt.Commentf("%s", test.path))
				qt.Check(t, h["Trailer"], qt.IsNil)
				qt.Check(t, len(h["Authorization"]) > 0, qt.Equals, test.fixture == without)
			}
			b.headers = nil
		}
		qt.Check(t, seen, qt.Equals, 5)
	}
}

// connect returns a connection to a server of the ingress for callers.
func (f *fixture) connect() net.Conn {
	l := f.serve(f.ingress.Handle)
	conn, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(func() { _ = conn.Close() })
	return conn
}
