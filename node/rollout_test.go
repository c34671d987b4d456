package node_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/operator"
)

// TestRolloutIsDecidedAndHaltedInTheStore guards against orders that a node does not act on, decisions or statuses that do not
// reach the store, and an operator's halt that has no effect.
func TestRolloutIsDecidedAndHaltedInTheStore(t *testing.T) {
	c := qt.New(t)
	s := startTestSidecarWith(c, 79, "[bounds]\nexposure_share = 0.1\n")
	publishRecord(c, s.store, "rollout/t", `{"service":"t"}`)
	awaitLine(c, &s.out, "rollout_order_ignored")
	publishRecord(c, s.store, "rollout/s", `{"service":"s","target_version":"v2","step_interval":"30s"}`)
	c.Check(awaitLine(c, &s.out, "rollout_step"), qt.Contains, `"phase":"canary"`)

	client := operator.NewRolloutClient(netip.MustParseAddrPort(s.host+":7211"), http.DefaultClient)
	rollouts, err := client.List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(rollouts, qt.HasLen, 1)
	c.Check(rollouts[0].Target+" "+rollouts[0].Phase+" "+rollouts[0].Decider, qt.Equals, "v2 canary "+s.host+":7210")
	c.Check(client.Halt(t.Context(), "t"), qt.ErrorMatches, "(?s).*no roll-out of the service is running.*")
	c.Assert(client.Halt(t.Context(), "s"), qt.IsNil)
	awaitStored(c, s, "keyed.rollout", `"key":"s"`)
	awaitStored(c, s, "keyed.status", "eyJzZXJ2aWNlIjoicyIsInN0YXRlIjoicm9sbGVkX2JhY2siLCJ0YXJnZXRfdmVyc2lvbiI6InYyIn0=") // rolled_back
	c.Check(s.out.withKind("rollout_step"), qt.HasLen, 3)                                                                 // canary, halted, rolled_back
}

// awaitStored waits until the newest entries of a topic contain a text.
func awaitStored(c *qt.C, s *testSidecar, topic, wanted string) {
	text := ""
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(s.store.URL + "/v1/log-newest?part=0&topic=" + topic)
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		if text = string(data); strings.Contains(text, wanted) {
			return
		}
	}
	c.Fatalf("%s does not contain %s: %s", topic, wanted, text)
}
