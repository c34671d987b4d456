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
	heartbeat = 200 * time.Millisecond
	slots     = 8
	// drainBound is the time after an acknowledged leave within which requests may still reach a server: the users'
	// bound.
	drainBound = 2500 * time.Millisecond
	// ackTime is how long a server waits for the answer to a report.
	ackTime = time.Second
)

// backend is the backend server beside one node. Its processes come and go under new IDs at one address.
type backend struct {
	check   *checks
	service string
	control string // where it reports
	server  *http.Server
	address netip.AddrPort
	client  *http.Client
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	rnd      *rand.Rand
	id       string
	born     int64
	sequence int
	draining bool
	left     time.Time // when a leave was acknowledged, or zero
	quiet    bool      // no reports: the process has ended
}

func newBackend(check *checks, service string, listen netip.AddrPort, control string, rnd *rand.Rand) (*backend, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	b := &backend{
		check: check, service: service, control: control, rnd: rnd, stop: make(chan struct{}),
		address: netip.MustParseAddrPort(l.Addr().String()),
		client:  &http.Client{Timeout: ackTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	b.restart()
	b.server = &http.Server{Handler: b}
	b.wg.Go(func() { _ = b.server.Serve(l) })
	b.wg.Go(func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(heartbeat):
				b.report()
			}
		}
	})
	return b, nil
}

// restart begins a new process at the address.
func (b *backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.born = max(time.Now().UnixMilli(), b.born+1)
	b.id = fmt.Sprintf("i-%s-%d", b.service, b.born)
	b.sequence, b.draining, b.left, b.quiet = 0, false, time.Time{}, false
}

// report sends one heartbeat through the node beside the server.
func (b *backend) report() {
	b.mu.Lock()
	if b.quiet {
		b.mu.Unlock()
		return
	}
	b.sequence++
	id, state, draining := b.id, "ready", b.draining
	if draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v","slots":%d,"state":%q,"cold_remaining":"0ms","sequence":%d,"born":%d}`,
		b.service, b.address, slots, state, b.sequence, b.born)
	b.mu.Unlock()
	if b.call(http.MethodPut, id, body) && draining {
		b.acknowledged(id)
	}
}

// advertise sets the address that the node is told, that of a proxy.
func (b *backend) advertise(address netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = address
}

func (b *backend) call(method, id, body string) bool {
	req, err := http.NewRequest(method, "http://"+b.control+"/v1/instances/"+id, bytes.NewReader([]byte(body)))
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

func (b *backend) acknowledged(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.id == id && b.left.IsZero() {
		b.left = time.Now()
	}
}

// leave drains the process, serves for a while, and is followed by another one. Some processes say nothing before
// they leave.
func (b *backend) leave(silent bool) {
	b.mu.Lock()
	id := b.id
	b.draining = true
	b.mu.Unlock()
	if silent {
		b.mu.Lock()
		b.quiet = true
		b.mu.Unlock()
		if b.call(http.MethodDelete, id, "") {
			b.acknowledged(id)
		}
	} else {
		b.report()
	}
	select {
	case <-b.stop:
		return
	case <-time.After(drainBound + time.Second):
	}
	b.restart()
}

// seal returns the signature of an answer.
func seal(attempt, body string) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(attempt+"/"+body))), 16)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id, left, draining := b.id, b.left, b.draining
	work := time.Duration(b.rnd.ExpFloat64() * float64(15*time.Millisecond))
	fate := b.rnd.IntN(100)
	b.mu.Unlock()
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/health" {
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	switch {
	case r.Header.Get("X-Target-Instance") != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case err != nil:
		return
	case fate < 2:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.check.ran(attempt, r)
	if !left.IsZero() && time.Since(left) > drainBound {
		b.check.fail("request %s reached %s %v after its leave was acknowledged", attempt, id, time.Since(left))
	}
	time.Sleep(work)
	answer := r.Method + " " + r.URL.Path + " " + string(body)
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Server-Seal", seal(attempt, answer))
	if fate < 4 {
		panic(http.ErrAbortHandler) // the answer is lost
	}
	if fate < 6 {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+10)) // the answer is cut short
	}
	_, _ = io.WriteString(w, answer)
}

func (b *backend) close() {
	close(b.stop)
	_ = b.server.Close()
	b.wg.Wait()
}
