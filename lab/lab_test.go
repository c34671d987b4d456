package lab_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/lab"
)

var load = lab.Load{
	{Priority: 0, Share: 0.4, RunTime: 100 * time.Millisecond, Target: 300 * time.Millisecond, Deadline: time.Second},
	{Priority: 1, Share: 0.6, RunTime: 200 * time.Millisecond, Target: 300 * time.Millisecond, Deadline: time.Second},
}

// run plays a server that runs every request at once, and is ten times slower from one second on.
func run(seed uint64) *lab.Tally {
	w, server, tally := lab.NewWorld(time.Unix(1000, 0), seed), lab.NewServer(4, 1), lab.NewTally(load)
	server.AddSpell(w.Now().Add(time.Second), w.Now().Add(2*time.Second), 10)
	w.Arrive(100, 2*time.Second, func() {
		class, start := load.Draw(w.Rand()), w.Now()
		tally.Request(class)
		if server.Sheds(w.Rand()) {
			return
		}
		w.After(server.RunTime(w.Rand(), start, load[class]), func() { tally.Answer(class, w.Now().Sub(start)) })
	})
	w.Run()
	return tally
}

func TestSameSeedSameResult(t *testing.T) {
	c := qt.New(t)
	a, b := run(1), run(1)
	c.Assert(a.AllInTime(), qt.Equals, b.AllInTime())
	c.Assert(a.InTime(1), qt.Equals, b.InTime(1))
	c.Assert(a.AllInTime() > 0.4 && a.AllInTime() < 0.6, qt.IsTrue, qt.Commentf("%.3f in time", a.AllInTime()))
	c.Assert(a.AllAnswered() > a.AllInTime(), qt.IsTrue, qt.Commentf("%.3f answered", a.AllAnswered()))
}

func TestCapacityCountsSlotsAndSpeeds(t *testing.T) {
	servers := []*lab.Server{lab.NewServer(4, 1), lab.NewServer(8, 2)}
	qt.Assert(t, load.Capacity(servers), qt.Equals, 2*4/0.16)
}
