package main

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/rig"
)

// TestShortSoak runs a fixed seed twice, once with planned work only and once with faults.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	qt.Assert(t, rig.Build("..", bin), qt.IsNil)
	for _, plannedOnly := range []bool{true, false} {
		t.Run(fmt.Sprint("planned only ", plannedOnly), func(t *testing.T) {
			o := options{BinDir: bin, Nodes: 4, Callers: 2, FaultPhase: 6 * time.Second, CalmPhase: 8 * time.Second, PlannedOnly: plannedOnly, FailureDir: t.TempDir()}
			failures, summary, err := runSeed(o, 1)
			qt.Assert(t, err, qt.IsNil)
			t.Log(summary)
			for _, f := range failures {
				t.Error(f)
			}
		})
	}
}

func TestReadRegressions(t *testing.T) {
	all, err := readRegressions("regressions.txt", options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(all) >= 3, qt.IsTrue)
	for _, o := range all {
		qt.Check(t, o.Seed > 0 && o.Nodes > 0 && o.FaultPhase > 0, qt.IsTrue)
	}
}
