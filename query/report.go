package query

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"

	"github.com/bambooknot/bambooknot/burn"
	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/operator"
)

const reportLong = `Prints a report. The only one is "burn": the rate at which each service burns its error budget, computed
from the counts of the nodes queried. Repeat --node to query several nodes, or use --members to query all; the
report states which nodes did not respond and how many nodes of the fleet are alive.

Exit codes: 0 all nodes responded; 1 some did not, the report covers the others; 2 bad
arguments; 5 no node responded.`

// Limits on one report.
const (
	maxReportNodes    = 1024
	maxReportRequests = 8 // nodes queried concurrently
)

type reportQuery struct {
	Nodes   []string `long:"node" value-name:"ADDR" default:"127.0.0.1:7104" description:"operators' port of a node to query, an IP address with a port; may be repeated"`
	Members bool     `long:"members" description:"query also every node that the first --node considers alive, at its peer address and the port of that --node"`
	command.RequestOptions
	JSON bool   `long:"json" description:"print the report as JSON"`
	HTML string `long:"html" value-name:"FILE" description:"write the report as one HTML page with plots"`
	Args struct {
		Kind string `positional-arg-name:"burn" required:"yes"`
	} `positional-args:"yes"`
}

func init() {
	command.Register("report", "Report on service-level burn", reportLong,
		func() command.Runner { return &reportQuery{} })
}

// coverage describes the nodes from which a report is computed.
type coverage struct {
	nodesAsked   int
	failures     []nodeFailure
	aliveMembers int // highest number of alive members in any status, 0 without a status
}

// nodeFailure is a node whose counts are not in the report, and the reason.
type nodeFailure struct {
	address string
	err     error
}

func (q *reportQuery) Run(env command.Env, _ []string) int {
	if q.Args.Kind != "burn" {
		return command.FailUsage(env, fmt.Errorf("report %q: must be burn", q.Args.Kind))
	}
	clients, err := q.clients()
	if err != nil {
		return command.FailUsage(env, err)
	}
	if q.Members {
		if err := q.addMembers(clients[0]); err != nil {
			return command.FailRequest(env, err)
		}
		if clients, err = q.clients(); err != nil {
			return command.FailUsage(env, err)
		}
	}
	counts, cover := q.queryNodes(clients)
	report := burn.NewReport(counts)
	if err := q.write(env, report, cover); err != nil {
		fmt.Fprintln(env.Err, err)
		return command.ExitFailure
	}
	for _, f := range cover.failures {
		fmt.Fprintf(env.Err, "%s has not answered: %v\n", f.address, f.err)
	}
	switch len(cover.failures) {
	case 0:
		return command.ExitOK
	case cover.nodesAsked:
		return command.ExitUnavailable
	}
	return command.ExitFailure
}

// addMembers adds the other members that the first node considers alive to q.Nodes.
func (q *reportQuery) addMembers(client *operator.Client) error {
	ctx, cancel := q.RequestContext()
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	port := netip.MustParseAddrPort(q.Nodes[0]).Port()
	for _, m := range status.Members() {
		if m.Health() == member.HealthAlive && m.Key() != status.Self().Key() {
			q.Nodes = append(q.Nodes, netip.AddrPortFrom(m.Key().Peer().Addr(), port).String())
		}
	}
	return nil
}

// clients returns a client for each of q.Nodes, in order and without duplicates.
func (q *reportQuery) clients() ([]*operator.Client, error) {
	q.Nodes = withoutDuplicates(q.Nodes)
	if len(q.Nodes) > maxReportNodes {
		return nil, fmt.Errorf("%d nodes: at most %d are allowed", len(q.Nodes), maxReportNodes)
	}
	clients := make([]*operator.Client, 0, len(q.Nodes))
	for _, node := range q.Nodes {
		client, err := q.ClientFor(node)
		if err != nil {
			return nil, err
		}
		clients = append(clients, client)
	}
	return clients, nil
}

func withoutDuplicates(names []string) []string {
	var out []string
	for _, name := range names {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// nodeResponse is the response of one node, or the error of the request.
type nodeResponse struct {
	counts       burn.Counts
	aliveMembers int
	err          error
}

// queryNodes queries all nodes, at most maxReportRequests concurrently, and merges their counts.
func (q *reportQuery) queryNodes(clients []*operator.Client) (burn.Counts, coverage) {
	responses := make([]nodeResponse, len(clients))
	semaphore := make(chan struct{}, maxReportRequests)
	var wg sync.WaitGroup
	for i, client := range clients {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := q.RequestContext()
			defer cancel()
			responses[i] = queryNode(ctx, client)
		})
	}
	wg.Wait()
	return q.mergeResponses(responses)
}

func queryNode(ctx context.Context, client *operator.Client) nodeResponse {
	counts, err := client.Burn(ctx)
	if err != nil {
		return nodeResponse{err: err}
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nodeResponse{err: err}
	}
	r := nodeResponse{counts: counts}
	for _, m := range status.Members() {
		if m.Health() == member.HealthAlive {
			r.aliveMembers++
		}
	}
	return r
}

// mergeResponses sums the counts. A node that responded at two addresses is counted once.
func (q *reportQuery) mergeResponses(responses []nodeResponse) (burn.Counts, coverage) {
	cover := coverage{nodesAsked: len(responses)}
	var sum burn.Counts
	for i, r := range responses {
		if r.err == nil && shareNode(sum, r.counts) {
			r.err = errors.New("already covered at another address")
		}
		if r.err != nil {
			cover.failures = append(cover.failures, nodeFailure{address: q.Nodes[i], err: r.err})
			continue
		}
		sum = burn.Merge(sum, r.counts)
		cover.aliveMembers = max(cover.aliveMembers, r.aliveMembers)
	}
	return sum, cover
}

// shareNode reports whether a and b cover a common node.
func shareNode(a, b burn.Counts) bool {
	return slices.ContainsFunc(b.Nodes(), func(k member.Key) bool { return slices.Contains(a.Nodes(), k) })
}

func (q *reportQuery) write(env command.Env, report burn.Report, cover coverage) error {
	if q.HTML != "" {
		page, err := renderPage(report, cover)
		if err != nil {
			return err
		}
		if err := os.WriteFile(q.HTML, page, 0o644); err != nil {
			return err
		}
	}
	if q.JSON {
		return writeReportJSON(env.Out, report, cover)
	}
	return writeReportTable(env.Out, report, cover)
}
