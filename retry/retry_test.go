package retry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/retry"
)

func TestRetriesAreLimitedToShareOfFirstAttempts(t *testing.T) {
	c := qt.New(t)
	b := retry.New(retry.Settings{Share: 0.25, Reserve: 5})
	retries := 0
	for range 1000 { // every call fails and wants two retries
		b.RecordFirstAttempt()
		for range 2 {
			if b.AllowRetry() {
				retries++
			}
		}
	}
	c.Assert(retries, qt.Equals, 5+1000/4-1)
	for range 1000 {
		b.RecordFirstAttempt()
	}
	c.Assert(b.Tokens(), qt.Equals, 5.0)
}
