package main

import (
	"fmt"
	"strings"

	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/relay"
)

// roles works out what a node needs at the size of the design, a role at a time.
type roles struct {
	restBytes  float64 // bytes a second that a node sends at rest
	mostBytes  float64 // the same of the busiest node, which is log reader, relay and gateway in one
	perChange  float64 // bytes that a node sends for a change
	entry      float64 // bytes of the entry of a change
	farBytes   float64 // bytes a second between the regions at rest
	farChange  float64 // bytes between the regions for a change
	cpu        float64 // per cent of a core at rest
	memory     float64 // MB of a process at rest
	checkpoint float64 // bytes of a checkpoint
	checkTime  float64 // ms to make a checkpoint
	keyBytes   float64 // bytes of a request key in the ledger
	settings   relay.Settings
}

func newRoles(r Results) (roles, error) {
	out := roles{settings: relay.Defaults()}
	for _, f := range []struct {
		into    *float64
		pkg     string
		pattern string
		unit    string
		at      float64
	}{
		{&out.restBytes, "control", ours, "B/s/node-rest", designNodes},
		{&out.mostBytes, "control", ours, "B/s/node-rest-max", designNodes},
		{&out.perChange, "control", ours, "B/change/node", designNodes},
		{&out.entry, "control", ours, "B-delta", designNodes},
		{&out.farBytes, "control", ours, "B/s-far-rest", designNodes},
		{&out.farChange, "control", ours, "B-far/change", designNodes},
		{&out.cpu, "rig", `Processes/nodes=(\d+)`, "%core/node", designNodes},
		{&out.memory, "rig", `Processes/nodes=(\d+)`, "MB/node", designNodes},
		{&out.checkpoint, "catalog", `Checkpoint/records=(\d+)`, "bytes", designRecords},
		{&out.checkTime, "catalog", `Checkpoint/records=(\d+)`, "ns/op", designRecords},
	} {
		points, err := r.Series(f.pkg, f.pattern, f.unit)
		if err != nil {
			return out, err
		}
		*f.into = Estimate(points, f.at)
	}
	out.checkTime /= 1e6
	var ok bool
	if out.keyBytes, ok = r.Value("ledger", "Key", "B/op"); !ok {
		return out, fmt.Errorf("no result for the memory of a request key")
	}
	return out, nil
}

// role is one line of the table.
type role struct {
	name      string
	state     string
	messages  string
	bytes     float64
	cpu       float64
	memory    float64
	mechanism string
}

func (r roles) write(b *strings.Builder) {
	b.WriteString("\n### Roles at the design size\n\n")
	b.WriteString("| role | state | messages | bytes sent a second | processor, % of a core | memory, MB | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, line := range r.lines() {
		fmt.Fprintf(b, "| %s | %s | %s | %.0f | %.2f | %.1f | %s |\n",
			line.name, line.state, line.messages, line.bytes, line.cpu, line.memory, line.mechanism)
	}
	perDay := float64(designChanges)
	fmt.Fprintf(b, "\nThe limits are 21,000 bytes a second, 3.7%% of a core and 256 MB. Between the regions: %.0f B/s at rest and %.0f B a change, "+
		"%.5f Mbit/s in all. Appends to the log: %.0f changes, %.0f checkpoints and at most %.0f rendezvous entries a day, %.3f a second.\n",
		r.farBytes, r.farChange, (r.farBytes+r.farChange*perDay/secondsPerDay)*8/1e6,
		perDay, r.checkpointsPerDay(), r.rendezvousPerDay(), (perDay+r.checkpointsPerDay()+r.rendezvousPerDay())/secondsPerDay)
}

func (r roles) checkpointsPerDay() float64 {
	byEntries := float64(designChanges) / float64(r.settings.EntriesPerCheckpoint)
	byAge := secondsPerDay / r.settings.MaxCheckpointAge.Seconds()
	return max(byEntries, byAge)
}

// rendezvousPerDay is the bound of one append in ten seconds.
func (roles) rendezvousPerDay() float64 { return secondsPerDay / 10 }

func (r roles) lines() []role {
	changes := float64(designChanges) / secondsPerDay
	plain := r.restBytes + changes*r.perChange
	busiest := r.mostBytes + changes*float64(r.settings.Fanout)*r.perChange
	reads := 1 / r.settings.LongPollTimeout.Seconds()
	checkpoints := r.checkpointsPerDay() / secondsPerDay
	callsPerNode := float64(designCalls) / designNodes
	keys := min(callsPerNode*ledger.DefaultTTL.Seconds(), ledger.DefaultMaxKeys)
	return []role{
		{"plain node", fmt.Sprintf("view of %d members, configuration, window of %d entries", designNodes, r.settings.MaxWindowEntries), "1 probe/s, gossip, reports on pushes", plain, r.cpu, r.memory, "SWIM-like membership; deltas"},
		{"relay", "as a plain node", fmt.Sprintf("%d pushes a change", r.settings.Fanout), busiest, r.cpu, r.memory, "tree of fan-out 8 over each node's own ranking"},
		{"log reader", "as a plain node", fmt.Sprintf("%.1f reads/s of the log, heartbeats", reads), busiest, r.cpu, r.memory, "long poll by one node of the log's region, one standby"},
		{"cross-region relay", "as a plain node", "1 push a change and region", busiest + changes*r.farChange, r.cpu, r.memory, "first-ranked node of the other region"},
		{"checkpoint writer", fmt.Sprintf("checkpoint of %.0f kB while written", r.checkpoint/1e3), fmt.Sprintf("%.1f checkpoints a day", r.checkpointsPerDay()), busiest + checkpoints*r.checkpoint, r.cpu + checkpoints*r.checkTime/10, r.memory + r.checkpoint/1e6, "the log reader, by entries and age"},
		{"key owner", fmt.Sprintf("%.0f keys if all %.0f calls/s were keyed", keys, callsPerNode), "none", plain, r.cpu, r.memory + (keys*r.keyBytes+ledger.DefaultMaxResponseBytes)/1e6, "key names its owner; ledger bounded by time, count and bytes"},
	}
}
