package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/routing"
	"github.com/bambooknot/bambooknot/timer"
)

// TestResponsesThatExceedTheLinkAreRefusedAtOnce offers a server twice the responses of 90 kB that its link of 17 Mbit/s
// carries. It guards against running requests whose responses leave after their target, against a link that is left idle,
// and against small responses that are refused or delayed with the large ones.
//
// Requests that run for less time than their responses take on the link once took no notice of what waits for the link.
func TestResponsesThatExceedTheLinkAreRefusedAtOnce(t *testing.T) {
	for _, run := range []time.Duration{5 * time.Millisecond, 110 * time.Millisecond} {
		t.Run(run.String(), func(t *testing.T) { checkEgress(t, run) })
	}
}

func checkEgress(t *testing.T, run time.Duration) {
	const linkBytes, size, target, span = 17e6 / 8, 90_000, 600 * time.Millisecond, 20 * time.Second
	now := time.Unix(1000, 0)
	start, rnd := now, rand.New(rand.NewPCG(1, 1))
	p := newEgressPacer(timer.NewWithClock(func() time.Time { return now }), linkBytes)
	download := Call{kind: routing.KindSafe, priority: 2, timeLeft: 3 * time.Second, timeToTarget: target}
	small := Call{kind: routing.KindSafe, priority: 1, timeLeft: 500 * time.Millisecond, timeToTarget: 150 * time.Millisecond}
	p.schedule(small, 1500)
	p.schedule(download, 1e6) // the first response is larger, so that the average has to adapt

	type running struct {
		endsAt, latest time.Time
		reserved       float64
	}
	var admitted []running
	sent, late, refused := 0, 0, 0
	for next := now; now.Before(start.Add(span)); now = now.Add(time.Millisecond) {
		for len(admitted) > 0 && !now.Before(admitted[0].endsAt) {
			p.release(admitted[0].reserved)
			if leaves := now.Add(p.schedule(download, size)); leaves.After(admitted[0].latest) {
				late++
			}
			sent++
			admitted = admitted[1:]
		}
		qt.Check(t, p.schedule(small, 1500), qt.Equals, time.Duration(0))
		_, _, ok := p.admit(small, now)
		qt.Assert(t, ok, qt.IsTrue)
		for !now.Before(next) {
			next = next.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second) * size / (2 * linkBytes)))
			latest := latestResponse(now, download)
			if reserved, wait, ok := p.admit(download, latest); ok {
				admitted = append(admitted, running{now.Add(run), latest, reserved})
			} else {
				refused++
				qt.Check(t, wait > 0, qt.IsTrue)
			}
		}
	}
	usable := linkBytes * egressShare * span.Seconds() / size
	qt.Check(t, float64(sent) >= 0.95*usable && float64(sent) <= usable+10, qt.IsTrue, qt.Commentf("%d sent, %.0f fit on the link", sent, usable))
	qt.Check(t, float64(late) <= 0.01*float64(sent), qt.IsTrue, qt.Commentf("%d of %d left too late", late, sent))
	qt.Check(t, refused > sent, qt.IsTrue)
}

// TestLinkWithoutLimitRefusesNothing guards against refusals on VMs whose settings state no capacity of the link.
func TestLinkWithoutLimitRefusesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newEgressPacer(timer.NewWithClock(func() time.Time { return now }), 0)
	for range 1000 {
		_, _, ok := p.admit(Call{}, now)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, p.schedule(Call{}, 1e9), qt.Equals, time.Duration(0))
	}
}
