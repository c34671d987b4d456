package metric

import (
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/relay"
)

// Counters of the membership.
const (
	// FleetProbes counts probes that the node started in its region.
	FleetProbes = "fleet_probes"
	// FleetSuspicions counts members that the node suspected.
	FleetSuspicions = "fleet_suspicions"
	// FleetDeaths counts members that the node declared dead.
	FleetDeaths = "fleet_deaths"
	// FleetRefutations counts claims about the node itself that it refuted.
	FleetRefutations = "fleet_refutations"
	// FleetSyncs counts comparisons of views that the node started.
	FleetSyncs = "fleet_syncs"
	// FleetPauses counts times that the node found that it had been paused.
	FleetPauses = "fleet_pauses"
	// FleetRefused counts claims refused because the table was full or a name too long.
	FleetRefused = "fleet_claims_refused"
)

// Counters of the distribution.
const (
	// RelayUnequal counts digests and entries of peers that contradict what the node has folded.
	RelayUnequal = "relay_unequal"
	// RelayRefolded counts whole states taken over from a peer or a checkpoint.
	RelayRefolded = "relay_refolded"
	// RelayPushes counts pushes sent as log reader.
	RelayPushes = "relay_pushes"
	// RelayUnreachable counts parts of the tree of which no member answered a push.
	RelayUnreachable = "relay_unreachable"
	// RelayBusy counts whole states not sent because the rate was spent.
	RelayBusy = "relay_busy"
	// RelayMalformed counts whole states that could not be restored.
	RelayMalformed = "relay_malformed"
	// RelayCheckpoints counts checkpoints that the node wrote to the log.
	RelayCheckpoints = "relay_checkpoints"
	// RelayMismatched counts checkpoints in the log that contradict what the node has folded.
	RelayMismatched = "relay_mismatched"
)

// ControlCounters turns the running totals of the control core into counters. It is not safe for concurrent use.
type ControlCounters struct {
	scope tally.Scope
	fleet fleet.Counts
	relay relay.Counts
}

// NewControlCounters returns a Control whose counters are in scope.
func NewControlCounters(scope tally.Scope) *ControlCounters { return &ControlCounters{scope: scope} }

// Record raises the counters to the totals.
func (c *ControlCounters) Record(f fleet.Counts, r relay.Counts) {
	for _, total := range []struct {
		name string
		from int
		to   int
	}{
		{FleetProbes, c.fleet.Probes, f.Probes},
		{FleetSuspicions, c.fleet.Suspicions, f.Suspicions},
		{FleetDeaths, c.fleet.Deaths, f.Deaths},
		{FleetRefutations, c.fleet.Refutations, f.Refutations},
		{FleetSyncs, c.fleet.Syncs, f.Syncs},
		{FleetPauses, c.fleet.Pauses, f.Pauses},
		{FleetRefused, c.fleet.RefusedClaims, f.RefusedClaims},
		{RelayUnequal, c.relay.Unequal, r.Unequal},
		{RelayRefolded, c.relay.Refolded, r.Refolded},
		{RelayPushes, c.relay.Pushes, r.Pushes},
		{RelayUnreachable, c.relay.Unreachable, r.Unreachable},
		{RelayBusy, c.relay.Busy, r.Busy},
		{RelayMalformed, c.relay.Malformed, r.Malformed},
		{RelayCheckpoints, c.relay.Checkpoints, r.Checkpoints},
		{RelayMismatched, c.relay.Mismatched, r.Mismatched},
	} {
		c.scope.Counter(total.name).Inc(int64(total.to - total.from))
	}
	c.fleet, c.relay = f, r
}
