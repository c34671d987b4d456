package node_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/call"
	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/node"
	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

// keyOf takes keys from a node until one names the owner.
func keyOf(t *testing.T, callers netip.AddrPort, owner *node.Node) (key string) {
	tag := ledger.TagOf(owner.Status().Self().Key())
	until(t, func() bool {
		resp, err := http.Get("http://" + callers.String() + call.KeysPath + "?route=termin&count=20")
		qt.Assert(t, err, qt.IsNil)
		defer resp.Body.Close()
		var issued struct {
			Keys []string `json:"keys"`
		}
		_ = json.NewDecoder(resp.Body).Decode(&issued)
		for _, text := range issued.Keys {
			if k, err := ledger.ParseKey("f", text); err == nil && k.Owner() == tag {
				key = text
			}
		}
		return key != ""
	})
	return key
}

func post(t *testing.T, callers netip.AddrPort, key string) http.Header {
	req, err := http.NewRequest(http.MethodPost, "http://"+callers.String()+"/termin", strings.NewReader("x"))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set(call.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	return resp.Header
}

// A node is shut down on purpose: the node beside the other server of its service tells what became of its keys.
func TestShutdownHandsTheLedgerOver(t *testing.T) {
	log := httptest.NewServer(standin.NewLog(standin.DefaultLogSettings(), timer.New()))
	defer log.Close()
	var at [3]addresses
	var nodes [3]*node.Node
	for n := range nodes {
		at[n] = freeAddresses(t)
		nodes[n] = startNode(t, at[n], log.Listener.Addr().String(), timer.New())
	}
	for _, n := range nodes {
		until(t, serving(n))
	}
	startBackend(t, at[1][2])
	startBackend(t, at[2][2])
	publishRoute(t, nodes[0])
	ran, never := keyOf(t, at[0][1], nodes[1]), keyOf(t, at[0][1], nodes[1])
	_ = keyOf(t, at[1][1], nodes[2]) // the owner knows its successor
	qt.Assert(t, post(t, at[0][1], ran).Get(call.HeaderOutcome), qt.Equals, string(call.OutcomeAnswered))
	qt.Assert(t, nodes[1].Shutdown(), qt.IsNil)
	until(t, func() bool { return post(t, at[0][1], ran).Get(call.HeaderOutcome) == string(call.OutcomeAnswered) })
	qt.Assert(t, post(t, at[0][1], never).Get(call.HeaderReason), qt.Equals, string(call.ReasonKeyRefused))
}
