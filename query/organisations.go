package query

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/usage"
)

const organisationsLong = `Lists the requests that a sidecar has received from organisations since its start: how many were asked, were
answered by servers and wait for an answer now, and how many were refused, by reason. The 64 organisations that asked most come first, in
descending order; the others are summed in the last line.

Exit codes: 0 listed; 1 the node rejected the request; 2 bad arguments; 5 the node could not be reached.`

type organisationsQuery struct {
	command.SidecarOptions
}

func init() {
	command.Register("organisations", "List the requests of organisations", organisationsLong, func() command.Runner { return &organisationsQuery{} })
}

func (q *organisationsQuery) Run(env command.Env, _ []string) int {
	client, err := q.OrganisationClient()
	if err != nil {
		return command.FailUsage(env, err)
	}
	ctx, cancel := q.RequestContext()
	defer cancel()
	list, err := client.List(ctx)
	if err != nil {
		return command.FailRequest(env, err)
	}
	if err := writeOrganisations(env, list); err != nil {
		return command.FailRequest(env, err)
	}
	return command.ExitOK
}

func writeOrganisations(env command.Env, list []usage.Row) error {
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ORGANISATION\tASKED\tANSWERED\tWAITING\tREFUSED")
	for _, r := range list {
		name := r.Name
		if name == "" {
			name = fmt.Sprintf("(%d others)", r.Organisations)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", name, r.Asked, r.Answered, r.Waiting, refusals(r.Refused))
	}
	return w.Flush()
}

// refusals returns the numbers of refused requests by reason, the most frequent first.
func refusals(byReason map[string]int64) string {
	reasons := slices.SortedFunc(maps.Keys(byReason), func(a, b string) int {
		return cmp.Or(cmp.Compare(byReason[b], byReason[a]), cmp.Compare(a, b))
	})
	texts := make([]string, 0, len(reasons))
	for _, reason := range reasons {
		texts = append(texts, fmt.Sprintf("%s=%d", reason, byReason[reason]))
	}
	return strings.Join(texts, " ")
}
