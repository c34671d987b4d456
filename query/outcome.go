package query

import (
	"fmt"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
)

const outcomeLong = `Prints whether a publish was accepted, and as which version, or all reasons for its refusal.
A node keeps the outcomes of a limited number of publishes.

Exit codes: 0 accepted; 2 bad arguments; 3 refused; 4 the node knows no outcome; 5 the node could not
be reached; 1 any other failure.`

type outcomeQuery struct {
	command.NodeOptions
	JSON bool `long:"json" description:"print the outcome as JSON"`
	Args struct {
		Publish string `positional-arg-name:"PUBLISH-ID" required:"yes"`
	} `positional-args:"yes"`
}

func init() {
	command.Register("outcome", "Print the outcome of a publish", outcomeLong,
		func() command.Runner { return &outcomeQuery{} })
}

func (q *outcomeQuery) Run(env command.Env, _ []string) int {
	client, err := q.Client()
	if err != nil {
		return command.FailUsage(env, err)
	}
	id, err := uuid.Parse(q.Args.Publish)
	if err != nil {
		return command.FailUsage(env, fmt.Errorf("PUBLISH-ID: %w", err))
	}
	ctx, cancel := q.RequestContext()
	defer cancel()
	outcome, ok, err := client.Outcome(ctx, id)
	if err != nil {
		return command.FailRequest(env, err)
	}
	if !ok {
		fmt.Fprintf(env.Err, "the node knows no outcome of %s\n", id)
		return command.ExitUnknown
	}
	return q.printOutcome(env, outcome)
}

func (q *outcomeQuery) printOutcome(env command.Env, outcome record.Outcome) int {
	if !q.JSON {
		command.PrintOutcome(env, outcome)
	} else if data, err := operator.EncodeOutcome(outcome); err == nil {
		fmt.Fprintln(env.Out, string(data))
	}
	if !outcome.Accepted() {
		return command.ExitRefused
	}
	return command.ExitOK
}
