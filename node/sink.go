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
)

// Sink writes log lines without ever blocking those who log: lines beyond its rate, or while nobody reads, are
// dropped and counted.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	left    atomic.Int64 // lines that may still be written in this second
	refill  *timer.Subscription
	wg      sync.WaitGroup
}

// NewSink returns a sink that writes to w.
func NewSink(w io.Writer, clock *timer.Service) *Sink {
	s := &Sink{lines: make(chan []byte, sinkLines), done: make(chan struct{})}
	s.left.Store(sinkRate)
	s.refill = clock.Every(time.Second, func(time.Time) { s.left.Store(sinkRate) })
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

// Write implements io.Writer. It always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	if s.left.Add(-1) < 0 {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines left out so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits and stops.
func (s *Sink) Close() {
	s.refill.Close()
	close(s.done)
	s.wg.Wait()
}
