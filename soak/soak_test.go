package main

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/rig"
)

// TestShortSoak plays two fixed seeds, one of planned work only.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	qt.Assert(t, rig.Build("..", bin), qt.IsNil)
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprint("planned ", planned), func(t *testing.T) {
			o := options{Bin: bin, Nodes: 4, Callers: 2, For: 6 * time.Second, Calm: 8 * time.Second, Planned: planned, Keep: t.TempDir()}
			failures, summary, err := play(o, 1)
			qt.Assert(t, err, qt.IsNil)
			t.Log(summary)
			for _, f := range failures {
				t.Error(f)
			}
		})
	}
}

func TestRegressionsAreReadable(t *testing.T) {
	all, err := regressions("regressions.txt", options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(all) >= 3, qt.IsTrue)
	for _, o := range all {
		qt.Check(t, o.Seed > 0 && o.Nodes > 0 && o.For > 0, qt.IsTrue)
	}
}
