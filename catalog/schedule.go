package catalog

import (
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// Periods after which the log needs a new checkpoint. Both have to lie far below what the log retains.
const (
	CheckpointEntries = 256
	CheckpointPeriod  = time.Hour
)

// Schedule tells a writer of checkpoints when the next one is due: once the entries since the last one, or its
// age, pass a bound. It only saves entries: two writers that both act on it do no harm.
type Schedule struct {
	entries record.Offset
	period  time.Duration
	covered record.Offset
	at      time.Time
}

// NewSchedule returns a Schedule that counts from now on and from a head.
func NewSchedule(now time.Time, head record.Offset) *Schedule {
	return &Schedule{entries: CheckpointEntries, period: CheckpointPeriod, covered: head, at: now}
}

// Note takes the result of an entry that was folded at a time.
func (s *Schedule) Note(now time.Time, r Result) {
	covered, ok := r.Covered()
	if ok && covered >= s.covered {
		s.covered, s.at = covered, now
	}
}

// Due tells whether a state at head should be written as a checkpoint now.
func (s *Schedule) Due(now time.Time, head record.Offset) bool {
	if head == 0 {
		return false
	}
	return head >= s.covered+s.entries || now.Sub(s.at) >= s.period
}
