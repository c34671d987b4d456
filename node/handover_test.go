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

// issueKeyOwnedBy requests keys from a node until it receives one that names the owner.
func issueKeyOwnedBy(t *testing.T, callers netip.AddrPort, owner *node.Node) (key string) {
	tag := ledger.TagOf(owner.Status().Self().Key())
	waitUntil(t, func() bool {
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

func postWithKey(t *testing.T, callers netip.AddrPort, key string) http.Header {
	req, err := http.NewRequest(http.MethodPost, "http://"+callers.String()+"/termin", strings.NewReader("x"))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set(call.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	return resp.Header
}

// TestShutdownHandsOverLedger shuts a node down: the node of another server of the service must then know the outcomes of
// its keys.
func TestShutdownHandsOverLedger(t *testing.T) {
	log := httptest.NewServer(standin.NewLog(standin.DefaultLogSettings(), timer.New()))
	defer log.Close()
	var addrs [3]addresses
	var nodes [3]*node.Node
	for n := range nodes {
		addrs[n] = freeAddresses(t)
		nodes[n] = startNode(t, addrs[n], log.Listener.Addr().String(), timer.New())
	}
	for _, n := range nodes {
		waitUntil(t, serving(n))
	}
	startBackend(t, addrs[1][2])
	startBackend(t, addrs[2][2])
	publishRoute(t, nodes[0])
	usedKey, unusedKey := issueKeyOwnedBy(t, addrs[0][1], nodes[1]), issueKeyOwnedBy(t, addrs[0][1], nodes[1])
	_ = issueKeyOwnedBy(t, addrs[1][1], nodes[2]) // node 1 knows the node that receives its ledger
	qt.Assert(t, postWithKey(t, addrs[0][1], usedKey).Get(call.HeaderOutcome), qt.Equals, string(call.OutcomeAnswered))
	qt.Assert(t, nodes[1].Shutdown(), qt.IsNil)
	waitUntil(t, func() bool {
		return postWithKey(t, addrs[0][1], usedKey).Get(call.HeaderOutcome) == string(call.OutcomeAnswered)
	})
	qt.Assert(t, postWithKey(t, addrs[0][1], unusedKey).Get(call.HeaderReason), qt.Equals, string(call.ReasonKeyRefused))
}
