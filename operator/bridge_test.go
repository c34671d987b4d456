package operator_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
)

func TestBridgeReceipts(t *testing.T) {
	for _, receipt := range []message.BridgeReceipt{
		message.NewBridgeReceipt(message.BridgeWritten, nil),
		message.NewBridgeReceipt(message.BridgeRefused, errors.New("no gap")),
		message.NewBridgeReceipt(message.BridgeNotAppended, errors.New("down")),
		message.NewBridgeReceipt(message.BridgeUnknown, errors.New("slow")),
	} {
		node := &fakeNode{bridgeReceipt: receipt}
		client, _, _ := startServer(t, node, fleet)
		got, err := client.Bridge(t.Context(), 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got.State(), qt.Equals, receipt.State())
		if receipt.Err() != nil {
			qt.Check(t, got.Err(), qt.ErrorMatches, receipt.Err().Error())
		}
		qt.Check(t, node.gapEnds, qt.DeepEquals, []record.Offset{0})
	}
}

// TestInvalidBridgeRequestsAreRejected checks that requests with a wrong header or body do not bridge a gap.
func TestInvalidBridgeRequestsAreRejected(t *testing.T) {
	node := &fakeNode{bridgeReceipt: message.NewBridgeReceipt(message.BridgeWritten, nil)}
	for name, test := range map[string]struct {
		fleet, protocol, body string
		status                int
	}{
		"other fleet":    {"other", "1", `{"accept_loss":5}`, http.StatusForbidden},
		"other protocol": {fleet, "9", `{"accept_loss":5}`, http.StatusUpgradeRequired},
		"no offset":      {fleet, "1", `{}`, http.StatusBadRequest},
		"unknown key":    {fleet, "1", `{"accept_loss":5,"force":true}`, http.StatusBadRequest},
		"negative":       {fleet, "1", `{"accept_loss":-5}`, http.StatusBadRequest},
	} {
		_, _, url := startServer(t, node, fleet)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/bridge", strings.NewReader(test.body))
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set(operator.HeaderFleet, test.fleet)
		req.Header.Set(operator.HeaderProtocol, test.protocol)
		resp, err := http.DefaultClient.Do(req)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, test.status, qt.Commentf("%s", name))
	}
	qt.Check(t, node.gapEnds, qt.HasLen, 0)
}
