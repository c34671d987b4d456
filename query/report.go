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

const reportLong = `Prints a report. The only one so far is "burn": how fast each service burns its budget of bad calls,
by the counts of the nodes asked. Name several nodes with --node again, or ask all with --members; the
report says which of them did not answer and how many nodes of the fleet are alive.

Exit codes: 0 every node asked has answered; 1 some have not, the report covers the others; 2 bad
arguments; 5 no node has answered.`

// Bounds on one report.
const (
	maxReportNodes    = 1024
	maxReportRequests = 8 // nodes asked at once
)

type reportQuery struct {
	Nodes   []string `long:"node" value-name:"ADDR" default:"127.0.0.1:7104" description:"operators' port of a node to ask, an IP number with a port; may be given again"`
	Members bool     `long:"members" description:"ask also every node that the first --node believes alive, at its peer address and the port of that --node"`
	command.Access
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

// coverage says which nodes a report rests on.
type coverage struct {
	nodesAsked   int
	failures     []nodeFailure
	aliveMembers int // members that the fleet believes alive, 0 if no node said
}

type nodeFailure struct {
	address string
	err     error
}

func (q *reportQuery) Run(env command.Env, _ []string) int {
	if q.Args.Kind != "burn" {
		return command.FailUsage(env, fmt.Errorf("report %q: allowed is burn", q.Args.Kind))
	}
	clients, err := q.clients()
	if err != nil {
		return command.FailUsage(env, err)
	}
	if q.Members {
		if err := q.addMembers(clients[0]); err != nil {
			return command.Fail(env, err)
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
	for _, s := range cover.failures {
		fmt.Fprintf(env.Err, "%s has not answered: %v\n", s.address, s.err)
	}
	switch len(cover.failures) {
	case 0:
		return command.ExitOK
	case cover.nodesAsked:
		return command.ExitUnavailable
	}
	return command.ExitFailure
}

// addMembers names the members that the first node believes alive in addition to that node itself.
func (q *reportQuery) addMembers(client *operator.Client) error {
	ctx, cancel := q.Context()
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

// clients returns a client of each node, in the order named.
func (q *reportQuery) clients() ([]*operator.Client, error) {
	q.Nodes = withoutDuplicates(q.Nodes)
	if len(q.Nodes) > maxReportNodes {
		return nil, fmt.Errorf("%d nodes: allowed are %d", len(q.Nodes), maxReportNodes)
	}
	clients := make([]*operator.Client, 0, len(q.Nodes))
	for _, node := range q.Nodes {
		client, err := q.ClientOf(node)
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

type nodeResponse struct {
	counts       burn.Counts
	aliveMembers int
	err          error
}

// queryNodes asks all nodes, a few at once, and merges what they counted.
func (q *reportQuery) queryNodes(clients []*operator.Client) (burn.Counts, coverage) {
	responses := make([]nodeResponse, len(clients))
	slots := make(chan struct{}, maxReportRequests)
	var wg sync.WaitGroup
	for i, client := range clients {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := q.Context()
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
	a := nodeResponse{counts: counts}
	for _, m := range status.Members() {
		if m.Health() == member.HealthAlive {
			a.aliveMembers++
		}
	}
	return a
}

// mergeResponses adds up the answers. A node that answered at two addresses counts once.
func (q *reportQuery) mergeResponses(responses []nodeResponse) (burn.Counts, coverage) {
	cover := coverage{nodesAsked: len(responses)}
	var sum burn.Counts
	for i, a := range responses {
		if a.err == nil && shareNode(sum, a.counts) {
			a.err = errors.New("already covered through another address")
		}
		if a.err != nil {
			cover.failures = append(cover.failures, nodeFailure{address: q.Nodes[i], err: a.err})
			continue
		}
		sum = burn.Merge(sum, a.counts)
		cover.aliveMembers = max(cover.aliveMembers, a.aliveMembers)
	}
	return sum, cover
}

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
