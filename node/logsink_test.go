package node_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/node"
	"github.com/bambooknot/bambooknot/timer"
)

// blockedWriter blocks until released, like a full pipe.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	data     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.data.Write(p)
}

// TestLogSinkNeverBlocks writes more lines than the queue holds while the output is blocked: writes must not block, and
// dropped lines must be counted.
func TestLogSinkNeverBlocks(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	w := &blockedWriter{released: make(chan struct{})}
	sink := node.NewLogSink(w, clock.Service())
	for second := range 5 {
		for i := range 500 {
			n, err := fmt.Fprintf(sink, "line %d of second %d\n", i, second)
			c.Assert(err, qt.IsNil)
			c.Assert(n > 0, qt.IsTrue)
		}
		clock.Advance(time.Second)
	}
	close(w.released)
	sink.Close()
	dropped := sink.DroppedLines()["unknown"]
	written := bytes.Count(w.data.Bytes(), []byte("\n"))
	c.Assert(written+int(dropped), qt.Equals, 2500)
	c.Assert(dropped >= 1400, qt.IsTrue, qt.Commentf("%d lines dropped", dropped))
}

// TestRoutineLinesAreDroppedFirst checks that lines of answered requests do not use up the rate limit of other lines.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	sink := node.NewLogSink(&out, timer.NewManual(time.Unix(1000, 0)).Service())
	for range 1000 {
		fmt.Fprintln(sink.RoutineWriter(), `{"kind":"request_answered"}`)
	}
	for range 300 {
		fmt.Fprintln(sink, `{"kind":"request_given_up"}`)
	}
	sink.Close()
	c.Assert(sink.DroppedLines(), qt.DeepEquals, map[string]int64{"request_answered": 800})
	c.Assert(bytes.Count(out.Bytes(), []byte("request_given_up")), qt.Equals, 300)
}
