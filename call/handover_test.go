package call

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/standin"
)

func TestSuccessorAnswersForKeysOfDepartedOwner(t *testing.T) {
	for _, inView := range []bool{false, true} {
		f := newFleet(t, 2, standin.ServerSettings{})
		old := f.nodes[0]
		ran, unused, refused, other := f.newKey(old), f.newKey(old), f.newKey(old), f.newKey(f.nodes[1])
		first := f.do(http.MethodPost, "/commission", "x", HeaderKey, ran)
		f.c.Assert(first.outcome, qt.Equals, OutcomeAnswered)
		time.Sleep(2 * time.Millisecond) // so that the keys are issued before the freeze
		old.owner.Drain()
		f.c.Assert(f.do(http.MethodPost, "/commission", "x", HeaderKey, refused).outcome, qt.Equals, OutcomeNotRun)
		old.owner.Close()
		copies, err := old.owner.Handover(context.Background(), http.DefaultTransport)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(copies, qt.Equals, 1)
		time.Sleep(2 * time.Millisecond)
		late := f.newKey(old)
		old.peer.Close()
		if !inView {
			f.nodes = f.nodes[1:]
			f.setView()
		}
		for range 2 {
			again := f.do(http.MethodPost, "/commission", "x", HeaderKey, ran)
			f.c.Assert(again.outcome, qt.Equals, OutcomeAnswered, qt.Commentf("%v in view %v", again.reason, inView))
			f.c.Assert(again.body, qt.Equals, first.body)
			for _, key := range []string{unused, refused} {
				f.c.Assert(f.do(http.MethodPost, "/commission", "x", HeaderKey, key).reason, qt.Equals, ReasonKeyRefused)
			}
			f.c.Assert(f.do(http.MethodPost, "/commission", "y", HeaderKey, ran).reason, qt.Equals, ReasonKeyReused)
			f.c.Assert(f.do(http.MethodPost, "/commission", "x", HeaderKey, late).outcome, qt.Equals, OutcomeUnknown)
		}
		f.c.Assert(old.server.Executions(ran), qt.Equals, 1)
		f.c.Assert(old.server.Executions(unused)+old.server.Executions(refused)+f.executions(unused)+f.executions(refused), qt.Equals, 0)
		f.c.Assert(f.do(http.MethodPost, "/commission", "x", HeaderKey, other).outcome, qt.Equals, OutcomeAnswered)
	}
}

func TestNodeWithoutExportAnswersUnknown(t *testing.T) {
	f := newFleet(t, 2, standin.ServerSettings{})
	key := f.newKey(f.nodes[0])
	f.nodes = f.nodes[1:]
	f.setView()
	r := f.do(http.MethodPost, "/commission", "x", HeaderKey, key)
	f.c.Assert(r.outcome, qt.Equals, OutcomeUnknown)
	f.c.Assert(r.reason, qt.Equals, ReasonOwnerGone)
}

func TestExportsAreAcceptedOnPeerPortOnly(t *testing.T) {
	f := newFleet(t, 1, standin.ServerSettings{})
	post := func(url, data, service string) int {
		req, err := http.NewRequest(http.MethodPost, url+HandoverPath, bytes.NewReader([]byte(data)))
		f.c.Assert(err, qt.IsNil)
		if service != "" {
			req.Header.Set(HeaderService, service)
		}
		resp, err := f.client.Do(req)
		f.c.Assert(err, qt.IsNil)
		discard(resp)
		return resp.StatusCode
	}
	export, err := ledger.New(ledger.Settings{}, 1, f.timers.Now()).Freeze(f.timers.Now())
	f.c.Assert(err, qt.IsNil)
	data, err := ledger.EncodeExport(export)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(post(f.ingressServer.URL, string(data), ""), qt.Equals, http.StatusNotFound)
	f.c.Assert(post(f.nodes[0].peer.URL, string(data), "orders"), qt.Not(qt.Equals), http.StatusNoContent)
	f.c.Assert(post(f.nodes[0].peer.URL, "x", ""), qt.Equals, http.StatusBadRequest)
	f.c.Assert(post(f.nodes[0].peer.URL, string(data), ""), qt.Equals, http.StatusNoContent)
}

func TestSuccessorsSpreadOverFailureDomains(t *testing.T) {
	f := newFleet(t, 6, standin.ServerSettings{})
	places := make(map[member.Key]member.Place)
	for n, node := range f.nodes {
		place := member.NewPlace("jadran", []member.FailureDomain{"split", "split", "zadar"}[n%3])
		node.member = member.New(node.member.Key(), place, 2).WithServer(node.member.Server())
		places[node.member.Key()] = place
	}
	f.setView()
	for tag := range ledger.Tag(50) {
		keys := successors(f.snap.Load().View(), "orders", tag, handoverCopies)
		f.c.Assert(keys, qt.HasLen, handoverCopies)
		f.c.Assert(places[keys[0]], qt.Not(qt.Equals), places[keys[1]])
	}
}
