package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/routing"
)

// TestHeadersOfEarlierVersion guards a fleet in which old and new builds forward requests to each other. The texts are those
// that the version in production writes.
func TestHeadersOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	call := Call{requestID: "9c41 d0", service: "huvo11a", caller: "zise2a", kind: routing.KindSafe, priority: 2, timeLeft: 1500 * time.Millisecond, timeToTarget: -20 * time.Millisecond, nested: true}
	const earlierCall = "9c41+d0 huvo11a zise2a 1 -3 1500 -20"
	c.Check(encodeCall(call), qt.Equals, earlierCall)
	got, err := decodeCall(earlierCall)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, call)

	result := notRun(ReasonFull)
	result.retryAfter, result.load, result.queueTime = 120*time.Millisecond, balance.NewLoad(6, 3), 7*time.Millisecond
	const earlierResult = "9c41+d0 2 full 120 6 3 false 7 0"
	c.Check(encodeResult("9c41 d0", result), qt.Equals, earlierResult)
	decoded, err := decodeResult(earlierResult)
	c.Assert(err, qt.IsNil)
	c.Check(decoded, qt.Equals, result)

	stated := statement{limited: true, perSecond: 5.6, leaving: serverProcess{id: "i 1", started: 1788484548939}, age: 40 * time.Millisecond}
	const earlierStatement = "5.6 40 i+1 1788484548939"
	c.Check(encodeStatement(stated), qt.Equals, earlierStatement)
	c.Check(decodeStatement(earlierStatement), qt.Equals, stated)
}
