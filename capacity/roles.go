package main

import (
	"fmt"
	"strings"

	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/relay"
)

// roles holds the values at the design size from which the resources of each role are estimated.
type roles struct {
	bytesAtRest          float64 // bytes per second that a node sends at rest
	maxBytesAtRest       float64 // the same for the busiest node, which is log reader, relay and cross-region relay at once
	bytesPerChange       float64 // bytes that a node sends per change
	entryBytes           float64 // size of the log entry of a change
	crossRegionAtRest    float64 // bytes per second between the regions at rest
	crossRegionPerChange float64 // bytes between the regions per change
	cpuPercent           float64 // percentage of a core at rest
	memoryMB             float64 // memory of a process at rest
	checkpointBytes      float64 // size of a checkpoint
	checkpointMillis     float64 // time to create a checkpoint
	keyBytes             float64 // memory of a request key in the ledger
	settings             relay.Settings
}

func newRoles(r Results) (roles, error) {
	out := roles{settings: relay.Defaults()}
	for _, f := range []struct {
		target  *float64
		pkg     string
		pattern string
		unit    string
		size    float64
	}{
		{&out.bytesAtRest, "control", changePattern, "B/s/node-rest", designNodes},
		{&out.maxBytesAtRest, "control", changePattern, "B/s/node-rest-max", designNodes},
		{&out.bytesPerChange, "control", changePattern, "B/change/node", designNodes},
		{&out.entryBytes, "control", changePattern, "B-delta", designNodes},
		{&out.crossRegionAtRest, "control", changePattern, "B/s-far-rest", designNodes},
		{&out.crossRegionPerChange, "control", changePattern, "B-far/change", designNodes},
		{&out.cpuPercent, "rig", `Processes/nodes=(\d+)`, "%core/node", designNodes},
		{&out.memoryMB, "rig", `Processes/nodes=(\d+)`, "MB/node", designNodes},
		{&out.checkpointBytes, "catalog", `Checkpoint/records=(\d+)`, "bytes", designRecords},
		{&out.checkpointMillis, "catalog", `Checkpoint/records=(\d+)`, "ns/op", designRecords},
	} {
		points, err := r.Series(f.pkg, f.pattern, f.unit)
		if err != nil {
			return out, err
		}
		*f.target = Estimate(points, f.size)
	}
	out.checkpointMillis /= 1e6
	var ok bool
	if out.keyBytes, ok = r.Value("ledger", "Key", "B/op"); !ok {
		return out, fmt.Errorf("no benchmark result for the memory of a request key (package ledger, Key, B/op)")
	}
	return out, nil
}

// roleRow is one row of the table of roles.
type roleRow struct {
	name           string
	state          string
	messages       string
	bytesPerSecond float64
	cpuPercent     float64
	memoryMB       float64
	mechanism      string
}

func (r roles) write(b *strings.Builder) {
	b.WriteString("\n### Roles at the design size\n\n")
	b.WriteString("| role | state | messages | bytes sent per second | processor, % of a core | memory, MB | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, line := range r.rows() {
		fmt.Fprintf(b, "| %s | %s | %s | %.0f | %.2f | %.1f | %s |\n",
			line.name, line.state, line.messages, line.bytesPerSecond, line.cpuPercent, line.memoryMB, line.mechanism)
	}
	perDay := float64(designChanges)
	fmt.Fprintf(b, "\nThe limits are 21,000 bytes a second, 3.7%% of a core and 256 MB. Between the regions: %.0f B/s at rest and %.0f B per change, "+
		"%.5f Mbit/s in all. Appends to the log: %.0f changes, %.0f checkpoints and at most %.0f rendezvous entries a day, %.3f a second.\n",
		r.crossRegionAtRest, r.crossRegionPerChange, (r.crossRegionAtRest+r.crossRegionPerChange*perDay/secondsPerDay)*8/1e6,
		perDay, r.checkpointsPerDay(), r.rendezvousPerDay(), (perDay+r.checkpointsPerDay()+r.rendezvousPerDay())/secondsPerDay)
}

func (r roles) checkpointsPerDay() float64 {
	byEntries := float64(designChanges) / float64(r.settings.EntriesPerCheckpoint)
	byAge := secondsPerDay / r.settings.MaxCheckpointAge.Seconds()
	return max(byEntries, byAge)
}

// rendezvousPerDay returns the upper bound of rendezvous entries, which are limited to one in ten seconds.
func (roles) rendezvousPerDay() float64 { return secondsPerDay / 10 }

func (r roles) rows() []roleRow {
	changesPerSecond := float64(designChanges) / secondsPerDay
	plainBytes := r.bytesAtRest + changesPerSecond*r.bytesPerChange
	busiestBytes := r.maxBytesAtRest + changesPerSecond*float64(r.settings.Fanout)*r.bytesPerChange
	readsPerSecond := 1 / r.settings.LongPollTimeout.Seconds()
	checkpointsPerSecond := r.checkpointsPerDay() / secondsPerDay
	callsPerNode := float64(designCalls) / designNodes
	keys := min(callsPerNode*ledger.DefaultTTL.Seconds(), ledger.DefaultMaxKeys)
	// checkpointMillis/10 turns milliseconds per second into percent of a core.
	return []roleRow{
		{"plain node", fmt.Sprintf("view of %d members, configuration, window of %d entries", designNodes, r.settings.MaxWindowEntries), "1 probe/s, gossip, reports on pushes", plainBytes, r.cpuPercent, r.memoryMB, "SWIM-like membership; deltas"},
		{"relay", "as a plain node", fmt.Sprintf("%d pushes per change", r.settings.Fanout), busiestBytes, r.cpuPercent, r.memoryMB, "tree of fan-out 8 over each node's own ranking"},
		{"log reader", "as a plain node", fmt.Sprintf("%.1f reads/s of the log, heartbeats", readsPerSecond), busiestBytes, r.cpuPercent, r.memoryMB, "long poll by one node of the log's region, one standby"},
		{"cross-region relay", "as a plain node", "1 push per change and region", busiestBytes + changesPerSecond*r.crossRegionPerChange, r.cpuPercent, r.memoryMB, "first-ranked node of the other region"},
		{"checkpoint writer", fmt.Sprintf("checkpoint of %.0f kB while written", r.checkpointBytes/1e3), fmt.Sprintf("%.1f checkpoints a day", r.checkpointsPerDay()), busiestBytes + checkpointsPerSecond*r.checkpointBytes, r.cpuPercent + checkpointsPerSecond*r.checkpointMillis/10, r.memoryMB + r.checkpointBytes/1e6, "the log reader, by entries and age"},
		{"key owner", fmt.Sprintf("%.0f keys if all %.0f calls/s were keyed", keys, callsPerNode), "none", plainBytes, r.cpuPercent, r.memoryMB + (keys*r.keyBytes+ledger.DefaultMaxResponseBytes)/1e6, "key names its owner; ledger bounded by time, count and bytes"},
	}
}
