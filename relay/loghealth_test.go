package relay

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// A push states the age of its log status as of sending. A node that passes the status on has to add the possible
// transit time, or else the status appears newer than it is.
func TestPushStatusAgeIncludesTransit(t *testing.T) {
	c := quicktest.New(t)
	m := newTestMachine(0, nil, Defaults())
	now := epoch.Add(time.Minute)
	m.logHealth.updateFromPush(now, message.NewLogStatus(3, time.Second, true))
	status := m.logStatus(now)
	c.Assert(status.Next(), quicktest.Equals, record.Offset(3))
	c.Assert(status.Age() >= time.Second+maxPushTransit, quicktest.IsTrue, quicktest.Commentf("age %s", status.Age()))
}
