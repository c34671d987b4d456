package query

import (
	"fmt"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/recordfile"
)

const recordsLong = `Prints the configuration that a node holds as a record file, with its version as the base. Kept,
it is the way back to that configuration: publish it with --base of the version held by then.

Exit codes: 0 printed; 2 bad arguments; 5 the node could not be reached; 1 any other failure.`

type recordsQuery struct {
	command.Remote
}

func init() {
	command.Register("records", "Print the configuration held as a record file", recordsLong,
		func() command.Runner { return &recordsQuery{} })
}

func (q *recordsQuery) Run(env command.Env, _ []string) int {
	client, err := q.Client()
	if err != nil {
		return command.FailUsage(env, err)
	}
	ctx, cancel := q.Context()
	defer cancel()
	config, err := client.Records(ctx)
	if err != nil {
		return command.Fail(env, err)
	}
	data, err := recordfile.Format(recordfile.FromRecords(config.Version(), config.Records()))
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return command.ExitFailure
	}
	fmt.Fprint(env.Out, string(data))
	return command.ExitOK
}
