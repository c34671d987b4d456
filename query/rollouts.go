package query

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/operator"
)

const rolloutsLong = `Lists the last roll-out of each service as a sidecar knows it: the versions, the phase with the share of requests that go to
the target version and the servers in use, the age of the order and its time limit, the verdict, the nodes whose own guard has
stopped the target version, the requests counted at the base and the target version, the node that decides and the reason of the last step. At the node that decides the figures are those of all nodes; others
show their own and no verdict.

With --halt, halts the roll-out of a service on all nodes: nothing more goes to the target version, and the roll-out is rolled back. Run it
on the VM of the node.

Exit codes: 0 listed, or the node halts the roll-out; 1 the node rejected the request; 2 bad arguments; 4 no response, the roll-out may be
halted; 5 the node could not be reached.`

type rolloutsQuery struct {
	command.SidecarOptions
	Halt string `long:"halt" value-name:"SERVICE" description:"halt the roll-out of this service"`
}

func init() {
	command.Register("rollouts", "List and halt roll-outs of service versions", rolloutsLong, func() command.Runner { return &rolloutsQuery{} })
}

func (q *rolloutsQuery) Run(env command.Env, _ []string) int {
	client, err := q.RolloutClient()
	if err != nil {
		return command.FailUsage(env, err)
	}
	if q.Halt != "" {
		return q.halt(env, client)
	}
	ctx, cancel := q.RequestContext()
	defer cancel()
	rollouts, err := client.List(ctx)
	if err != nil {
		return command.FailRequest(env, err)
	}
	if err := writeRollouts(env, rollouts); err != nil {
		return command.FailRequest(env, err)
	}
	return command.ExitOK
}

func (q *rolloutsQuery) halt(env command.Env, client *operator.RolloutClient) int {
	ctx, cancel := q.RequestContext()
	defer cancel()
	err := client.Halt(ctx, q.Halt)
	var rejected *operator.RejectedError
	switch {
	case err == nil:
		fmt.Fprintln(env.Out, "halted", q.Halt)
		return command.ExitOK
	case operator.NotSent(err), errors.As(err, &rejected):
		return command.FailRequest(env, err)
	}
	fmt.Fprintf(env.Err, "the roll-out may be halted: %v\n", err)
	return command.ExitUnknown
}

func writeRollouts(env command.Env, rollouts []operator.RolloutFields) error {
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tBASE\tTARGET\tPHASE\tSHARE\tSERVERS\tAGE\tLIMIT\tVERDICT\tGUARDS\tBASE REQUESTS\tTARGET REQUESTS\tDECIDER\tREASON")
	for _, r := range rollouts {
		phase := r.Phase
		switch {
		case r.Halted:
			phase += ", halted"
		case r.Stopped:
			phase += ", stopped here"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f%%\t%s\t%v\t%v\t%s\t%d\t%d\t%d\t%s\t%s\n", r.Service, r.Base, r.Target, phase, 100*r.Share, serversInUse(r.Servers),
			r.Age.Round(100*time.Millisecond), r.Limit, r.Verdict, r.Guards, r.BaseRequests, r.TargetRequests, r.Decider, r.Reason)
	}
	return w.Flush()
}

func serversInUse(n int) string {
	if n == 0 {
		return "all"
	}
	return fmt.Sprint(n)
}
