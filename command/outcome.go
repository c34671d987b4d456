package command

import (
	"fmt"

	"github.com/bambooknot/bambooknot/record"
)

// PrintOutcome prints the accepted version, or all faults of a refused change set: reason, record, field and
// detail, which for a conflict names the conflicting change.
func PrintOutcome(env Env, o record.Outcome) {
	if o.Accepted() {
		fmt.Fprintf(env.Out, "accepted as version %d (publish %s)\n", o.Version(), o.PublishID())
		return
	}
	fmt.Fprintf(env.Err, "refused at version %d (publish %s):\n", o.Version(), o.PublishID())
	for _, f := range o.Faults() {
		fmt.Fprintln(env.Err, " ", faultLine(f))
	}
}

// faultLine formats a fault as one line.
func faultLine(f record.Fault) string {
	line := f.Reason().String() + ": "
	if f.Record() != (record.ID{}) {
		line += f.Record().String() + ": "
	}
	if f.Field() != "" {
		line += f.Field() + ": "
	}
	return line + f.Detail()
}
