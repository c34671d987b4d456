package command_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
)

const (
	givenID = "00000000-0000-0000-0000-000000000007"

	fleet  = "kovani-dvor"
	sample = "../doc/examples/records.toml"
)

// replyFunc returns the receipt of a fake node for an attempt to publish, counted from 0.
type replyFunc func(attempt int, c record.ChangeSet) message.Receipt

// fakeNode records the requests of operators.
type fakeNode struct {
	changeSets    []record.ChangeSet
	drained       bool
	bridgeOffsets []record.Offset
	bridgeReceipt message.BridgeReceipt
}

func startNode(t *testing.T, reply replyFunc) (*fakeNode, string) {
	n := &fakeNode{}
	port := operator.NewHandler(fleet, operator.Callbacks{
		Publish: func(_ context.Context, c record.ChangeSet) message.Receipt {
			n.changeSets = append(n.changeSets, c)
			return reply(len(n.changeSets)-1, c)
		},
		Bridge: func(_ context.Context, first record.Offset) message.BridgeReceipt {
			n.bridgeOffsets = append(n.bridgeOffsets, first)
			return n.bridgeReceipt
		},
		Status: func() message.Status { return statusAt(41) },
		Drain:  func() { n.drained = true },
	}, tally.NoopScope)
	server := httptest.NewServer(port)
	t.Cleanup(server.Close)
	return n, strings.TrimPrefix(server.URL, "http://")
}

func statusAt(version record.Version) message.Status {
	key := member.NewKey(netip.MustParseAddrPort("10.0.0.1:7100"), 1)
	self := member.New(key, member.NewPlace("jadran", "split"), record.Schema2)
	counts := []message.VersionCount{message.NewVersionCount(version, 1)}
	return message.NewStatus(message.StatusFields{
		Self: self, Members: []member.Member{self}, Digest: message.NewDigest(version, record.Offset(version), 0),
		Census: []message.Census{message.NewCensus("jadran", counts, nil, time.Unix(1, 0))},
	})
}

func run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = command.Run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func accept(_ int, c record.ChangeSet) message.Receipt {
	return message.NewDecidedReceipt(record.Accepted(c.PublishID(), 41))
}

func refuse(_ int, c record.ChangeSet) message.Receipt {
	return message.NewDecidedReceipt(record.Refused(c.PublishID(), 40, []record.Fault{
		record.NewFault(record.ReasonConflict, record.NewID(record.KindRoute, "commission"), "", "changed by publish 7 of marko in version 39"),
		record.NewFault(record.ReasonInvalid, record.NewID(record.KindRoute, "status"), "path", "must start with a slash"),
	}))
}

func undecided(state message.ReceiptState) replyFunc {
	return func(int, record.ChangeSet) message.Receipt {
		return message.NewUndecidedReceipt(state, errors.New("log does not answer"))
	}
}

// replyInTurn replies to the first attempt with first and to later ones with second.
func replyInTurn(first, second replyFunc) replyFunc {
	return func(attempt int, c record.ChangeSet) message.Receipt {
		if attempt == 0 {
			return first(attempt, c)
		}
		return second(attempt, c)
	}
}

func TestPublish(t *testing.T) {
	unknown, notAppended := undecided(message.ReceiptUnknown), undecided(message.ReceiptNotAppended)
	for _, test := range []struct {
		name     string
		reply    replyFunc
		args     []string
		code     int
		attempts int
		output   string
	}{
		{"accepted", accept, nil, command.ExitOK, 1, "accepted as version 41"},
		{"accepted and in force", accept, []string{"--wait"}, command.ExitOK, 1, "version 41 in force: jadran 1/1"},
		{"accepted, not in force", func(_ int, c record.ChangeSet) message.Receipt {
			return message.NewDecidedReceipt(record.Accepted(c.PublishID(), 42))
		}, []string{"--wait", "--timeout", "1ms"}, command.ExitTimeout, 1, "jadran 0/1"},
		{"refused", refuse, nil, command.ExitRefused, 1, "conflict: route/commission: changed by publish 7 of marko in version 39"},
		{"refused for a field", refuse, nil, command.ExitRefused, 1, "invalid: route/status: path: must start with a slash"},
		{"not appended", notAppended, nil, command.ExitUnavailable, 1, "nothing was published"},
		{"unknown, then accepted", replyInTurn(unknown, accept), nil, command.ExitOK, 2, "accepted as version 41"},
		{"unknown, then refused", replyInTurn(unknown, refuse), nil, command.ExitRefused, 2, "refused"},
		{"unknown, then not appended", replyInTurn(unknown, notAppended), []string{"--attempts", "2"}, command.ExitUnknown, 2, "try again with --publish-id "},
		{"ID given, not appended", notAppended, []string{"--attempts", "1", "--publish-id", givenID}, command.ExitUnknown, 1, "--publish-id " + givenID},
		{"ID given, accepted", accept, []string{"--publish-id", givenID}, command.ExitOK, 1, givenID},
		{"unknown", unknown, []string{"--attempts", "1"}, command.ExitUnknown, 1, "the outcome is not known"},
		{"JSON", accept, []string{"--json"}, command.ExitOK, 1, `"accepted":true,"version":41`},
	} {
		t.Run(test.name, func(t *testing.T) {
			node, addr := startNode(t, test.reply)
			args := append([]string{"publish", sample, "--node", addr, "--fleet", fleet}, test.args...)
			code, out, errOut := run(args...)
			qt.Check(t, code, qt.Equals, test.code, qt.Commentf("%s%s", out, errOut))
			qt.Check(t, out+errOut, qt.Contains, test.output)
			qt.Assert(t, node.changeSets, qt.HasLen, test.attempts)
			for _, c := range node.changeSets {
				qt.Check(t, c.PublishID(), qt.Equals, node.changeSets[0].PublishID())
				qt.Check(t, c.Base(), qt.Equals, record.Version(41))
				qt.Check(t, c.Operator(), qt.Equals, "ana")
			}
		})
	}
}

// TestLostResponseIsUnknown checks that the outcome is unknown if the connection breaks after the request was sent,
// and that a given publish ID leaves it unknown even if nothing could be sent.
func TestLostResponseIsUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	code, _, errOut := run("publish", sample, "--node", addr, "--base", "1", "--attempts", "1")
	qt.Check(t, code, qt.Equals, command.ExitUnknown, qt.Commentf("%s", errOut))
	code, _, errOut = run("drain", "--node", addr)
	qt.Check(t, code, qt.Equals, command.ExitUnknown, qt.Commentf("%s", errOut))
	server.Close()
	code, _, errOut = run("publish", sample, "--node", addr, "--base", "1", "--attempts", "2")
	qt.Check(t, code, qt.Equals, command.ExitUnavailable, qt.Commentf("%s", errOut))
	code, _, errOut = run("publish", sample, "--node", addr, "--attempts", "1", "--publish-id", givenID)
	qt.Check(t, code, qt.Equals, command.ExitUnknown, qt.Commentf("%s", errOut))
	code, _, errOut = run("drain", "--node", addr)
	qt.Check(t, code, qt.Equals, command.ExitUnavailable, qt.Commentf("%s", errOut))
	code, _, errOut = run("publish", sample, "--node", addr, "--base", "1", "--attempts", "1", "--publish-id", givenID)
	qt.Check(t, code, qt.Equals, command.ExitUnknown, qt.Commentf("%s", errOut))
}

func TestPublishRejectsFaultyInput(t *testing.T) {
	node, addr := startNode(t, accept)
	faulty := filepath.Join(t.TempDir(), "faulty.toml")
	qt.Assert(t, os.WriteFile(faulty, []byte("colour = 1\n[[service]]\nname = 's'\n"), 0o600), qt.IsNil)
	for _, test := range []struct {
		name   string
		args   []string
		code   int
		output string
	}{
		{"faulty file", []string{faulty, "--node", addr, "--fleet", fleet}, command.ExitUsage, "service[0].schema: missing"},
		{"every fault at once", []string{faulty, "--node", addr, "--fleet", fleet}, command.ExitUsage, "colour: unknown key"},
		{"bad publish ID", []string{sample, "--node", addr, "--publish-id", "x"}, command.ExitUsage, "--publish-id"},
		{"host name", []string{sample, "--node", "localhost:7104"}, command.ExitUsage, "IP address"},
		{"other fleet", []string{sample, "--node", addr, "--fleet", "cloghan"}, command.ExitFailure, "another fleet"},
		{"no file", []string{"--node", addr}, command.ExitUsage, "FILE"},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, _, errOut := run(append([]string{"publish"}, test.args...)...)
			qt.Check(t, code, qt.Equals, test.code)
			qt.Check(t, errOut, qt.Contains, test.output)
			qt.Check(t, node.changeSets, qt.HasLen, 0)
		})
	}
}

func TestDrain(t *testing.T) {
	node, addr := startNode(t, accept)
	code, out, _ := run("drain", "--node", addr, "--fleet", fleet)
	qt.Check(t, code, qt.Equals, command.ExitOK)
	qt.Check(t, out, qt.Contains, "draining")
	qt.Check(t, node.drained, qt.IsTrue)
}

func TestCheck(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "faulty.toml")
	qt.Assert(t, os.WriteFile(faulty, []byte("[fleet]\nname = 1\n"), 0o600), qt.IsNil)
	code, out, _ := run("check", sample, "../doc/examples/node.toml")
	qt.Check(t, code, qt.Equals, command.ExitOK)
	qt.Check(t, out, qt.Equals, sample+": records without a fault\n../doc/examples/node.toml: settings without a fault\n")
	code, out, errOut := run("check", faulty, sample)
	qt.Check(t, code, qt.Equals, command.ExitUsage)
	qt.Check(t, out, qt.Contains, "records without a fault")
	qt.Check(t, strings.Count(errOut, "fleet.name"), qt.Equals, 1)
	for _, key := range []string{"fleet.name: 1; allowed is a name", "fleet.log_region: missing", "node.peer: missing", "log.address: missing"} {
		qt.Check(t, errOut, qt.Contains, faulty+": "+key)
	}
}
