package query

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/operator"
)

const quarantinedLong = `Lists the request contents that a sidecar refuses because servers crashed while they ran them: the hash of the
content, as in the lines server_crashed and request_quarantined of the logs, the server processes that ended, the trials made so far and
the time until the next one.

Exit codes: 0 listed; 1 the node rejected the request; 2 bad arguments; 5 the node could not be reached.`

type quarantinedQuery struct {
	command.SidecarOptions
}

func init() {
	command.Register("quarantined", "List the requests that servers crashed with", quarantinedLong, func() command.Runner { return &quarantinedQuery{} })
}

func (q *quarantinedQuery) Run(env command.Env, _ []string) int {
	client, err := q.QuarantineClient()
	if err != nil {
		return command.FailUsage(env, err)
	}
	ctx, cancel := q.RequestContext()
	defer cancel()
	contents, err := client.List(ctx)
	if err != nil {
		return command.FailRequest(env, err)
	}
	if err := writeQuarantined(env, contents); err != nil {
		return command.FailRequest(env, err)
	}
	return command.ExitOK
}

func writeQuarantined(env command.Env, contents []operator.QuarantinedContent) error {
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTENT\tCRASHES\tTRIALS\tNEXT TRIAL")
	for _, c := range contents {
		fmt.Fprintf(w, "%s\t%d\t%d\t%v\n", c.Content(), c.Crashes(), c.Trials(), c.NextTrial().Round(time.Second))
	}
	return w.Flush()
}
