package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/call"
	"github.com/bambooknot/bambooknot/caller"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/node"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/setting"
	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

// waitTimeout fails a test that hangs. It is not an expected duration.
const waitTimeout = 45 * time.Second

// addresses are those of one node: peer, callers, server, observe, operators.
type addresses [5]netip.AddrPort

// network and hosts form the loopback addresses of the nodes of a test process.
var (
	network = [2]byte{byte(1 + rand.IntN(250)), byte(rand.IntN(256))}
	hosts   atomic.Int32
)

// freeAddresses returns addresses on a loopback host that no other node uses. The ports are below the range that the
// system assigns to outgoing connections.
func freeAddresses(t *testing.T) (a addresses) {
	host := netip.AddrFrom4([4]byte{127, network[0], network[1], byte(hosts.Add(1))})
	for i := range a {
		a[i] = netip.AddrPortFrom(host, uint16(7100+i))
		l, err := net.Listen("tcp", a[i].String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.Close(), qt.IsNil)
	}
	return a
}

func startNode(t *testing.T, a addresses, log string, clock *timer.Service) *node.Node {
	text := fmt.Sprintf("[fleet]\nname = \"f\"\nlog_region = \"jadran\"\n[node]\nregion = \"jadran\"\nfailure_domain = \"split\"\npeer = %q\n"+
		"[listen]\ncallers = %q\nserver = %q\nobserve = %q\noperators = %q\n[log]\naddress = %q\n", a[0], a[1], a[2], a[3], a[4], log)
	s, err := setting.Parse("test.toml", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	n, err := node.New(s, clock, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(n.Close)
	return n
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met")
		}
	}
}

func serving(n *node.Node) func() bool {
	return func() bool { return n.Status().Stage() == message.StageServing }
}

// startBackend starts a backend server that announces itself to the node at a local address.
func startBackend(t *testing.T, local netip.AddrPort) {
	server := standin.NewServer(standin.ServerSettings{Service: "radionica", Slots: 4}, timer.New())
	front := httptest.NewServer(server)
	addr := netip.MustParseAddrPort(front.Listener.Addr().String())
	announcer := standin.NewAnnouncer(server, addr, local, timer.New(), nil)
	t.Cleanup(func() { announcer.Close(); front.Close(); server.Close() })
}

// publishRoute publishes a route that requires request keys.
func publishRoute(t *testing.T, n *node.Node) {
	change := record.NewChangeSet(uuid.New(), "test", 0, []record.Record{
		record.NewService(record.Schema1, "radionica", 0),
		record.NewRoute("termin", "/termin", "radionica", false),
	}, nil)
	qt.Assert(t, n.Publish(context.Background(), change).Outcome().Accepted(), qt.IsTrue)
}

// TestReplacementWithClockBehind replaces a VM by one with the same address whose clock is behind. The new process must
// still be distinguished from the old one, and calls with request keys that name it must be run.
func TestReplacementWithClockBehind(t *testing.T) {
	log := httptest.NewServer(standin.NewLog(standin.DefaultLogSettings(), timer.New()))
	defer log.Close()
	logAddress := log.Listener.Addr().String()
	front, back := freeAddresses(t), freeAddresses(t)
	ingress := startNode(t, front, logAddress, timer.New())
	owner := startNode(t, back, logAddress, timer.New())
	startBackend(t, back[2])
	waitUntil(t, serving(ingress))
	waitUntil(t, serving(owner))
	publishRoute(t, ingress)
	client := caller.New(caller.Settings{Node: front[1]})
	defer client.Close()
	answered := func() bool {
		r := client.Do(context.Background(), caller.Call{Method: http.MethodPost, Path: "/termin", Keyed: true})
		return r.Outcome() == call.OutcomeAnswered
	}
	waitUntil(t, answered)
	old := owner.Status().Self().Key()

	owner.Close()
	const behind = 8 * time.Second // within the skew that request keys allow
	owner = startNode(t, back, logAddress, timer.NewWithClock(func() time.Time { return time.Now().Add(-behind) }))
	waitUntil(t, serving(owner))
	waitUntil(t, func() bool { return owner.Status().Self().Key().Incarnation() > old.Incarnation() })
	waitUntil(t, answered)
}
