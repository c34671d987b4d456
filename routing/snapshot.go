package routing

import "github.com/bambooknot/bambooknot/member"

// Snapshot is the state that one request is handled with: a version of the routing table and a view of the fleet.
type Snapshot struct {
	table *Table
	view  *member.View
}

// NewSnapshot returns a snapshot of a table and a view.
func NewSnapshot(table *Table, view *member.View) *Snapshot {
	return &Snapshot{table: table, view: view}
}

// Table returns the routing table.
func (s *Snapshot) Table() *Table { return s.table }

// View returns the view of the fleet.
func (s *Snapshot) View() *member.View { return s.view }
