//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of the case of a departure.
const (
	drain            = 2500 * time.Millisecond // of the bounds
	stabilityWindow  = 3 * time.Second         // of the bounds
	departureServers = 10
	departureWork    = 100 * time.Millisecond
	departureLimit   = 1500 * time.Millisecond
	departurePeriod  = 25 * time.Millisecond   // between two requests
	leaveAfterSignal = time.Second             // from SIGTERM to the leave, which the sidecar still acknowledges
	lieTime          = 6500 * time.Millisecond // srv_lying_health of cloghan-lists-grown: share 0.1, for_s 6.5
	lateBy           = 3 * time.Second         // of the last liveness report
	stayTime         = 6200 * time.Millisecond // for which the server serves after its leave
)

// playDeparture has a server leave without draining before, while the sidecar on its machine is restarted. The health checks of
// the server are false from then on.
func playDeparture(f *fleet, r *record, trouble bool) (bool, error) {
	if err := f.putConfig(newConfig(7, departureLimit, departureLimit/2)); err != nil {
		return false, err
	}
	settings := serverSettings{slots: 6, queue: 24, work: departureWork}
	if _, err := f.addMachine("galway-a", serviceCounter, settings); err != nil {
		return false, err
	}
	for i := range departureServers {
		if _, err := f.addMachine([]string{"galway-a", "cork-a", "galway-b", "cork-b"}[i%4], serviceLists, settings); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	requesters, leaving := f.machines[0], f.machines[1]
	var mu sync.Mutex
	var ackedAt time.Time
	late := 0
	leaving.server.onRun = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		if ackedAt.IsZero() {
			return
		}
		after := time.Since(ackedAt)
		inTouch := time.Since(leaving.disturbedAt()) >= stabilityWindow
		r.printf("the server that left runs %s, %v after the acknowledgement of its leave; its sidecar is in touch: %t", id, after.Round(time.Millisecond), inTouch)
		if after > drain && inTouch {
			late++
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		q := newRequester(requesters)
		body := make([]byte, smallBody)
		var requests sync.WaitGroup
		for {
			select {
			case <-stop:
				requests.Wait()
				return
			case <-time.After(departurePeriod):
			}
			requests.Go(func() {
				o := q.send(http.MethodPost, pathUpload, body, departureLimit)
				if o.status != http.StatusOK {
					r.printf("request %s: status %d, error %v, took %v", o.id, o.status, o.err, o.took.Round(time.Millisecond))
				}
				r.count(fmt.Sprint("status ", o.status))
			})
		}
	})
	if trouble {
		leaving.signal(syscall.SIGTERM)
		r.printf("SIGTERM to the sidecar of machine 1")
		wg.Go(func() {
			leaving.awaitEnd()
			time.Sleep(restartDelay)
			r.printf("the sidecar of machine 1 is started again")
			if err := leaving.start(false); err != nil {
				r.printf("start: %v", err)
			}
		})
	}
	time.Sleep(leaveAfterSignal)
	if trouble {
		leaving.server.lieFor(lieTime)
		r.printf("health checks of the server of machine 1 pass for %v whatever its state", lieTime)
	}
	lastReport, sentAt := leaving.server.nextReport(), time.Now()
	at, acked := leaving.server.depart()
	if !acked {
		close(stop)
		wg.Wait()
		return false, fmt.Errorf("the leave was not acknowledged")
	}
	mu.Lock()
	ackedAt = at
	mu.Unlock()
	r.printf("the leave of the server of machine 1 is acknowledged")
	time.Sleep(time.Until(sentAt.Add(lateBy)))
	r.printf("the last liveness report of that server, sent before its leave, arrives %v late; acknowledged: %t", lateBy, leaving.server.sendReport(lastReport))
	time.Sleep(time.Until(ackedAt.Add(stayTime)))
	r.printf("the server of machine 1 ends")
	leaving.server.close()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("requests that reached the server later than %v after its acknowledged leave, from machines in touch: %d\n", drain, late)
	return late == 0, nil
}
