// Package query implements the read-only commands, which change neither the fleet nor a node. Importing
// the package registers them with package command.
package query

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/timer"
)

const statusLong = `Prints the state of a node and its view of the fleet: stage, configuration, log, members and
the versions in force per region.

Exit codes: 0 printed; 2 bad arguments; 5 the node could not be reached; 1 any other failure.`

type statusQuery struct {
	command.NodeOptions
	JSON    bool `long:"json" description:"print the status as JSON"`
	Members bool `long:"members" description:"list each member"`
}

func init() {
	command.Register("status", "Print the status of a node and its fleet", statusLong,
		func() command.Runner { return &statusQuery{} })
}

func (q *statusQuery) Run(env command.Env, _ []string) int {
	client, err := q.Client()
	if err != nil {
		return command.FailUsage(env, err)
	}
	ctx, cancel := q.RequestContext()
	defer cancel()
	if q.JSON {
		data, err := client.StatusJSON(ctx)
		if err != nil {
			return command.FailRequest(env, err)
		}
		fmt.Fprintln(env.Out, string(data))
		return command.ExitOK
	}
	status, err := client.Status(ctx)
	if err != nil {
		return command.FailRequest(env, err)
	}
	printStatus(env.Out, timer.New().Now(), status)
	if q.Members {
		printMembers(env.Out, status.Members())
	}
	return command.ExitOK
}

func printStatus(out io.Writer, now time.Time, s message.Status) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	self := s.Self()
	fmt.Fprintf(w, "node\t%s, %s/%s, incarnation %d\n", self.Key().Peer(), self.Place().Region(), self.Place().FailureDomain(), self.Key().Incarnation())
	fmt.Fprintf(w, "stage\t%s\n", s.Stage())
	if server := self.Server(); server.Service() != "" {
		fmt.Fprintf(w, "server\t%s, %s, %d slots\n", server.Service(), server.State(), server.Slots())
	}
	if len(s.Roles()) > 0 {
		fmt.Fprintf(w, "roles\t%s\n", strings.Join(s.Roles(), ", "))
	}
	fmt.Fprintf(w, "version\t%d, log applied up to offset %d, chain %016x\n", s.Digest().Version(), s.Digest().Head(), s.Digest().Chain())
	fmt.Fprintf(w, "schema\tthe fleet accepts up to %d\n", s.Level())
	if s.MissingLevel() > 0 {
		fmt.Fprintf(w, "UPGRADE\tthis node lacks schema %d and keeps its version until it is upgraded\n", s.MissingLevel())
	}
	if s.Conflicts() > 0 {
		fmt.Fprintf(w, "UNEQUAL\t%d digests, entries or states contradicted the state of this node and were rejected\n", s.Conflicts())
	}
	if s.Unconfirmed() {
		fmt.Fprintf(w, "unconfirmed\tthis node serves a configuration received from peers and does not know the end of the log yet\n")
	}
	fmt.Fprintf(w, "log\t%s\n", describeLog(now, s))
	if g := s.Gap(); g.Exists() {
		fmt.Fprintf(w, "GAP\tentries %d to %d were trimmed before this node read them, the log starts at offset %d; to accept their loss: bambooknot bridge --accept-loss %d\n",
			g.Start(), g.End()-1, g.End(), g.End())
	}
	fmt.Fprintf(w, "members\t%s\n", describeHealth(s.Members()))
	for _, c := range s.Census() {
		fmt.Fprintf(w, "region %s\t%s\n", c.Region(), describeCensus(now, c))
	}
}

func describeLog(now time.Time, s message.Status) string {
	seen := "never seen"
	if !s.LogSeenAt().IsZero() {
		seen = "last seen " + age(now, s.LogSeenAt()) + " ago"
	}
	if s.LogErr() != nil {
		return seen + ", FAULT: " + s.LogErr().Error()
	}
	return seen
}

func age(now, earlier time.Time) string {
	return max(now.Sub(earlier), 0).Round(10 * time.Millisecond).String()
}

func describeHealth(members []member.Member) string {
	var counts [member.HealthLeft + 1]int
	for _, m := range members {
		if int(m.Health()) < len(counts) {
			counts[m.Health()]++
		}
	}
	parts := make([]string, 0, len(counts))
	for h := member.HealthAlive; h <= member.HealthLeft; h++ {
		parts = append(parts, fmt.Sprintf("%d %s", counts[h], h))
	}
	return strings.Join(parts, ", ")
}

func describeCensus(now time.Time, c message.Census) string {
	parts := make([]string, 0, len(c.Counts())+1)
	for _, count := range c.Counts() {
		parts = append(parts, fmt.Sprintf("%d nodes at version %d", count.Nodes(), count.Version()))
	}
	for _, l := range c.Laggards() {
		parts = append(parts, fmt.Sprintf("%s behind at %d", l.Node().Peer(), l.Version()))
	}
	return strings.Join(parts, "; ") + " (" + age(now, c.TakenAt()) + " ago)"
}

func printMembers(out io.Writer, members []member.Member) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nPEER\tREGION\tFAILURE DOMAIN\tHEALTH\tSERVICE\tSERVER\tSLOTS")
	for _, m := range members {
		server := m.Server()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", m.Key().Peer(), m.Place().Region(), m.Place().FailureDomain(),
			m.Health(), server.Service(), server.State(), server.Slots())
	}
}
