package rollout

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

// Verdict is what the counts say about the target version.
type Verdict uint8

// Verdicts.
const (
	VerdictUndecided Verdict = iota
	VerdictGood
	VerdictBad
)

// String returns the word that status output uses.
func (v Verdict) String() string {
	names := [...]string{"undecided", "good", "bad"}
	return names[min(int(v), len(names)-1)]
}

// Judge compares the target version with the base version by the counts of all nodes, per route and in total. It is not
// safe for concurrent use.
type Judge struct{}

// NewJudge returns a judge without counts.
func NewJudge() *Judge { return &Judge{} }

// Observe adds the totals of a reporter.
func (j *Judge) Observe(now time.Time, reporter member.Key, c Counts) {
	panic("rollout: not built yet")
}

// Verdict returns the verdict at a time and its reason.
func (j *Judge) Verdict(now time.Time) (Verdict, string) { panic("rollout: not built yet") }

// Guard stops the target version at one node that itself sees it fail clearly more often than the base version. It is not
// safe for concurrent use.
type Guard struct{}

// NewGuard returns a guard that has seen nothing.
func NewGuard() *Guard { return &Guard{} }

// Observe takes in the node's own counts of a service. It returns whether the guard stopped the target version now.
func (g *Guard) Observe(now time.Time, c Counts) bool { panic("rollout: not built yet") }

// Stopped reports whether the target version of a service is stopped for the order that was counted last.
func (g *Guard) Stopped(service string) bool { panic("rollout: not built yet") }

// Forget drops what is known about a service, once its roll-out has ended.
func (g *Guard) Forget(service string) { panic("rollout: not built yet") }
