package routing

import "github.com/bambooknot/bambooknot/member"

// Snapshot is what a request is handled by: one version of the routes, and one view of the fleet.
type Snapshot struct {
	table *Table
	view  *member.View
}

// NewSnapshot returns the pair.
func NewSnapshot(table *Table, view *member.View) *Snapshot {
	return &Snapshot{table: table, view: view}
}

// Table returns the routes.
func (s *Snapshot) Table() *Table { return s.table }

// View returns the members of the fleet.
func (s *Snapshot) View() *member.View { return s.view }
