package query

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/bambooknot/bambooknot/command"
)

const boundLong = `Compares, from the logs of sidecars, the requests that were answered within their targets with the most that whole knowledge of
arrivals and servers could have served in each span: no slot idle while a request waits, no slot time for a request that fails, and the
requests of most worth for their slot time first. The slot time of a request is the mean over those of its route that were answered in
the span, with the calls that servers made for it, so slow servers count as slow. --worth sets the worth of a request of a route; the
default is 1. Without FILE, lines are read from standard input.

ASKED is the worth of the requests that ended in the span, SERVED that of those in target, BOUND the most. The bound errs upwards: it
spreads load over all regions at no cost, takes run times of answered requests for those of all, and lets each request start at once. It
errs downwards where callers that were refused came back, as each attempt counts as asked.

Exit codes: 0 compared; 1 a file could not be read; 2 bad arguments.`

type boundQuery struct {
	Every   time.Duration `long:"every" value-name:"TIME" default:"2s" description:"length of a span"`
	Slots   int           `long:"slots" value-name:"N" default:"0" description:"slots of a server whose log lines do not state them"`
	Weights []string      `long:"worth" value-name:"ROUTE=WORTH" description:"worth of a request of a route; may be repeated"`
	Args    struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

func init() {
	command.Register("bound", "Compare what was served with what could have been", boundLong, func() command.Runner { return &boundQuery{} })
}

func (q *boundQuery) Run(env command.Env, _ []string) int {
	weights, err := parseWeights(q.Weights)
	if err != nil {
		return command.FailUsage(env, err)
	}
	if q.Every <= 0 || q.Slots < 0 {
		return command.FailUsage(env, fmt.Errorf("--every %v, --slots %d: must be positive, and not negative", q.Every, q.Slots))
	}
	lines, err := readLogs(q.Args.Files)
	if err != nil {
		return command.FailRequest(env, err)
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tASKED\tSERVED\tSHARE\tBOUND\tSHARE")
	for _, s := range boundSpans(lines, q.Every, q.Slots, weights) {
		asked, served, bound := s.totals()
		if asked > 0 {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.3f\t%.0f\t%.3f\n", s.start.UTC().Format("15:04:05.0"), asked, served, served/asked, bound, bound/asked)
		}
	}
	if err := w.Flush(); err != nil {
		return command.FailRequest(env, err)
	}
	return command.ExitOK
}

// boundSpan is what was asked for and what servers could do in a span of time.
type boundSpan struct {
	start    time.Time
	routes   map[string]*routeDemand
	capacity map[string]time.Duration // slot time by service
}

// routeDemand counts the requests of callers to one route.
type routeDemand struct {
	worth    float64 // of a request
	asked    int
	inTarget int
	answered int
	held     map[string]time.Duration // slot time of the answered requests by service, with the calls made for them
}

// boundSpans returns the spans in which requests ended, in order.
func boundSpans(lines []logLine, every time.Duration, slots int, weights map[string]float64) []*boundSpan {
	spans := make(map[time.Time]*boundSpan)
	at := func(t time.Time) *boundSpan {
		start := t.Truncate(every)
		if spans[start] == nil {
			spans[start] = &boundSpan{start: start, routes: make(map[string]*routeDemand), capacity: make(map[string]time.Duration)}
		}
		return spans[start]
	}
	ends := addDemand(lines, weights, at)
	addHeld(lines, ends)
	addCapacity(lines, every, slots, spans)
	var all []*boundSpan
	for _, s := range spans {
		if len(s.routes) > 0 {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *boundSpan) int { return a.start.Compare(b.start) })
	return all
}

// addDemand counts the requests of callers and returns the demand that each answered one belongs to, by ID.
func addDemand(lines []logLine, weights map[string]float64, at func(time.Time) *boundSpan) map[string]*routeDemand {
	ends := make(map[string]*routeDemand)
	for _, l := range lines {
		id, answered := l.text("request"), l.text("kind") == "request_answered"
		if rootOf(id) != id || !answered && l.text("kind") != "request_given_up" {
			continue
		}
		s, route := at(l.time), l.text("route")
		d := s.routes[route]
		if d == nil {
			d = &routeDemand{worth: 1, held: make(map[string]time.Duration)}
			if weight, ok := weights[route]; ok {
				d.worth = weight
			}
			s.routes[route] = d
		}
		d.asked++
		if answered && l.text("loss") != "server_failed" {
			d.answered++
			ends[id] = d
		}
		if answered && l.text("loss") == "" {
			d.inTarget++
		}
	}
	return ends
}

// addHeld adds the time for which answered requests, and calls made for them, held slots.
func addHeld(lines []logLine, ends map[string]*routeDemand) {
	services := make(map[string]string) // by node
	for _, l := range lines {
		switch l.text("kind") {
		case "server_changed":
			services[l.node] = l.text("service")
		case "server_result":
			if d := ends[rootOf(l.text("request"))]; d != nil && l.text("ending") == "answered" {
				d.held[services[l.node]] += l.duration("took") - l.duration("waited")
			}
		}
	}
}

// addCapacity adds the slot time of the servers that were ready.
func addCapacity(lines []logLine, every time.Duration, slots int, spans map[time.Time]*boundSpan) {
	type server struct {
		service string
		slots   int
		ready   bool
	}
	servers, last := make(map[string]server), make(map[string]time.Time)
	credit := func(node string, until time.Time) {
		s := servers[node]
		for from := last[node]; s.ready && from.Before(until); {
			end := from.Truncate(every).Add(every)
			if until.Before(end) {
				end = until
			}
			if span := spans[from.Truncate(every)]; span != nil {
				span.capacity[s.service] += time.Duration(s.slots) * end.Sub(from)
			}
			from = end
		}
		last[node] = until
	}
	var end time.Time
	for _, l := range lines {
		switch l.text("kind") {
		case "started": // the process before may have ended at any time since its last line
			servers[l.node], last[l.node] = server{}, l.time
		case "server_changed":
			credit(l.node, l.time)
			count, _ := l.fields["slots"].(float64)
			servers[l.node] = server{service: l.text("service"), slots: cmp.Or(int(count), slots), ready: l.text("state") == "ready"}
		case "server_result":
			credit(l.node, l.time)
		}
		if l.time.After(end) {
			end = l.time
		}
	}
	for node := range servers {
		credit(node, end)
	}
}

// totals returns the worth of what was asked for, of what was served in target, and the most that could have been.
func (s *boundSpan) totals() (asked, served, bound float64) {
	type choice struct {
		d    *routeDemand
		rate float64 // worth for the share of all slot time that a request takes
	}
	var choices []choice
	for _, d := range s.routes {
		asked += d.worth * float64(d.asked)
		served += d.worth * float64(d.inTarget)
		if d.answered == 0 {
			continue
		}
		share := 0.0
		for service, held := range d.held {
			share += shareOf(held, s.capacity[service]) / float64(d.answered)
		}
		choices = append(choices, choice{d: d, rate: d.worth / max(share, 1e-12)})
	}
	slices.SortFunc(choices, func(a, b choice) int { return cmp.Compare(b.rate, a.rate) })
	left := make(map[string]float64)
	for service, capacity := range s.capacity {
		left[service] = capacity.Seconds()
	}
	for _, c := range choices {
		n := float64(c.d.asked)
		for service, held := range c.d.held {
			if each := held.Seconds() / float64(c.d.answered); each > 0 {
				n = min(n, max(left[service], 0)/each)
			}
		}
		for service, held := range c.d.held {
			left[service] -= n * held.Seconds() / float64(c.d.answered)
		}
		bound += c.d.worth * n
	}
	return asked, served, max(bound, served)
}
