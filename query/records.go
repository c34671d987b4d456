package query

import (
	"fmt"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/recordfile"
)

const recordsLong = `Prints the configuration of a node as a record file, with its version as the base. To return to
this configuration later, publish the file with --base set to the version in force at that time.

Exit codes: 0 printed; 2 bad arguments; 5 the node could not be reached; 1 any other failure.`

type recordsQuery struct {
	command.NodeOptions
}

func init() {
	command.Register("records", "Print the configuration of a node as a record file", recordsLong,
		func() command.Runner { return &recordsQuery{} })
}

func (q *recordsQuery) Run(env command.Env, _ []string) int {
	client, err := q.Client()
	if err != nil {
		return command.FailUsage(env, err)
	}
	ctx, cancel := q.RequestContext()
	defer cancel()
	config, err := client.Records(ctx)
	if err != nil {
		return command.FailRequest(env, err)
	}
	data, err := recordfile.Format(recordfile.FromRecords(config.Version(), config.Records()))
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return command.ExitFailure
	}
	fmt.Fprint(env.Out, string(data))
	return command.ExitOK
}
