package query

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/command"
)

const traceLong = `Prints the log lines of several sidecars about one request, and about the calls that servers made for it, in order
of time: which server was chosen, its result, why the request was retried or given up. With --around, also prints changes that these nodes logged shortly before and
after: of routes, members, servers and the store. Text before the first brace of a line is ignored, so lines may carry the prefix of a log
collector. Without FILE, lines are read from standard input.

Exit codes: 0 found; 1 no line names the request, or a file could not be read; 2 bad arguments.`

type traceQuery struct {
	EventRange  time.Duration `long:"around" value-name:"TIME" description:"also print changes logged within this time before and after, such as 2s"`
	FailureTime string        `long:"at" value-name:"INSTANT" description:"when the request failed, such as 2026-01-02T03:04:05Z; changes logged around that time are printed if no line names the request"`
	Args        struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

func init() {
	command.Register("trace", "Print the log lines about a request", traceLong, func() command.Runner { return &traceQuery{} })
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// logLine is one line of a sidecar's log.
type logLine struct {
	time   time.Time
	node   string
	fields map[string]any
}

func (l logLine) text(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// duration returns a field that holds a number of milliseconds.
func (l logLine) duration(key string) time.Duration {
	ms, _ := l.fields[key].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

func (q *traceQuery) Run(env command.Env, _ []string) int {
	failureTime, err := q.parseFailureTime()
	if err != nil {
		return command.FailUsage(env, err)
	}
	lines, err := readLogs(q.Args.Files)
	if err != nil {
		return command.FailRequest(env, err)
	}
	selected := selectLines(lines, q.Args.Request, q.EventRange)
	if len(selected) == 0 {
		fmt.Fprintf(env.Err, "no line names the request %s\n", q.Args.Request)
		if !failureTime.IsZero() {
			// The request reached no node, or the node terminated before it could log the request.
			printLines(env, sortByTime(nodeEventsBetween(lines, failureTime.Add(-q.EventRange), failureTime.Add(q.EventRange))))
		}
		return command.ExitFailure
	}
	printLines(env, selected)
	return command.ExitOK
}

func printLines(env command.Env, lines []logLine) {
	for _, l := range lines {
		fmt.Fprintln(env.Out, formatLine(l, lines[0].time))
	}
}

// parseFailureTime returns the time given by --at, or the zero time.
func (q *traceQuery) parseFailureTime() (time.Time, error) {
	if q.FailureTime == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, q.FailureTime)
}

// readLogs reads the log lines of sidecars from files, or from standard input if there are none.
func readLogs(files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLines(os.Stdin)
	}
	var all []logLine
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := readLines(file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLines reads the log lines of sidecars and skips all other lines.
func readLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parseLine(data []byte) (logLine, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	if err := json.Unmarshal(data[start:], &l.fields); err != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.text("time"))
	l.time, l.node = at, l.text("vm")
	return l, err == nil
}

// callSeparator separates the ID of a request from the suffix that identifies a call made for it.
const callSeparator = "."

// selectLines returns the lines that name a request or a call made for it, and the node events from around before the
// first to around after the last of these lines, sorted by time.
func selectLines(lines []logLine, request string, around time.Duration) []logLine {
	var selected []logLine
	var first, last time.Time
	for _, l := range lines {
		if id := l.text("request"); id != request && !strings.HasPrefix(id, request+callSeparator) {
			continue
		}
		if first.IsZero() || l.time.Before(first) {
			first = l.time
		}
		if l.time.After(last) {
			last = l.time
		}
		selected = append(selected, l)
	}
	if around > 0 && len(selected) > 0 {
		selected = append(selected, nodeEventsBetween(lines, first.Add(-around), last.Add(around))...)
	}
	return sortByTime(selected)
}

// nodeEventsBetween returns the lines within a time range that belong to no request, such as changes of routes.
func nodeEventsBetween(lines []logLine, from, to time.Time) []logLine {
	var events []logLine
	for _, l := range lines {
		if l.text("request") == "" && !l.time.Before(from) && !l.time.After(to) {
			events = append(events, l)
		}
	}
	return events
}

func sortByTime(lines []logLine) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	return lines
}

// fixedFields are the fields that formatLine does not print as key=value: it prints them at a fixed position, or not at all.
var fixedFields = []string{"time", "vm", "message", "level", "request"}

func formatLine(l logLine, origin time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+.3fs %s: %s", l.time.Sub(origin).Seconds(), l.node, l.text("message"))
	keys := make([]string, 0, len(l.fields))
	for key := range l.fields {
		if !slices.Contains(fixedFields, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%v", key, l.fields[key])
	}
	return b.String()
}
