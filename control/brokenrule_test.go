package control

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/relay"
)

// maxBrokenSchedules is the number of schedules within which a broken rule must violate an invariant.
const maxBrokenSchedules = 300

// TestInvariantsDetectBrokenRules verifies that the invariants detect each broken rule.
func TestInvariantsDetectBrokenRules(t *testing.T) {
	tests := []struct {
		name      string
		breakRule func(c *Core)
		want      string
		stepNames []string // names of the steps of the schedules; nil for all
	}{
		{"whole state replaces newer one", func(c *Core) {
			r := relay.DefaultRules()
			r.ReplacesState = func(held, offered message.Digest) bool { return offered.Head() != held.Head() }
			r.SendsState = func(requested, held uint64, _ bool) bool { return requested != held }
			c.relay.SetRules(r)
		}, "fell", nil},
		{"node joins before it knows the end of the log", func(c *Core) {
			r := relay.DefaultRules()
			r.ReachedLogEnd = func(bool, uint64, uint64, time.Duration, time.Duration) bool { return true }
			c.relay.SetRules(r)
		}, "serves from head", nil},
		{"node joins from peers while the log is up", func(c *Core) {
			r := relay.DefaultRules()
			r.ServesUnconfirmed = func(bool, bool) bool { return true }
			c.relay.SetRules(r)
		}, "joined without the log", nil},
		{"no node pulls", func(c *Core) {
			r := relay.DefaultRules()
			r.PullsWhenBehind = func() bool { return false }
			c.relay.SetRules(r)
		}, "not equal within the bound", nil},
		{"any append error means not appended", func(c *Core) {
			c.notApplied = func(error) bool { return true }
		}, "is said not to be appended", []string{"ack-loss", "isolate", "publish"}},
		{"an acknowledged append counts as accepted", func(c *Core) {
			c.publisher.findOutcome = func(pub *pendingPublish, _ record.Offset, outcome func(record.PublishID) (record.Outcome, bool)) (record.Outcome, bool) {
				if pub.acked {
					return record.Accepted(pub.id, record.Version(pub.offset+1)), true
				}
				return outcome(pub.id)
			}
		}, "receipt of", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, firstViolation(t, test.breakRule, test.stepNames), quicktest.Contains, test.want)
		})
	}
}

// firstViolation runs schedules until one violates an invariant, and returns the violation.
func firstViolation(t *testing.T, breakRule func(*Core), stepNames []string) string {
	violation := ""
	for seed := range maxBrokenSchedules {
		gen := rapid.Custom(func(t *rapid.T) string {
			violation, _ := runSchedule(t, 11, breakRule, stepNames)
			return violation
		})
		violation = gen.Example(seed)
		if violation != "" {
			t.Log(strings.SplitN(violation, "\n", 2)[0])
			return violation
		}
	}
	return violation
}
