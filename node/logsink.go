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
	// sinkLines bounds the lines that wait to be written.
	sinkLines = 1024
	// sinkRate bounds the lines a second; the rest is counted. Writing a line takes some 10 µs, so this is at most
	// 0.4% of a core.
	sinkRate = 400
	// routineRate bounds those among them that only tell of answered requests.
	routineRate = 200
)

// kindField comes before the kind of a line, and unknownKind counts lines without one.
const (
	kindField   = `"kind":"`
	unknownKind = "unknown"
)

// LogSink writes log lines without ever blocking those who log: lines beyond its rate, or while nobody reads, are
// dropped and counted.
type LogSink struct {
	lines   chan []byte
	done    chan struct{}
	events  allowance
	routine allowance
	refill  *timer.Subscription
	wg      sync.WaitGroup

	mu      sync.Mutex
	dropped map[string]int64 // lines left out, by kind
}

// allowance is the number of lines that may still be written in this second.
type allowance struct{ left atomic.Int64 }

// NewLogSink returns a sink that writes to w.
func NewLogSink(w io.Writer, clock *timer.Service) *LogSink {
	s := &LogSink{lines: make(chan []byte, sinkLines), done: make(chan struct{}), dropped: make(map[string]int64)}
	s.renew()
	s.refill = clock.Every(time.Second, func(time.Time) { s.renew() })
	s.wg.Go(func() {
		for {
			select {
			case line := <-s.lines:
				_, _ = w.Write(line) // there is nowhere else to complain
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
			_, _ = w.Write(line) // there is nowhere else to complain
		default:
			return
		}
	}
}

func (s *LogSink) renew() {
	s.events.left.Store(sinkRate)
	s.routine.left.Store(routineRate)
}

// Write implements io.Writer. It always succeeds.
func (s *LogSink) Write(line []byte) (int, error) { return s.write(line, &s.events) }

// RoutineWriter returns a writer for lines that may be left out first.
func (s *LogSink) RoutineWriter() io.Writer { return routineWriter{s} }

type routineWriter struct{ sink *LogSink }

func (w routineWriter) Write(line []byte) (int, error) { return w.sink.write(line, &w.sink.routine) }

func (s *LogSink) write(line []byte, a *allowance) (int, error) {
	if a.left.Add(-1) < 0 {
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

// drop counts a line that is left out.
func (s *LogSink) drop(line []byte) {
	kind := unknownKind
	if _, after, found := bytes.Cut(line, []byte(kindField)); found {
		if name, _, whole := bytes.Cut(after, []byte(`"`)); whole {
			kind = string(name)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped[kind]++
}

// DroppedLines returns the numbers of lines left out so far, by their kind.
func (s *LogSink) DroppedLines() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.dropped)
}

// Close writes what waits and stops.
func (s *LogSink) Close() {
	s.refill.Close()
	close(s.done)
	s.wg.Wait()
}
