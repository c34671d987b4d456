package caller_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/call"
	"github.com/bambooknot/bambooknot/caller"
	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

// startNode starts a node with a stand-in server and returns the node's address for callers and a function that
// stops both.
func startNode() (netip.AddrPort, func()) {
	timers := timer.New()
	backend := httptest.NewServer(standin.NewServer(standin.ServerSettings{Slots: 4}, timers))
	var owner atomic.Pointer[call.Owner]
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { owner.Load().ServeHTTP(w, r) }))
	key := member.NewKey(address(peer), 1)
	place := member.NewPlace("ie-west", "galway-1")
	server := member.NewServer("orders", member.ServerReady, 4)
	self := member.New(key, place, record.SchemaNewest).WithServer(server)
	service := record.NewService(record.Schema1, "orders", 0)
	route := record.NewRoute("commission", "/commission", "orders", false)
	config := catalog.NewSnapshot(1, record.Schema1, map[record.ID]record.Record{service.ID(): service, route.ID(): route})
	snap := message.NewSnapshot(config, member.NewView(key, []member.Member{self}))
	snapshot := func() *message.Snapshot { return snap }
	ownerPart := call.NewOwner(call.OwnerSettings{Fleet: "example", Self: key, Snapshot: snapshot, Timers: timers})
	ownerPart.SetServer(address(backend), server)
	owner.Store(ownerPart)
	ingress := httptest.NewServer(call.New(call.Settings{
		Fleet: "example", Self: key, Place: place, Snapshot: snapshot, Forward: &http.Transport{}, Timers: timers,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}))
	return address(ingress), func() {
		ingress.Close()
		peer.Close()
		backend.Close()
	}
}

func address(s *httptest.Server) netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// scriptedNode answers each request for a call with the next of its replies.
type scriptedNode struct {
	mu       sync.Mutex // handlers of several connections run concurrently
	c        *qt.C
	replies  []scriptedReply
	received []http.Header
}

type scriptedReply struct {
	outcome   call.Outcome
	reason    call.Reason
	truncated bool
}

// nextReply records the header of a request and returns the reply to it.
func (s *scriptedNode) nextReply(r *http.Request) scriptedReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, r.Header.Clone())
	reply := s.replies[0]
	s.replies = s.replies[1:]
	return reply
}

// receivedHeaders returns the headers of the requests so far.
func (s *scriptedNode) receivedHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

func (s *scriptedNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == call.KeysPath {
		w.Header().Set(call.HeaderOutcome, "answered")
		_, _ = w.Write([]byte(`{"keys":["k1","k2","k3","k4"]}`))
		return
	}
	reply := s.nextReply(r)
	if reply.truncated {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("short"))
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(call.HeaderOutcome, string(reply.outcome))
	w.Header().Set(call.HeaderReason, string(reply.reason))
	w.Header().Set("Retry-After", "2")
}

func TestDoKeyed(t *testing.T) {
	for _, test := range []struct {
		name          string
		replies       []scriptedReply
		outcome       call.Outcome
		keys          []string
		firstAttempts []string // values of HeaderAttempt
	}{
		{"answered", []scriptedReply{{outcome: call.OutcomeAnswered}}, call.OutcomeAnswered, []string{"k1"}, []string{"1"}},
		{"response cut off, then answered", []scriptedReply{{truncated: true}, {outcome: call.OutcomeAnswered}}, call.OutcomeAnswered, []string{"k1", "k1"}, []string{"1", ""}},
		{"full, then answered", []scriptedReply{{outcome: call.OutcomeNotRun, reason: call.ReasonFull}, {outcome: call.OutcomeAnswered}}, call.OutcomeAnswered, []string{"k1", "k2"}, []string{"1", "1"}},
		{"owner gone", []scriptedReply{{truncated: true}, {outcome: call.OutcomeUnknown, reason: call.ReasonOwnerGone}}, call.OutcomeUnknown, []string{"k1", "k1"}, []string{"1", ""}},
		{"rate", []scriptedReply{{outcome: call.OutcomeNotRun, reason: call.ReasonRate}}, call.OutcomeNotRun, []string{"k1"}, []string{"1"}},
		{"bad", []scriptedReply{{outcome: call.OutcomeBad}}, call.OutcomeBad, []string{"k1"}, []string{"1"}},
		{"response without outcome", []scriptedReply{{}, {}, {}, {}}, call.OutcomeUnknown, []string{"k1", "k1", "k1", "k1"}, []string{"1", "", "", ""}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &scriptedNode{c: c, replies: test.replies}
			node := httptest.NewServer(s)
			defer node.Close()
			client := caller.New(caller.Settings{Node: address(node)})
			defer client.Close()
			got := client.Do(context.Background(), caller.Call{Method: "POST", Path: "/x", Route: "x", Keyed: true})
			c.Assert(got.Outcome(), qt.Equals, test.outcome)
			var keys, firstAttempts []string
			for _, h := range s.receivedHeaders() {
				keys = append(keys, h.Get(call.HeaderKey))
				firstAttempts = append(firstAttempts, h.Get(call.HeaderAttempt))
			}
			c.Assert(keys, qt.DeepEquals, test.keys)
			c.Assert(firstAttempts, qt.DeepEquals, test.firstAttempts)
		})
	}
}

func TestUnreachableNodeIsNotRun(t *testing.T) {
	c := qt.New(t)
	client := caller.New(caller.Settings{Node: netip.MustParseAddrPort("127.0.0.1:1")})
	defer client.Close()
	for _, keyed := range []bool{false, true} {
		got := client.Do(context.Background(), caller.Call{Method: "POST", Path: "/x", Keyed: keyed})
		c.Assert(got.Outcome(), qt.Equals, call.OutcomeNotRun)
		c.Assert(got.Err(), qt.IsNotNil)
		c.Assert(got.RetryAfter(), qt.Equals, time.Second)
	}
}

func TestNestedCallForwardsDepthAndDeadline(t *testing.T) {
	c := qt.New(t)
	s := &scriptedNode{c: c, replies: []scriptedReply{{outcome: call.OutcomeNotRun, reason: call.ReasonFull}}}
	node := httptest.NewServer(s)
	defer node.Close()
	client := caller.New(caller.Settings{Node: address(node)})
	defer client.Close()
	parent := http.Header{}
	parent.Set(call.HeaderDepth, "7")
	parent.Set(call.HeaderNoRetry, "1")
	parent.Set(call.HeaderTimeout, "800")
	got := client.Do(context.Background(), caller.Call{Method: "POST", Path: "/x", Keyed: true, Parent: parent})
	c.Assert(got.Outcome(), qt.Equals, call.OutcomeNotRun)
	c.Assert(s.receivedHeaders(), qt.HasLen, 1)
	c.Assert(s.receivedHeaders()[0].Get(call.HeaderDepth), qt.Equals, "7")
	c.Assert(s.receivedHeaders()[0].Get(call.HeaderNoRetry), qt.Equals, "1")
	c.Assert(len(s.receivedHeaders()[0].Get(call.HeaderTimeout)) <= 3, qt.IsTrue)
}
