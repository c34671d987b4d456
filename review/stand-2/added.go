//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Load of the case of an added route.
const (
	pathReport      = "/report/"
	pathPeek        = "/peek/"
	configApply     = 2500 * time.Millisecond // of the bounds
	reportLimit     = 2 * time.Second         // time limit and timeout
	reportWork      = 600 * time.Millisecond  // give or take 15 in 100
	reportPerSecond = 6
	peekLimit       = 250 * time.Millisecond // price-peek of cloghan-lists
	peekWork        = 22 * time.Millisecond
	peekPerSecond   = 20
	timeBefore      = 8 * time.Second  // before the change of the configuration
	timeAfter       = 12 * time.Second // from configApply after it
	minAdded        = 20               // CONFIG: "20 or more requests"
	minRelative     = 0.25             // CONFIG: "less than a quarter as often"
)

// routeConfig returns a configuration with a route for reports, and one for peeks if it is wanted.
func routeConfig(version int, withPeek bool) map[string]any {
	config := newConfig(version, reportLimit, reportLimit/2)
	route := func(name, prefix string, timeout, target time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "safe", "timeout": timeout.String(), "target_latency": target.String(),
			"priority": 2, "service": serviceLists, "max_attempts": 2,
		}
	}
	routes := []any{route("r-report", pathReport, reportLimit, reportLimit/2)}
	if withPeek {
		routes = append(routes, route("r-peek", pathPeek, peekLimit, peekLimit/2))
	}
	config["routes"] = routes
	return config
}

// playAddedRoute adds a route to a service while its servers run the longer requests of another route of the same kind and
// priority. Without trouble both routes are there from the start.
func playAddedRoute(f *fleet, r *record, trouble bool) (bool, error) {
	if err := f.putConfig(routeConfig(7, !trouble)); err != nil {
		return false, err
	}
	work := func(path string) time.Duration {
		if path == pathPeek {
			return peekWork
		}
		return time.Duration(float64(reportWork) * (0.85 + 0.3*rand.Float64()))
	}
	for i := range 4 {
		service := serviceLists
		if i == 0 {
			service = serviceCounter
		}
		if _, err := f.addMachine("galway-a", service, serverSettings{slots: 6, queue: 24, workOf: work}); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	q := newRequester(f.machines[0])
	start := time.Now()
	steadyFrom := start.Add(timeBefore + configApply)
	end := steadyFrom.Add(timeAfter)
	var wg sync.WaitGroup
	send := func(name, path string, from time.Time, perSecond int, limit time.Duration) {
		for i := 0; ; i++ {
			at := from.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			if at.After(end) {
				return
			}
			time.Sleep(time.Until(at))
			wg.Go(func() {
				o := q.send(http.MethodGet, path, nil, limit)
				r.printf("%s %s: status %d, error %v, took %v", name, o.id, o.status, o.err, o.took.Round(time.Millisecond))
				if at.Before(steadyFrom) {
					return
				}
				r.count(name + " sent")
				if o.status == http.StatusOK {
					r.count(name + " served")
				}
			})
		}
	}
	wg.Go(func() { send("report", pathReport, start, reportPerSecond, reportLimit) })
	peekFrom := start
	if trouble {
		time.Sleep(time.Until(start.Add(timeBefore)))
		if err := f.putConfig(routeConfig(12, true)); err != nil {
			return false, err
		}
		peekFrom = steadyFrom
	}
	send("peek", pathPeek, peekFrom, peekPerSecond, peekLimit)
	wg.Wait()
	share := func(name string) float64 {
		return float64(r.get(name+" served")) / float64(max(r.get(name+" sent"), 1))
	}
	text := fmt.Sprintf("steady state: first route served %d of %d; added route served %d of %d",
		r.get("report served"), r.get("report sent"), r.get("peek served"), r.get("peek sent"))
	r.printf("%s", text)
	fmt.Println(text)
	if r.get("report served") == 0 || r.get("peek sent") < minAdded {
		return false, fmt.Errorf("too few requests to judge")
	}
	return share("peek") >= minRelative*share("report"), nil
}
