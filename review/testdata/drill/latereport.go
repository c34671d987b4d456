package main

import (
	"errors"
	"time"
)

// Times of the late-report drill, after the start of the deployment.
const (
	requestsFrom  = 6 * time.Second
	firstLeaveAt  = 8 * time.Second          // the first boot of the server leaves
	firstEndAt    = 11500 * time.Millisecond // it ends
	secondStartAt = 12 * time.Second         // the second boot starts under the same ID
	secondLeaveAt = 12600 * time.Millisecond // it leaves, before its second liveness report
	secondEndAt   = 17 * time.Second         // it ends, 4.4 s after the acknowledgement
	lateReportTo  = 20 * time.Second
)

// reportDelay is how late the first liveness report of the second boot arrives.
const reportDelay = 4 * time.Second

const lateReportDocument = `{"version":1,"routes":[{"name":"send","host":"a.example","path_prefix":"/send/","kind":"unsafe","timeout":"1200ms","target_latency":"300ms","priority":1,"service":"counterlink","max_attempts":2}],` +
	`"services":[{"name":"listkeeper","health_path":"/health","max_connections":120},{"name":"counterlink","health_path":"/health","max_connections":120}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`

// runLateReport restarts a server under its ID. The second boot leaves soon, and its only liveness report arrives late.
func runLateReport(d *deployment, trouble bool) (int, error) {
	if err := d.publish(lateReportDocument); err != nil {
		return exitNotRun, err
	}
	d.add(10, "ie-west", "galway-a", "listkeeper")
	d.add(11, "ie-south", "cork-a", "listkeeper")
	restarted := d.add(12, "ie-west", "galway-a", "counterlink")
	d.add(13, "ie-west", "galway-b", "counterlink")
	const work = 150 * time.Millisecond
	started := time.Now()
	for _, m := range d.machines {
		if err := d.startSidecar(m, true); err != nil {
			return exitNotRun, err
		}
		if _, err := startServer(d.record, m, work); err != nil {
			return exitNotRun, err
		}
	}
	if err := awaitReady(requestsFrom, d.machines...); err != nil {
		return exitNotRun, err
	}
	sleepUntil(started, requestsFrom)
	var groups []*requesters
	for _, m := range d.machines {
		g := newRequesters(d.record, m)
		groups = append(groups, g)
		for range 2 {
			g.run(call{method: "PUT", path: "/send/list", body: 4000, limit: 1200 * time.Millisecond}, 100*time.Millisecond)
		}
	}
	first := restarted.server
	sleepUntil(started, firstLeaveAt)
	acknowledged := first.leave()
	sleepUntil(started, firstEndAt)
	first.close()
	sleepUntil(started, secondStartAt)
	delay := time.Duration(0)
	if trouble {
		delay = reportDelay
	}
	second, err := startBoot(d.record, restarted, work, first.id, delay)
	if err != nil {
		return exitNotRun, err
	}
	sleepUntil(started, secondLeaveAt)
	acknowledged = second.leave() && acknowledged
	sleepUntil(started, secondEndAt)
	second.close()
	sleepUntil(started, lateReportTo)
	for _, g := range groups {
		g.close()
		d.record.say("%s", g.summary())
	}
	if !acknowledged {
		return exitNotRun, errors.New("a leave was not acknowledged")
	}
	late := first.late() + second.late()
	d.record.say("both leaves acknowledged; %d requests reached the server later than %v after that", late, drainBound)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
