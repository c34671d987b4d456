package routing

import (
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/rollout"
)

// Snapshot is the state that one request is handled with: a version of the routing table, a view of the fleet and the plans
// of roll-outs.
type Snapshot struct {
	table *Table
	view  *member.View
	plans *rollout.Plans
}

// NewSnapshot returns a snapshot of a table and a view, without plans.
func NewSnapshot(table *Table, view *member.View) *Snapshot {
	return &Snapshot{table: table, view: view}
}

// WithPlans returns a copy of the snapshot with the plans of roll-outs.
func (s *Snapshot) WithPlans(plans *rollout.Plans) *Snapshot {
	copied := *s
	copied.plans = plans
	return &copied
}

// Table returns the routing table.
func (s *Snapshot) Table() *Table { return s.table }

// View returns the view of the fleet.
func (s *Snapshot) View() *member.View { return s.view }

// Plans returns the plans of roll-outs, or nil if versions of servers are ignored.
func (s *Snapshot) Plans() *rollout.Plans { return s.plans }
