//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Load and disruption of the case of uploads. 5 bodies of 20 MiB a second are 839 Mbit/s, below link_mbps = 1000.
const (
	uploadMachines   = 6        // the first one runs another service than the others
	uploadBody       = 20 << 20 // bytes; max_body_bytes is 64 MiB
	uploadsPerSecond = 5
	uploadLimit      = 4 * time.Second // time limit of requesters and timeout of the route
	uploadWork       = 1600 * time.Millisecond
	smallBody        = 4000
	smallPerSecond   = 20
	smallWork        = 200 * time.Millisecond
	slowServers      = 2  // 0.4 of the 5 of the service
	slowFactor       = 12 // srv_slow of cloghan-lists: share 0.4, x 12, for_s 9
	slowAt           = 6 * time.Second
	slowFor          = 9 * time.Second
	uploadTime       = 20 * time.Second
	restartDelay     = 500 * time.Millisecond
	permittedLost    = 3 // LOST: "more than three times"
)

// playUploads sends large and small requests from the requesters of machine 0 while two servers of other machines turn slow.
// The platform kills a process that exceeds memory_mb and starts it again.
func playUploads(f *fleet, r *record, trouble bool) (bool, error) {
	if err := f.putConfig(newConfig(7, uploadLimit, uploadLimit/2)); err != nil {
		return false, err
	}
	for i := range uploadMachines {
		service := serviceLists
		if i == 0 {
			service = serviceCounter
		}
		if _, err := f.addMachine("galway-a", service, serverSettings{slots: 18, queue: 72, work: smallWork, uploadWork: uploadWork}); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stability_window
	stop := make(chan struct{})
	var platform, requests sync.WaitGroup
	for _, m := range f.machines {
		platform.Go(func() { m.limitMemory(stop) })
	}
	start := time.Now()
	if trouble {
		time.AfterFunc(slowAt, func() { f.setSlow(slowFactor) })
		time.AfterFunc(slowAt+slowFor, func() { f.setSlow(1) })
	}
	q := newRequester(f.machines[0])
	sendAtRate := func(name, path string, perSecond, size int) {
		body := make([]byte, size)
		for i := 0; time.Since(start) < uploadTime; i++ {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
			requests.Go(func() { f.recordOutcome(name, q.send(http.MethodPost, path, body, uploadLimit)) })
		}
	}
	requests.Go(func() { sendAtRate("reserve", pathReserve, smallPerSecond, smallBody) })
	sendAtRate("upload", pathUpload, uploadsPerSecond, uploadBody)
	requests.Wait()
	close(stop)
	platform.Wait()
	for _, m := range f.machines {
		r.printf("machine %d: peak memory %d MB of %d, killed for memory %d times", m.index, m.peakMemory>>20, memoryLimit>>20, m.starts-1)
	}
	lost := r.get("lost")
	r.printf("requests on kept connections that a sound server ran and whose connection closed without an answer: %d, permitted %d", lost, permittedLost)
	fmt.Printf("killed for memory: %d; lost: %d; answered 200: %d\n", r.get("killed"), lost, r.get("status 200"))
	return lost <= permittedLost, nil
}

func (f *fleet) setSlow(factor float64) {
	for _, m := range f.machines[1 : 1+slowServers] {
		m.server.setFactor(factor)
		f.record.printf("server of machine %d works %v times as long", m.index, factor)
	}
}

// recordOutcome records how a request ended, and counts it as lost if it was passed on from a kept connection to a server that
// was never slow, and the connection closed without an answer before the time limit.
func (f *fleet) recordOutcome(name string, o outcome) {
	var ranAt []int
	sound := false
	for _, m := range f.machines {
		if m.server.ran(o.id) > 0 {
			ranAt = append(ranAt, m.index)
			sound = sound || m.index == 0 || m.index > slowServers
		}
	}
	f.record.printf("%s %s: status %d, error %v, kept connection %t, took %v, ran at machines %v", name, o.id, o.status, o.err, o.kept, o.took.Round(time.Millisecond), ranAt)
	f.record.count(fmt.Sprint("status ", o.status))
	if o.closed && o.kept && sound {
		f.record.count("lost")
	}
}

// limitMemory kills the sidecar process whenever it exceeds memory_mb, and starts it again, until stop is closed.
func (m *machine) limitMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := m.memory()
		m.peakMemory = max(m.peakMemory, used)
		if used <= memoryLimit {
			continue
		}
		m.fleet.record.printf("platform: machine %d uses %d MB of %d, killed", m.index, used>>20, memoryLimit>>20)
		m.fleet.record.count("killed")
		m.signal(syscall.SIGKILL)
		m.awaitEnd()
		time.Sleep(restartDelay)
		if err := m.start(false); err != nil {
			m.fleet.record.printf("platform: machine %d did not start: %v", m.index, err)
			return
		}
	}
}
