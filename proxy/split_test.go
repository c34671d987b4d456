package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/proxy"
	"github.com/bambooknot/bambooknot/routing"
)

// TestPartWithoutServersKeepsItsShare checks that the share of a service without servers is refused instead of moved to
// the other service of the route, and that the service receives its share again, and no more, once it has a server.
func TestPartWithoutServersKeepsItsShare(t *testing.T) {
	const other = "invoices"
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	f.table = routing.NewTable(2, []routing.Route{routing.NewRoute(routing.RouteFields{
		Name: "split", Host: "a.example", Prefix: "/split/", Kind: routing.KindSafe, Timeout: 20 * time.Second, TargetLatency: 10 * time.Second, MaxAttempts: 3,
		Services: []routing.WeightedService{routing.NewWeightedService(service, 3), routing.NewWeightedService(other, 1)},
	})}, nil, routing.Limits{})
	// Both servers belong to the first service; later, one of them moves to the second.
	f.publish()
	c.Assert(splitCounts(t, f, "before"), qt.DeepEquals, map[int]int{http.StatusOK: 30, http.StatusServiceUnavailable: 10})

	moved := member.NewServer(other, member.ServerReady, slots)
	f.owners[1].SetBackend(proxy.NewBackend("b", f.backends[1].address(), moved))
	f.members[1] = f.members[1].WithServer(moved)
	f.publish()
	before := f.backends[1].totalRuns()
	c.Assert(splitCounts(t, f, "after"), qt.DeepEquals, map[int]int{http.StatusOK: 40})
	c.Assert(f.backends[1].totalRuns()-before, qt.Equals, 10)

	// While the second service sheds everything, its requests are not sent to the first one.
	f.backends[1].setHandler(f.backends[1].shed)
	before = f.backends[0].totalRuns()
	c.Assert(splitCounts(t, f, "shed"), qt.DeepEquals, map[int]int{http.StatusOK: 30, http.StatusServiceUnavailable: 10})
	c.Assert(f.backends[0].totalRuns()-before, qt.Equals, 30)
}

// splitCounts sends 40 requests and returns the number of responses by status.
func splitCounts(t *testing.T, f *fixture, prefix string) map[int]int {
	counts := make(map[int]int)
	for i := range 40 {
		counts[f.send(t.Context(), http.MethodGet, "/split/1", fmt.Sprint(prefix, i)).Status()]++
	}
	return counts
}
