package metric

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// StatusGauges exports a node's status as gauges. It is not safe for concurrent use.
type StatusGauges struct {
	scope tally.Scope
	// regionInCensus holds the regions with gauges and whether the newest census covers them.
	regionInCensus map[member.Region]bool
}

// NewStatusGauges returns StatusGauges whose gauges are in scope.
func NewStatusGauges(scope tally.Scope) *StatusGauges {
	return &StatusGauges{scope: scope, regionInCensus: make(map[member.Region]bool)}
}

// Record sets all gauges from a status taken at now.
func (g *StatusGauges) Record(now time.Time, s message.Status) {
	g.scope.Gauge(ConfigVersion).Update(float64(s.Digest().Version()))
	g.scope.Gauge(ConfigHead).Update(float64(s.Digest().Head()))
	g.scope.Gauge(ConfigNeedSchema).Update(float64(s.MissingLevel()))
	g.scope.Gauge(ConfigUnequal).Update(float64(s.Conflicts()))
	g.scope.Gauge(ConfigUnconfirmed).Update(boolValue(s.Unconfirmed()))
	g.scope.Gauge(LogFault).Update(boolValue(s.LogErr() != nil))
	g.scope.Gauge(NodeServing).Update(boolValue(s.Stage() == message.StageServing))
	if !s.LogSeenAt().IsZero() {
		g.scope.Gauge(LogSilence).Update(now.Sub(s.LogSeenAt()).Seconds())
	}
	g.recordHealth(s.Members())
	g.recordCensus(now, s.Census())
}

func (g *StatusGauges) recordHealth(members []member.Member) {
	var counts [member.HealthLeft + 1]int
	for _, m := range members {
		if int(m.Health()) < len(counts) {
			counts[m.Health()]++
		}
	}
	for health := member.HealthAlive; health <= member.HealthLeft; health++ {
		scope := g.scope.Tagged(map[string]string{TagHealth: health.String()})
		scope.Gauge(FleetNodes).Update(float64(counts[health]))
	}
}

func (g *StatusGauges) recordCensus(now time.Time, census []message.Census) {
	newest := NewestVersion(census)
	for region := range g.regionInCensus {
		g.regionInCensus[region] = false
	}
	for _, c := range census {
		g.regionInCensus[c.Region()] = true
		scope := g.scope.Tagged(map[string]string{TagRegion: string(c.Region())})
		scope.Gauge(FleetBehind).Update(float64(NodesBehind(c, newest)))
		scope.Gauge(FleetCensusAge).Update(now.Sub(c.TakenAt()).Seconds())
	}
	for region, covered := range g.regionInCensus {
		if covered {
			continue
		}
		scope := g.scope.Tagged(map[string]string{TagRegion: string(region)})
		scope.Gauge(FleetBehind).Update(0)
		scope.Gauge(FleetCensusAge).Update(0)
		delete(g.regionInCensus, region)
	}
}

// NewestVersion returns the newest version in the censuses, or 0 if they are empty.
func NewestVersion(census []message.Census) record.Version {
	var newest record.Version
	for _, c := range census {
		for _, count := range c.Counts() {
			newest = max(newest, count.Version())
		}
	}
	return newest
}

// NodesBehind returns the number of nodes of a census that hold an older version than the given one.
func NodesBehind(c message.Census, version record.Version) int {
	nodes := 0
	for _, count := range c.Counts() {
		if count.Version() < version {
			nodes += count.Nodes()
		}
	}
	return nodes
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
