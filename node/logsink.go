package node

import (
	"bytes"
	"io"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 1024
	// maxLineRate is the maximum number of lines per second. Further lines are dropped and counted. Writing a line takes
	// about 10 µs, so these lines use at most 0.4% of a core.
	maxLineRate = 400
	// maxRoutineLineRate is the maximum number of lines per second from routine writers, which log answered requests.
	maxRoutineLineRate = 200
)

// kindField is the text before the kind of a line. Lines without a kind are counted under unknownKind.
const (
	kindField   = `"kind":"`
	unknownKind = "unknown"
)

// LogSink writes log lines without ever blocking the goroutines that log. Lines above its rate, or that arrive while its
// queue is full because nothing reads the output, are dropped and counted.
type LogSink struct {
	lines         chan []byte
	done          chan struct{}
	budget        lineBudget
	routineBudget lineBudget
	refillTimer   *timer.Subscription
	wg            sync.WaitGroup

	mu      sync.Mutex
	dropped map[string]int64 // number of dropped lines by kind
}

// lineBudget is the number of lines that may still be written in the current second.
type lineBudget struct{ remaining atomic.Int64 }

// NewLogSink returns a sink that writes to w.
func NewLogSink(w io.Writer, clock *timer.Service) *LogSink {
	s := &LogSink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), dropped: make(map[string]int64)}
	s.refill()
	s.refillTimer = clock.Every(time.Second, func(time.Time) { s.refill() })
	s.wg.Go(func() {
		for {
			select {
			case line := <-s.lines:
				_, _ = w.Write(line) // a write error cannot be reported anywhere
			case <-s.done:
				s.drain(w)
				return
			}
		}
	})
	return s
}

func (s *LogSink) drain(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = w.Write(line) // a write error cannot be reported anywhere
		default:
			return
		}
	}
}

func (s *LogSink) refill() {
	s.budget.remaining.Store(maxLineRate)
	s.routineBudget.remaining.Store(maxRoutineLineRate)
}

// Write implements io.Writer. It always succeeds.
func (s *LogSink) Write(line []byte) (int, error) { return s.write(line, &s.budget) }

// RoutineWriter returns a writer for lines that are dropped first: it has a rate limit of its own, which is lower.
func (s *LogSink) RoutineWriter() io.Writer { return routineWriter{s} }

type routineWriter struct{ sink *LogSink }

func (w routineWriter) Write(line []byte) (int, error) {
	return w.sink.write(line, &w.sink.routineBudget)
}

func (s *LogSink) write(line []byte, budget *lineBudget) (int, error) {
	if budget.remaining.Add(-1) < 0 {
		s.drop(line)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.drop(line)
	}
	return len(line), nil
}

// drop counts a dropped line.
func (s *LogSink) drop(line []byte) {
	kind := unknownKind
	if _, after, found := bytes.Cut(line, []byte(kindField)); found {
		if name, _, complete := bytes.Cut(after, []byte(`"`)); complete {
			kind = string(name)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped[kind]++
}

// DroppedLines returns the number of lines dropped so far, by kind.
func (s *LogSink) DroppedLines() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.dropped)
}

// Close writes the queued lines and stops the sink.
func (s *LogSink) Close() {
	s.refillTimer.Close()
	close(s.done)
	s.wg.Wait()
}
