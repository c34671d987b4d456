package call

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

const testFleet = "test"

var testPlace = member.NewPlace("jadran", "split")

// node is an owner node with a stand-in backend server.
type node struct {
	member  member.Member
	owner   *Owner
	peer    *httptest.Server // the node's peer port
	server  *standin.Server
	backend *httptest.Server // the port of server
}

// fleet is one ingress and a number of owner nodes, all on the loopback interface.
type fleet struct {
	c             *qt.C
	timers        *timer.Service
	nodes         []*node
	snap          atomic.Pointer[message.Snapshot]
	ingress       *Ingress
	ingressServer *httptest.Server // the callers' port
	client        *http.Client
}

func newFleet(t testing.TB, servers int, s standin.ServerSettings) *fleet {
	f := &fleet{c: qt.New(t), timers: timer.New(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for range servers {
		f.nodes = append(f.nodes, f.newNode(s))
	}
	f.setView()
	f.ingress = New(Settings{
		Fleet: testFleet, Self: member.NewKey(netip.MustParseAddrPort("127.0.0.1:1"), 1), Place: testPlace,
		Snapshot: f.snap.Load, Forward: &http.Transport{MaxIdleConnsPerHost: 64}, Timers: f.timers,
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	f.ingressServer = httptest.NewServer(f.ingress)
	t.Cleanup(f.ingressServer.Close)
	return f
}

func (f *fleet) newNode(s standin.ServerSettings) *node {
	n := &node{server: standin.NewServer(s, f.timers)}
	n.backend = httptest.NewServer(n.server)
	f.c.Cleanup(n.backend.Close)
	n.peer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.owner.ServeHTTP(w, r) }))
	f.c.Cleanup(n.peer.Close)
	f.startProcess(n, 1)
	return n
}

// startProcess replaces the node's process by a new one of that incarnation, with an empty ledger.
func (f *fleet) startProcess(n *node, incarnation member.Incarnation) {
	key := member.NewKey(addrOf(n.peer), incarnation)
	server := member.NewServer("orders", member.ServerReady, 4)
	n.member = member.New(key, testPlace, record.SchemaNewest).WithServer(server)
	n.owner = NewOwner(OwnerSettings{Fleet: testFleet, Self: key, Snapshot: f.snap.Load, Timers: f.timers})
	n.owner.SetServer(addrOf(n.backend), server)
}

func addrOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// setView publishes a snapshot whose view contains the current nodes.
func (f *fleet) setView() {
	var members []member.Member
	for _, n := range f.nodes {
		members = append(members, n.member)
	}
	view := member.NewView(member.NewKey(netip.MustParseAddrPort("127.0.0.1:1"), 1), members)
	f.snap.Store(message.NewSnapshot(testConfig(), view))
}

func testConfig() *catalog.Snapshot {
	records := make(map[record.ID]record.Record)
	for _, r := range []record.Record{
		record.NewService(record.Schema1, "orders", 0),
		record.NewService(record.Schema1, "other", 0),
		record.NewResource(record.Schema2, "slow", 0.001, 1),
		record.NewRoute("browse", "/browse", "orders", true),
		record.NewRoute("commission", "/commission", "orders", false),
		record.NewRoute("elsewhere", "/elsewhere", "other", false),
		record.NewRoute2("limited", "/limited", "orders", true, 0, []string{"slow"}, record.Objective{}),
		record.NewRoute2("booking", "/booking", "orders", false, 0, []string{"slow"}, record.Objective{}),
		record.NewRoute2("patient", "/patient", "orders", true, time.Hour, nil, record.Objective{}),
		record.NewRoute2("short", "/short", "orders", false, 100*time.Millisecond, nil, record.Objective{}),
	} {
		records[r.ID()] = r
	}
	return catalog.NewSnapshot(1, record.SchemaNewest, records)
}

// reply is the result of a call as the caller sees it.
type reply struct {
	status  int
	outcome Outcome
	reason  Reason
	body    string
	header  http.Header
	err     error // the connection broke, before or in the body
}

// do makes a call through the ingress. header lists names and values alternately.
func (f *fleet) do(method, path, body string, header ...string) reply {
	return f.doAt(f.ingressServer.URL, method, path, body, header...)
}

func (f *fleet) doAt(baseURL, method, path, body string, header ...string) reply {
	req, err := http.NewRequest(method, baseURL+path, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, outcome: Outcome(resp.Header.Get(HeaderOutcome)), reason: Reason(resp.Header.Get(HeaderReason)),
		body: string(data), header: resp.Header, err: err,
	}
}

// newKey returns a new request key that names a node.
func (f *fleet) newKey(n *node) string {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), 1))
	return ledger.NewKey(testFleet, ledger.TagOf(n.member.Key()), f.timers.Now(), rnd).String()
}

// executions returns how often the call with a key ran on all servers.
func (f *fleet) executions(key string) int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.server.Executions(key)
	}
	return sum
}
