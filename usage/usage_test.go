package usage

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// TestLoudestAreListed guards against a list or counters that grow with the number of organisations, that miss a loud one,
// or whose sum differs from the requests.
func TestLoudestAreListed(t *testing.T) {
	c, scope := New(), tally.NewTestScope("", nil)
	for round := range 3 {
		for i := range 200 {
			name := fmt.Sprint("o", i)
			for range 1 + (i+90*round)%200 {
				c.Begin(name)
				c.End(name, i%2 == 0, "full")
			}
		}
		for range 2000 * round {
			c.Begin("loud")
		}
		c.Publish(scope)
	}
	rows := c.List()
	qt.Assert(t, rows, qt.HasLen, Loudest+1)
	qt.Check(t, rows[0].Name, qt.Equals, "loud")
	qt.Check(t, rows[0].Waiting, qt.Equals, int64(6000))
	qt.Check(t, rows[Loudest].Organisations, qt.Equals, 201-Loudest)
	asked, ended, refused := int64(0), int64(0), int64(0)
	for _, r := range rows {
		asked += r.Asked
		ended += r.Answered + r.Refused["full"] + r.Waiting
		refused += r.Refused["full"]
	}
	qt.Check(t, ended, qt.Equals, asked)
	labels, counted := make(map[string]bool), int64(0)
	for _, counter := range scope.Snapshot().Counters() {
		labels[counter.Tags()["organisation"]] = true
		if counter.Tags()["ending"] == "full" {
			counted += counter.Value()
		}
	}
	qt.Check(t, len(labels) <= Loudest+1, qt.IsTrue)
	qt.Check(t, counted, qt.Equals, refused)
}

// TestNumberOfRowsIsBounded guards against memory that grows with the names of organisations over time.
func TestNumberOfRowsIsBounded(t *testing.T) {
	c := New()
	for i := range maxRows + 100 {
		c.Begin(fmt.Sprint(i))
	}
	qt.Check(t, len(c.rows) <= maxRows+1, qt.IsTrue)
	qt.Check(t, c.rows[""].Asked, qt.Equals, int64(100))
}
