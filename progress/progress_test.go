package progress_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/progress"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/timer"
)

var start = time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)

type count struct {
	region  member.Region
	version record.Version
	nodes   int
}

// fleetStatus returns the status of a fleet with those numbers of alive members, one dead member in a region of its
// own, and one census per count.
func fleetStatus(alive map[member.Region]int, counts ...count) message.Status {
	f := message.StatusFields{}
	for region, n := range alive {
		for i := range n {
			key := member.NewKey(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), 1)
			f.Members = append(f.Members, member.New(key, member.NewPlace(region, "d"), record.Schema2))
		}
	}
	dead := member.New(member.NewKey(netip.MustParseAddrPort("10.0.0.2:1"), 1), member.NewPlace("gone", "d"), record.Schema2)
	f.Members = append(f.Members, dead.WithHealth(member.HealthDead))
	for _, c := range counts {
		f.Census = append(f.Census, message.NewCensus(c.region, []message.VersionCount{message.NewVersionCount(c.version, c.nodes)}, nil, start))
	}
	return message.NewStatus(f)
}

func TestProgress(t *testing.T) {
	both := map[member.Region]int{"jadran": 2, "kontinent": 1}
	for _, test := range []struct {
		name   string
		status message.Status
		done   bool
		line   string
	}{
		{"nothing known", fleetStatus(nil), false, "version 7 in force: "},
		{"all nodes at the version", fleetStatus(both, count{"jadran", 7, 2}, count{"kontinent", 7, 1}), true, "version 7 in force: jadran 2/2, kontinent 1/1"},
		{"newer version counts", fleetStatus(both, count{"jadran", 9, 2}, count{"kontinent", 7, 1}), true, "version 7 in force: jadran 2/2, kontinent 1/1"},
		{"one region behind", fleetStatus(both, count{"jadran", 7, 2}, count{"kontinent", 6, 1}), false, "version 7 in force: jadran 2/2, kontinent 0/1"},
		{"region without census", fleetStatus(both, count{"jadran", 7, 2}), false, "version 7 in force: jadran 2/2, kontinent 0/1"},
		{"alive member missing from the census", fleetStatus(both, count{"jadran", 7, 1}, count{"kontinent", 7, 1}), false, "version 7 in force: jadran 1/2, kontinent 1/1"},
		{"census larger than the membership", fleetStatus(both, count{"jadran", 7, 5}, count{"kontinent", 7, 1}), true, "version 7 in force: jadran 5/5, kontinent 1/1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := progress.NewProgress(test.status, 7)
			qt.Check(t, p.Done(), qt.Equals, test.done)
			qt.Check(t, p.String(), qt.Equals, test.line)
		})
	}
}

func TestFollow(t *testing.T) {
	alive := map[member.Region]int{"jadran": 1}
	down := errors.New("down")
	for _, test := range []struct {
		name     string
		versions []record.Version // held at each request; 0 fails the request, and the last one repeats
		timeout  time.Duration
		reports  int
		elapsed  time.Duration
		err      string
	}{
		{"in force at the first request", []record.Version{7}, time.Second, 1, 0, ""},
		{"in force later", []record.Version{5, 6, 7}, time.Second, 3, 200 * time.Millisecond, ""},
		{"failed request is retried", []record.Version{5, 0, 7}, time.Second, 2, 200 * time.Millisecond, ""},
		{"timeout", []record.Version{5}, time.Second, 11, time.Second, "not in force everywhere in time; version 7 in force: jadran 0/1"},
		{"unreachable", []record.Version{0}, time.Second, 0, time.Second, "not in force everywhere in time; version 7 in force: ; down"},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := timer.NewManual(start)
			requests := 0
			status := func() (message.Status, error) {
				version := test.versions[min(requests, len(test.versions)-1)]
				requests++
				if version == 0 {
					return message.Status{}, down
				}
				return fleetStatus(alive, count{"jadran", version, 1}), nil
			}
			reports := 0
			f := progress.NewFollower(status, clock.Now, clock.Advance)
			err := f.Follow(7, 100*time.Millisecond, test.timeout, func(progress.Progress) { reports++ })
			if test.err == "" {
				qt.Check(t, err, qt.IsNil)
			} else {
				qt.Check(t, err, qt.ErrorMatches, test.err)
			}
			qt.Check(t, reports, qt.Equals, test.reports)
			qt.Check(t, clock.Now().Sub(start), qt.Equals, test.elapsed)
		})
	}
}
