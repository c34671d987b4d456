package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// organisationDocument returns a document in which the organisation acme has a key, with more organisations.
func organisationDocument(version int, key, more string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","path_prefix":"/","kind":"safe","timeout":"1s","target_latency":"1s","service":"s"}],
"tenants":[{"name":"acme","api_keys":[%q]}%s]}`, version, key, more)
}

// keyCaller sends requests over one connection and keeps all that the node answers.
type keyCaller struct {
	c        *qt.C
	conn     net.Conn
	reader   *bufio.Reader
	requests int
	answers  strings.Builder
}

func (k *keyCaller) send(key string) int {
	k.requests++
	_, err := fmt.Fprintf(k.conn, "GET /ok HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: k%d\r\nX-Deadline-Remaining: 1000\r\nAuthorization: Bearer %s\r\n\r\n", k.requests, key)
	k.c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(k.reader, nil)
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(resp.Write(&k.answers), qt.IsNil)
	return resp.StatusCode
}

// TestKeysFollowTheDocumentAndAppearNowhere passes requests through a whole node. It guards against a key that is taken away
// and still accepted on an open connection, against a document that is in force although two organisations share a key, and
// against keys in log lines, metrics and responses.
func TestKeysFollowTheDocumentAndAppearNowhere(t *testing.T) {
	c := qt.New(t)
	s := startTestSidecar(c, 79)
	(&crashingServer{c: c, host: s.host}).start()
	conn, err := net.Dial("tcp", s.host+":7201")
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	caller := &keyCaller{c: c, conn: conn, reader: bufio.NewReader(conn)}
	publish(c, s.store, organisationDocument(5, "secret1", ""))
	await(c, "the key is known", func() bool {
		return caller.send("secret1") == http.StatusOK && caller.send("secret0") == http.StatusUnauthorized
	})
	publish(c, s.store, organisationDocument(6, "secret2", ""))
	await(c, "the key is revoked", func() bool { return caller.send("secret1") == http.StatusUnauthorized })
	c.Check(caller.send("secret2"), qt.Equals, http.StatusOK)
	publish(c, s.store, organisationDocument(7, "secret3", `,{"name":"other","api_keys":["secret3"]}`))
	awaitLine(c, &s.out, "routes_refused")
	c.Check(caller.send("secret2"), qt.Equals, http.StatusOK)
	c.Check(caller.send("secret3"), qt.Equals, http.StatusUnauthorized)
	publish(c, s.store, `{"version":8,"tenants":[{"name":"acme","api_keys":"secret4"}]}`)
	await(c, "the document is refused", func() bool { return len(s.out.withKind("routes_refused")) == 2 })

	all := caller.answers.String() + strings.Join(s.out.lines(), "\n")
	for _, path := range []string{"/metrics", "/organisations", "/quarantine"} {
		resp, err := http.Get("http://" + s.host + ":7211" + path)
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		all += string(text)
	}
	c.Check(all, qt.Contains, `"organisation":"acme"`)
	c.Check(all, qt.Contains, `"name":"acme"`)
	c.Check(all, qt.Contains, `unknown_key`)
	c.Check(strings.Contains(all, "secret"), qt.IsFalse)
}
