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

// Control turns the running totals of the control core into counters. It is not safe for concurrent use.
type Control struct {
	scope tally.Scope
	fleet fleet.Counts
	relay relay.Counts
}

// NewControl returns a Control whose counters are in scope.
func NewControl(scope tally.Scope) *Control { return &Control{scope: scope} }

// Record raises the counters to the totals.
func (c *Control) Record(f fleet.Counts, r relay.Counts) {
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
		{RelayUnequal, c.relay.Conflicts, r.Conflicts},
		{RelayRefolded, c.relay.StatesInstalled, r.StatesInstalled},
		{RelayPushes, c.relay.Pushes, r.Pushes},
		{RelayUnreachable, c.relay.UnreachableSpans, r.UnreachableSpans},
		{RelayBusy, c.relay.TransfersThrottled, r.TransfersThrottled},
		{RelayMalformed, c.relay.InvalidStates, r.InvalidStates},
		{RelayCheckpoints, c.relay.Checkpoints, r.Checkpoints},
		{RelayMismatched, c.relay.CheckpointMismatches, r.CheckpointMismatches},
	} {
		c.scope.Counter(total.name).Inc(int64(total.to - total.from))
	}
	c.fleet, c.relay = f, r
}
