package query

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bambooknot/bambooknot/command"
)

// Endings of requests, as far as they say whether a run was of use.
const (
	endingInTarget    = "in_target"
	endingLate        = "late"
	endingFailed      = "failed"       // the server responded with an error
	endingCallRefused = "call_refused" // the same, after a call that it made was refused
	endingUnknown     = "not_logged"
)

// requestEnd is how a request ended at the node of its caller.
type requestEnd struct {
	service string
	ending  string
}

// endsOf returns the ends of requests by ID.
func endsOf(lines []logLine) map[string]requestEnd {
	ends := make(map[string]requestEnd)
	callRefused := make(map[string]bool) // by ID of the request that made the call
	for _, l := range lines {
		if kind := l.text("kind"); kind != "request_answered" && kind != "request_given_up" {
			continue
		}
		id, loss := l.text("request"), l.text("loss")
		ends[id] = requestEnd{service: l.text("service"), ending: endingOf(loss)}
		if parent := rootOf(id); parent != id && strings.HasPrefix(loss, "refused_") {
			callRefused[parent] = true
		}
	}
	for id := range callRefused {
		if end := ends[id]; end.ending == endingFailed {
			end.ending = endingCallRefused
			ends[id] = end
		}
	}
	return ends
}

// endingOf returns the ending for a loss as the node logs it. Requests that were not answered keep the reason.
func endingOf(loss string) string {
	switch {
	case loss == "":
		return endingInTarget
	case loss == "server_failed":
		return endingFailed
	case strings.HasPrefix(loss, "late_"):
		return endingLate
	}
	return strings.TrimPrefix(loss, "lost_")
}

// rootOf returns the ID of the caller's request to which a call belongs.
func rootOf(id string) string {
	root, _, _ := strings.Cut(id, callSeparator)
	return root
}

// useKey identifies what slots were used for.
type useKey struct {
	span    time.Time
	service string
	ending  string
}

// use is what slots were used for.
type use struct {
	useKey
	runs int
	held time.Duration
}

// countUses returns the uses of slots by span, service and ending, the greatest of each service first.
func countUses(lines []logLine, every time.Duration) []use {
	ends := endsOf(lines)
	uses := make(map[useKey]*use)
	for _, l := range lines {
		held := l.duration("took") - l.duration("waited")
		if l.text("kind") != "server_result" || l.text("ending") == "not_run" {
			continue
		}
		id := l.text("request")
		key := useKey{service: ends[id].service, ending: cmp.Or(ends[rootOf(id)].ending, endingUnknown)}
		if every > 0 {
			key.span = l.time.Truncate(every)
		}
		if uses[key] == nil {
			uses[key] = &use{useKey: key}
		}
		uses[key].runs++
		uses[key].held += held
	}
	all := make([]use, 0, len(uses))
	for _, u := range uses {
		all = append(all, *u)
	}
	slices.SortFunc(all, func(a, b use) int {
		return cmp.Or(a.span.Compare(b.span), cmp.Compare(a.service, b.service), cmp.Compare(b.held, a.held), cmp.Compare(a.ending, b.ending))
	})
	return all
}

func writeUses(env command.Env, uses []use) error {
	if len(uses) == 0 {
		fmt.Fprintln(env.Out, "no run was logged")
		return nil
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tSERVICE\tENDING\tRUNS\tSLOT TIME\tSHARE\tCOULD")
	for len(uses) > 0 {
		first := uses[0]
		end := slices.IndexFunc(uses, func(u use) bool { return u.span != first.span || u.service != first.service })
		if end < 0 {
			end = len(uses)
		}
		writeService(w, uses[:end])
		uses = uses[end:]
	}
	return w.Flush()
}

// writeService writes the uses of the slots of one service in one span.
func writeService(w *tabwriter.Writer, uses []use) {
	var total, useful time.Duration
	answered := 0
	for _, u := range uses {
		total += u.held
		if u.ending == endingInTarget {
			answered, useful = u.runs, u.held
		}
	}
	for _, u := range uses {
		span, could := "-", ""
		if !u.span.IsZero() {
			span = u.span.UTC().Format("15:04:05.0")
		}
		if u.ending == endingInTarget && useful > 0 {
			could = fmt.Sprint(int(float64(answered) * float64(total) / float64(useful)))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1fs\t%s\t%s\n", span, cmp.Or(u.service, "(unknown)"), u.ending, u.runs, u.held.Seconds(), percent(math.Round(shareOf(u.held, total)*1000)/1000), could)
	}
}

func shareOf(part, total time.Duration) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
