package main

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	slots             = 8
	// drainLimit is the time after an acknowledged leave within which requests may still reach a backend server. The users
	// require this bound.
	drainLimit = 2500 * time.Millisecond
	// reportTimeout bounds the wait for the response to a report.
	reportTimeout = time.Second
)

// backend is the backend server of one node. Its instances replace one another under new IDs at the same address.
type backend struct {
	checker           *checker
	service           string
	controlAddress    string // receives the reports
	server            *http.Server
	advertisedAddress netip.AddrPort
	client            *http.Client
	stop              chan struct{}
	wg                sync.WaitGroup

	mu             sync.Mutex
	rnd            *rand.Rand
	instanceID     string
	startMillis    int64
	sequence       int
	draining       bool
	lastRunAt      time.Time     // when a request was executed last
	leaveAckedAt   time.Time     // when the node acknowledged the leave, or zero
	reportsStopped bool          // set by a leave without a draining report
	reportDelay    time.Duration // by which reports are late
	statement      statement     // what the instance states about itself in its responses
	copying        bool          // whether the instance sends each response twice
	endless        bool          // whether the instance sends some responses without end
	crashed        bool          // whether the instance has ended
	front          *proxy        // forwards connections to the backend server
}

func newBackend(checker *checker, service string, listen netip.AddrPort, controlAddress string, rnd *rand.Rand) (*backend, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	b := &backend{
		checker: checker, service: service, controlAddress: controlAddress, rnd: rnd, stop: make(chan struct{}),
		advertisedAddress: netip.MustParseAddrPort(l.Addr().String()),
		client:            &http.Client{Timeout: reportTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	b.startInstance()
	b.server = &http.Server{Handler: b}
	b.wg.Go(func() { _ = b.server.Serve(l) })
	b.wg.Go(func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(heartbeatInterval):
				b.report()
			}
		}
	})
	return b, nil
}

// startInstance begins a new instance at the same address.
func (b *backend) startInstance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startProcess(max(time.Now().UnixMilli(), b.startMillis+1))
	b.instanceID = fmt.Sprintf("i-%s-%d", b.service, b.startMillis)
}

// startProcess begins a process that knows nothing of the one before. The caller holds mu.
func (b *backend) startProcess(startMillis int64) {
	b.startMillis = startMillis
	b.sequence, b.draining, b.leaveAckedAt, b.reportsStopped, b.reportDelay = 0, false, time.Time{}, false, 0
	b.statement, b.copying, b.endless, b.crashed = statement{}, false, false, false
}

// report sends one heartbeat to the node of the backend server.
func (b *backend) report() {
	b.mu.Lock()
	if b.reportsStopped {
		b.mu.Unlock()
		return
	}
	b.sequence++
	id, state, draining := b.instanceID, "ready", b.draining
	if draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v","slots":%d,"state":%q,"cold_remaining":"0ms","sequence":%d,"born":%d}`,
		b.service, b.advertisedAddress, slots, state, b.sequence, b.startMillis)
	late := b.reportDelay
	b.mu.Unlock()
	if late > 0 {
		b.wg.Go(func() {
			b.pause(late)
			b.callControl(http.MethodPut, id, body)
		})
		return
	}
	if b.callControl(http.MethodPut, id, body) && draining {
		b.recordLeaveAck(id)
	}
}

// advertise sets the address in the reports. It is that of the proxy in front of the backend server.
func (b *backend) advertise(address netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advertisedAddress = address
}

func (b *backend) callControl(method, id, body string) bool {
	req, err := http.NewRequest(method, "http://"+b.controlAddress+"/v1/instances/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *backend) recordLeaveAck(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instanceID == id && b.leaveAckedAt.IsZero() {
		b.leaveAckedAt = time.Now()
	}
}

// replaceInstance drains the instance, keeps it serving beyond drainLimit and then starts the next one. A silent instance
// removes itself without a draining report before.
func (b *backend) replaceInstance(silent bool) {
	if silent {
		b.leaveSilently()
	} else {
		b.mu.Lock()
		b.draining = true
		b.mu.Unlock()
		b.report()
	}
	select {
	case <-b.stop:
		return
	case <-time.After(drainLimit + time.Second):
	}
	b.startInstance()
}

// seal returns the checksum of a response for the header X-Server-Seal.
func seal(attempt, body string) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(attempt+"/"+body))), 16)
}

// response is the response of a backend server to one request.
type response struct {
	status    int
	header    http.Header
	body      string
	drop      bool // the connection breaks without a response
	truncated bool
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.sendsCopies() && r.URL.Path != "/health" {
		b.serveCopies(w, r)
		return
	}
	if b.answersWithoutEnd() && r.URL.Path != "/health" {
		b.answerWithoutEnd(w, r)
		return
	}
	resp := b.handle(r)
	if resp.drop {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.header {
		w.Header()[name] = values
	}
	if resp.truncated {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)+10))
	}
	w.WriteHeader(resp.status)
	_, _ = io.WriteString(w, resp.body)
}

// handle runs a request, unless it refuses it, and returns the response.
func (b *backend) handle(r *http.Request) response {
	body, err := io.ReadAll(r.Body)
	b.mu.Lock()
	id, leaveAckedAt, draining, stated := b.instanceID, b.leaveAckedAt, b.draining, b.statement
	workTime := time.Duration(b.rnd.ExpFloat64() * float64(15*time.Millisecond))
	if stated.limit > 0 {
		workTime += limitedWorkTime
	}
	outcome := b.rnd.IntN(100)
	b.mu.Unlock()
	resp := response{status: http.StatusOK, header: http.Header{"X-Instance-Id": {id}}}
	stated.setHeaders(resp.header)
	attempt := r.Header.Get("X-Attempt-Id")
	if echoID := outcome%2 == 0; echoID {
		resp.header.Set("X-Attempt-Id", attempt)
	}
	switch {
	case r.URL.Path == "/health":
		if draining || stated.leaving {
			resp.status = http.StatusServiceUnavailable
		}
		return resp
	case r.Header.Get("X-Target-Instance") != id:
		resp.status = http.StatusMisdirectedRequest
		return resp
	case err != nil:
		return response{drop: true}
	}
	b.checkArrival(id, r)
	if outcome < 2 {
		resp.status = http.StatusServiceUnavailable
		resp.header.Set("X-Not-Executed", "1")
		return resp
	}
	b.checker.recordExecution(attempt, r)
	b.mu.Lock()
	b.lastRunAt = time.Now()
	b.mu.Unlock()
	if !leaveAckedAt.IsZero() && time.Since(leaveAckedAt) > drainLimit {
		b.checker.fail("request %s reached instance %s %v after its leave was acknowledged", attempt, id, time.Since(leaveAckedAt))
	}
	if path := fatalPath(r.URL.Path, string(body)); path != "" {
		b.checker.recordFatalArrival(path, attempt)
		b.crashWhileRunning(path, id)
		return response{drop: true}
	}
	time.Sleep(workTime)
	resp.body = r.Method + " " + r.URL.Path + " " + string(body)
	resp.header.Set("X-Attempt-Id", attempt)
	resp.header.Set("X-Server-Seal", seal(attempt, resp.body))
	resp.drop, resp.truncated = outcome < 4, outcome >= 4 && outcome < 6
	return resp
}

func (b *backend) close() {
	close(b.stop)
	_ = b.server.Close()
	b.wg.Wait()
}
