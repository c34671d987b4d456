package proxy

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/routing"
)

func TestCallHeaderRoundTrip(t *testing.T) {
	c := Call{
		requestID: "a b/%1", service: "orders & more", caller: "", kind: routing.KindSafe, priority: 3,
		timeLeft: 1200 * time.Millisecond, timeToTarget: -5 * time.Millisecond,
	}
	got, err := decodeCall(encodeCall(c))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, c)
	c.nested, c.priority = true, 0
	got, err = decodeCall(encodeCall(c))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, c)
	qt.Assert(t, strings.Count(encodeCall(c), " "), qt.Equals, 6, qt.Commentf("older nodes must understand calls without an organisation"))
	c.organisation = organisation{name: "a b:c", priority: 2}
	got, err = decodeCall(encodeCall(c))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, c)
	for _, line := range []string{"", "a", "a s c 1 1 2 3 0:x y", "a s c 1 1 2 3 x:y", "a s c 1 1 2 3 0:%z", "a s c x 1 2 3", "a s c 1 1 2", "a s c 1 1 2 3 4", "%zz s c 1 1 2 3"} {
		_, err := decodeCall(line)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", line))
	}
}

func TestResultHeaderRoundTrip(t *testing.T) {
	r := Result{outcome: OutcomeNotRun, reason: ReasonFull, retryAfter: 250 * time.Millisecond, load: balance.NewLoad(3, 4), reachedServer: true}
	got, err := decodeResult(encodeResult("a 1", r))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, r)
	for _, line := range []string{"", "a 1 full", "a x full 1 2 3 true", "a 1 full 1 2 3 maybe"} {
		_, err := decodeResult(line)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", line))
	}
}
