package node

import (
	"io"
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

// Sink writes log lines without ever blocking those who log: lines beyond its rate, or while nobody reads, are
// dropped and counted.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	events  allowance
	routine allowance
	refill  *timer.Subscription
	wg      sync.WaitGroup
}

// allowance is the number of lines of a kind that may still be written in this second.
type allowance struct {
	left    atomic.Int64
	dropped atomic.Int64
}

// NewSink returns a sink that writes to w.
func NewSink(w io.Writer, clock *timer.Service) *Sink {
	s := &Sink{lines: make(chan []byte, sinkLines), done: make(chan struct{})}
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

func (s *Sink) drain(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = w.Write(line) // there is nowhere else to complain
		default:
			return
		}
	}
}

func (s *Sink) renew() {
	s.events.left.Store(sinkRate)
	s.routine.left.Store(routineRate)
}

// Write implements io.Writer. It always succeeds.
func (s *Sink) Write(line []byte) (int, error) { return s.write(line, &s.events) }

// Routine returns a writer for lines that may be left out first.
func (s *Sink) Routine() io.Writer { return routineWriter{s} }

type routineWriter struct{ sink *Sink }

func (w routineWriter) Write(line []byte) (int, error) { return w.sink.write(line, &w.sink.routine) }

func (s *Sink) write(line []byte, a *allowance) (int, error) {
	if a.left.Add(-1) < 0 {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the numbers of lines left out so far: those of events, and routine ones.
func (s *Sink) Dropped() (events, routine int64) {
	return s.events.dropped.Load(), s.routine.dropped.Load()
}

// Close writes what waits and stops.
func (s *Sink) Close() {
	s.refill.Close()
	close(s.done)
	s.wg.Wait()
}
