package message

import (
	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/member"
)

// Snapshot is the state that the control loop publishes for request handling: one configuration and one view of the
// fleet. A request uses the Snapshot that was current on its arrival and no other.
type Snapshot struct {
	config *catalog.Snapshot
	view   *member.View
}

// NewSnapshot returns the snapshot of a configuration and a view.
func NewSnapshot(config *catalog.Snapshot, view *member.View) *Snapshot {
	return &Snapshot{config: config, view: view}
}

// Config returns the configuration in force.
func (s *Snapshot) Config() *catalog.Snapshot { return s.config }

// View returns the members of the fleet.
func (s *Snapshot) View() *member.View { return s.view }
