package metric

import (
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/relay"
)

// Counters of the membership protocol.
const (
	// FleetProbes counts probes that the node sent in its region.
	FleetProbes = "fleet_probes"
	// FleetSuspicions counts members that the node suspected.
	FleetSuspicions = "fleet_suspicions"
	// FleetDeaths counts members that the node declared dead.
	FleetDeaths = "fleet_deaths"
	// FleetRefutations counts claims about the node itself that it refuted.
	FleetRefutations = "fleet_refutations"
	// FleetSyncs counts anti-entropy exchanges of membership views that the node started.
	FleetSyncs = "fleet_syncs"
	// FleetPauses counts detected pauses of the node's own process.
	FleetPauses = "fleet_pauses"
	// FleetRefused counts claims rejected because the member table was full or a name was too long.
	FleetRefused = "fleet_claims_refused"
)

// Counters of the distribution of the configuration.
const (
	// RelayUnequal counts digests, entries and states that contradict the state that the node has applied.
	RelayUnequal = "relay_unequal"
	// RelayRefolded counts complete states installed from a peer or a checkpoint.
	RelayRefolded = "relay_refolded"
	// RelayPushes counts pushes that the node originated as log reader.
	RelayPushes = "relay_pushes"
	// RelayUnreachable counts subtrees of the fan-out tree in which no member answered a push.
	RelayUnreachable = "relay_unreachable"
	// RelayBusy counts complete states not sent because of the rate limit.
	RelayBusy = "relay_busy"
	// RelayMalformed counts complete states that could not be restored.
	RelayMalformed = "relay_malformed"
	// RelayCheckpoints counts checkpoints that the node wrote to the log.
	RelayCheckpoints = "relay_checkpoints"
	// RelayMismatched counts checkpoints in the log that contradict the state that the node has applied.
	RelayMismatched = "relay_mismatched"
)

// ControlCounters exports the cumulative counts of the control core as counters. It is not safe for concurrent use.
type ControlCounters struct {
	scope     tally.Scope
	lastFleet fleet.Counts
	lastRelay relay.Counts
}

// NewControlCounters returns ControlCounters whose counters are in scope.
func NewControlCounters(scope tally.Scope) *ControlCounters { return &ControlCounters{scope: scope} }

// Record raises the counters to the given totals.
func (c *ControlCounters) Record(f fleet.Counts, r relay.Counts) {
	for _, total := range []struct {
		name     string
		previous int
		current  int
	}{
		{FleetProbes, c.lastFleet.Probes, f.Probes},
		{FleetSuspicions, c.lastFleet.Suspicions, f.Suspicions},
		{FleetDeaths, c.lastFleet.Deaths, f.Deaths},
		{FleetRefutations, c.lastFleet.Refutations, f.Refutations},
		{FleetSyncs, c.lastFleet.Syncs, f.Syncs},
		{FleetPauses, c.lastFleet.Pauses, f.Pauses},
		{FleetRefused, c.lastFleet.RefusedClaims, f.RefusedClaims},
		{RelayUnequal, c.lastRelay.Conflicts, r.Conflicts},
		{RelayRefolded, c.lastRelay.StatesInstalled, r.StatesInstalled},
		{RelayPushes, c.lastRelay.Pushes, r.Pushes},
		{RelayUnreachable, c.lastRelay.UnreachableSpans, r.UnreachableSpans},
		{RelayBusy, c.lastRelay.TransfersThrottled, r.TransfersThrottled},
		{RelayMalformed, c.lastRelay.InvalidStates, r.InvalidStates},
		{RelayCheckpoints, c.lastRelay.Checkpoints, r.Checkpoints},
		{RelayMismatched, c.lastRelay.CheckpointMismatches, r.CheckpointMismatches},
	} {
		c.scope.Counter(total.name).Inc(int64(total.current - total.previous))
	}
	c.lastFleet, c.lastRelay = f, r
}
