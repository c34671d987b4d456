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

// startNode starts a node with a stand-in server beside it and returns its callers' port.
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
	o := call.NewOwner(call.OwnerSettings{Fleet: "example", Self: key, Snapshot: snapshot, Timers: timers})
	o.SetServer(address(backend), server)
	owner.Store(o)
	port := httptest.NewServer(call.New(call.Settings{
		Fleet: "example", Self: key, Place: place, Snapshot: snapshot, Forward: &http.Transport{}, Timers: timers,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}))
	return address(port), func() {
		port.Close()
		peer.Close()
		backend.Close()
	}
}

func address(s *httptest.Server) netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// script answers the attempts of a call one after the other.
type script struct {
	mu       sync.Mutex // handlers run on the goroutines of their connections
	c        *qt.C
	attempts []attempt
	seen     []http.Header
}

type attempt struct {
	outcome call.Outcome
	reason  call.Reason
	broken  bool
}

// next notes a request and returns what is to become of it.
func (s *script) next(r *http.Request) attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, r.Header.Clone())
	a := s.attempts[0]
	s.attempts = s.attempts[1:]
	return a
}

// headers returns the headers of the requests seen so far.
func (s *script) headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == call.KeysPath {
		w.Header().Set(call.HeaderOutcome, "answered")
		_, _ = w.Write([]byte(`{"keys":["k1","k2","k3","k4"]}`))
		return
	}
	a := s.next(r)
	if a.broken {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("short"))
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(call.HeaderOutcome, string(a.outcome))
	w.Header().Set(call.HeaderReason, string(a.reason))
	w.Header().Set("Retry-After", "2")
}

func TestDoKeyed(t *testing.T) {
	for _, test := range []struct {
		name     string
		attempts []attempt
		outcome  call.Outcome
		keys     []string
		first    []string
	}{
		{"answered", []attempt{{outcome: call.OutcomeAnswered}}, call.OutcomeAnswered, []string{"k1"}, []string{"1"}},
		{"broken, then answered", []attempt{{broken: true}, {outcome: call.OutcomeAnswered}}, call.OutcomeAnswered, []string{"k1", "k1"}, []string{"1", ""}},
		{"full, then answered", []attempt{{outcome: call.OutcomeNotRun, reason: call.ReasonFull}, {outcome: call.OutcomeAnswered}}, call.OutcomeAnswered, []string{"k1", "k2"}, []string{"1", "1"}},
		{"owner gone", []attempt{{broken: true}, {outcome: call.OutcomeUnknown, reason: call.ReasonOwnerGone}}, call.OutcomeUnknown, []string{"k1", "k1"}, []string{"1", ""}},
		{"rate", []attempt{{outcome: call.OutcomeNotRun, reason: call.ReasonRate}}, call.OutcomeNotRun, []string{"k1"}, []string{"1"}},
		{"bad", []attempt{{outcome: call.OutcomeBad}}, call.OutcomeBad, []string{"k1"}, []string{"1"}},
		{"no outcome at all", []attempt{{}, {}, {}, {}}, call.OutcomeUnknown, []string{"k1", "k1", "k1", "k1"}, []string{"1", "", "", ""}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &script{c: c, attempts: test.attempts}
			front := httptest.NewServer(s)
			defer front.Close()
			client := caller.New(caller.Settings{Node: address(front)})
			defer client.Close()
			got := client.Do(context.Background(), caller.Call{Method: "POST", Path: "/x", Route: "x", Keyed: true})
			c.Assert(got.Outcome(), qt.Equals, test.outcome)
			var keys, first []string
			for _, h := range s.headers() {
				keys = append(keys, h.Get(call.HeaderKey))
				first = append(first, h.Get(call.HeaderAttempt))
			}
			c.Assert(keys, qt.DeepEquals, test.keys)
			c.Assert(first, qt.DeepEquals, test.first)
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

func TestNestedCallPassesOnDepthAndDeadline(t *testing.T) {
	c := qt.New(t)
	s := &script{c: c, attempts: []attempt{{outcome: call.OutcomeNotRun, reason: call.ReasonFull}}}
	front := httptest.NewServer(s)
	defer front.Close()
	client := caller.New(caller.Settings{Node: address(front)})
	defer client.Close()
	parent := http.Header{}
	parent.Set(call.HeaderDepth, "7")
	parent.Set(call.HeaderNoRetry, "1")
	parent.Set(call.HeaderTimeout, "800")
	got := client.Do(context.Background(), caller.Call{Method: "POST", Path: "/x", Keyed: true, Parent: parent})
	c.Assert(got.Outcome(), qt.Equals, call.OutcomeNotRun)
	c.Assert(s.headers(), qt.HasLen, 1)
	c.Assert(s.headers()[0].Get(call.HeaderDepth), qt.Equals, "7")
	c.Assert(s.headers()[0].Get(call.HeaderNoRetry), qt.Equals, "1")
	c.Assert(len(s.headers()[0].Get(call.HeaderTimeout)) <= 3, qt.IsTrue)
}
