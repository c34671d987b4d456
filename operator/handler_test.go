package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/burn"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
)

const fleet = "kovani-dvor"

var (
	publishID  = record.PublishID{1, 2, 3}
	peer       = netip.MustParseAddrPort("10.1.0.12:7100")
	key        = member.NewKey(peer, 1<<63+1)
	statusTime = time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
)

// fakeNode records the calls of a handler's callbacks.
type fakeNode struct {
	published      []record.ChangeSet
	drainCount     int
	publishReceipt message.Receipt
	gapEnds        []record.Offset
	bridgeReceipt  message.BridgeReceipt
}

func (n *fakeNode) callbacks() operator.Callbacks {
	return operator.Callbacks{
		Publish: func(_ context.Context, c record.ChangeSet) message.Receipt {
			n.published = append(n.published, c)
			return n.publishReceipt
		},
		Bridge: func(_ context.Context, first record.Offset) message.BridgeReceipt {
			n.gapEnds = append(n.gapEnds, first)
			return n.bridgeReceipt
		},
		Status: sampleStatus,
		Drain:  func() { n.drainCount++ },
		Outcome: func(id record.PublishID) (record.Outcome, bool) {
			return record.Accepted(id, 7), id == publishID
		},
		Burn: func() burn.Counts { return burn.Counts{} },
		Records: func() operator.Records {
			return operator.NewRecords(7, 2, []record.Record{record.NewService(2, "s", 3)})
		},
	}
}

func sampleStatus() message.Status {
	place := member.NewPlace("jadran", "split")
	self := member.New(key, place, record.Schema2).WithRevision(1<<60 + 1).WithServer(member.NewServer("s", member.ServerReady, 18))
	other := member.New(member.NewKey(netip.MustParseAddrPort("[::1]:7100"), 2), place, record.Schema1).WithHealth(member.HealthDead)
	return message.NewStatus(message.StatusFields{
		Stage: message.StageServing, Self: self, Digest: message.NewDigest(7, 9, 1<<63+5), Level: 2,
		LogErr: errors.New("log down"), LogSeenAt: statusTime, Roles: []string{"log reader"},
		Members: []member.Member{self, other}, MissingLevel: 3, Unconfirmed: true, Conflicts: 4, Gap: message.NewGap(9, 12),
		Census: []message.Census{message.NewCensus("jadran",
			[]message.VersionCount{message.NewVersionCount(7, 2), message.NewVersionCount(5, 1)},
			[]message.Laggard{message.NewLaggard(key, 5)}, statusTime)},
	})
}

func startServer(t *testing.T, node *fakeNode, clientFleet string) (*operator.Client, tally.TestScope, string) {
	scope := tally.NewTestScope("", nil)
	server := httptest.NewServer(operator.NewHandler(fleet, node.callbacks(), scope))
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return operator.NewClient(addr, clientFleet, server.Client()), scope, server.URL
}

func counterValue(scope tally.TestScope, name string) int64 {
	c, ok := scope.Snapshot().Counters()[name+"+"]
	if !ok {
		return 0
	}
	return c.Value()
}

func TestPublishReceipts(t *testing.T) {
	faults := []record.Fault{
		record.NewFault(record.ReasonConflict, record.NewID(record.KindRoute, "r"), "", "changed by version 6"),
		record.NewFault(record.ReasonTooLarge, record.ID{}, "", "too large"),
	}
	for _, test := range []struct {
		name    string
		receipt message.Receipt
		counter string
	}{
		{"accepted", message.NewDecidedReceipt(record.Accepted(publishID, 8)), metric.PublishAccepted},
		{"refused", message.NewDecidedReceipt(record.Refused(publishID, 6, faults)), metric.PublishRefused},
		{"not appended", message.NewUndecidedReceipt(message.ReceiptNotAppended, errors.New("down")), metric.PublishNotAppended},
		{"unknown", message.NewUndecidedReceipt(message.ReceiptUnknown, errors.New("slow")), metric.PublishUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := &fakeNode{publishReceipt: test.receipt}
			client, scope, _ := startServer(t, node, fleet)
			c := changeSets.Example(3)
			got, err := client.Publish(t.Context(), c)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, got.State(), qt.Equals, test.receipt.State())
			qt.Check(t, reflect.DeepEqual(got.Outcome(), test.receipt.Outcome()), qt.IsTrue)
			qt.Check(t, reflect.DeepEqual(node.published, []record.ChangeSet{c}), qt.IsTrue)
			qt.Check(t, counterValue(scope, test.counter), qt.Equals, int64(1))
		})
	}
}

func TestStatusRoundTrip(t *testing.T) {
	client, _, _ := startServer(t, &fakeNode{}, fleet)
	got, err := client.Status(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reflect.DeepEqual(got, sampleStatus()), qt.IsTrue, qt.Commentf("\ngot  %+v\nwant %+v", got, sampleStatus()))
}

// TestSampleStatusSetsEveryField checks that TestStatusRoundTrip covers every field.
func TestSampleStatusSetsEveryField(t *testing.T) {
	v := reflect.ValueOf(sampleStatus())
	for i := range v.NumField() {
		qt.Check(t, v.Field(i).IsZero(), qt.IsFalse, qt.Commentf("%s", v.Type().Field(i).Name))
	}
}

func TestOutcomeRecordsAndDrain(t *testing.T) {
	node := &fakeNode{}
	client, _, _ := startServer(t, node, fleet)
	outcome, ok, err := client.Outcome(t.Context(), publishID)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, outcome.Version(), qt.Equals, record.Version(7))
	_, ok, err = client.Outcome(t.Context(), record.PublishID{9})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ok, qt.IsFalse)
	records, err := client.Records(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, records.Records(), qt.HasLen, 1)
	qt.Check(t, records.Version(), qt.Equals, record.Version(7))
	qt.Assert(t, client.Drain(t.Context()), qt.IsNil)
	qt.Check(t, node.drainCount, qt.Equals, 1)
}

// TestRejectedRequestsReachNoCallback checks that requests with another fleet or protocol, or with an invalid or
// oversized body, reach no callback.
func TestRejectedRequestsReachNoCallback(t *testing.T) {
	for _, test := range []struct {
		name, fleet, protocol, path, body string
		status                            int
		counter                           string
	}{
		{"no fleet", "", "1", "/drain", "", http.StatusForbidden, metric.OperatorWrongFleet},
		{"other fleet", "cloghan", "1", "/drain", "", http.StatusForbidden, metric.OperatorWrongFleet},
		{"no protocol", fleet, "", "/drain", "", http.StatusUpgradeRequired, metric.OperatorWrongProtocol},
		{"other protocol", fleet, "2", "/drain", "", http.StatusUpgradeRequired, metric.OperatorWrongProtocol},
		{"not JSON", fleet, "1", "/publish", "{", http.StatusBadRequest, metric.OperatorMalformed},
		{"unknown key", fleet, "1", "/publish", `{"colour": 1}`, http.StatusBadRequest, metric.OperatorMalformed},
		{"no publish ID", fleet, "1", "/publish", `{}`, http.StatusBadRequest, metric.OperatorMalformed},
		{"too large", fleet, "1", "/publish", strings.Repeat(" ", operator.MaxRequestBody+1), http.StatusRequestEntityTooLarge, metric.OperatorMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := &fakeNode{}
			_, scope, url := startServer(t, node, fleet)
			req, err := http.NewRequest(http.MethodPost, url+test.path, strings.NewReader(test.body))
			qt.Assert(t, err, qt.IsNil)
			req.Header.Set(operator.HeaderFleet, test.fleet)
			req.Header.Set(operator.HeaderProtocol, test.protocol)
			resp, err := http.DefaultClient.Do(req)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.Body.Close(), qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, counterValue(scope, test.counter), qt.Equals, int64(1))
			qt.Check(t, node.drainCount+len(node.published), qt.Equals, 0)
		})
	}
}

func TestClientErrors(t *testing.T) {
	node := &fakeNode{}
	client, _, _ := startServer(t, node, "cloghan")
	var rejected *operator.RejectedError
	_, err := client.Status(t.Context())
	qt.Assert(t, errors.As(err, &rejected), qt.IsTrue)
	qt.Check(t, rejected.Status(), qt.Equals, http.StatusForbidden)
	qt.Check(t, operator.NotSent(err), qt.IsFalse)
	closed := httptest.NewServer(http.NotFoundHandler())
	addr := netip.MustParseAddrPort(strings.TrimPrefix(closed.URL, "http://"))
	closed.Close()
	_, err = operator.NewClient(addr, fleet, http.DefaultClient).Status(t.Context())
	qt.Check(t, operator.NotSent(err), qt.IsTrue)
}
