// Package crash distinguishes the end of a backend server's process from a connection to it that broke for another
// reason, and reports the requests that were running there.
package crash

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/timer"
)

const (
	// checkTimeout limits the connection that shows whether the server on the VM still listens.
	checkTimeout = 100 * time.Millisecond
	// settleTime is the time within which all connections to a server that has ended break.
	settleTime = time.Second
)

// Process identifies the process of a server to its node. The start is 0 if it is not known.
type Process struct {
	id               string
	startedUnixMilli int64
}

// NewProcess returns the process of a server with the given ID and start, in Unix milliseconds.
func NewProcess(id string, startedUnixMilli int64) Process {
	return Process{id: id, startedUnixMilli: startedUnixMilli}
}

// ID returns the ID of the server.
func (p Process) ID() string { return p.id }

// Started returns the start of the process in Unix milliseconds, 0 if it is not known.
func (p Process) Started() int64 { return p.startedUnixMilli }

// Request is a request that was running when its server ended.
type Request struct {
	id       string
	identity quarantine.Request
}

// ID returns the ID of the request for logs.
func (r Request) ID() string { return r.id }

// Identity returns what the request asks for, and its caller.
func (r Request) Identity() quarantine.Request { return r.identity }

// Report says that a server process ended while it was running requests.
type Report struct {
	process  Process
	at       time.Time
	requests []Request
}

// Process returns the process that ended.
func (r Report) Process() Process { return r.process }

// Requests returns the requests that were running there. Several reports may concern the same process.
func (r Report) Requests() []Request { return r.requests }

// Identities returns the identities of the requests.
func (r Report) Identities() []quarantine.Request {
	var all []quarantine.Request
	for _, request := range r.requests {
		all = append(all, request.identity)
	}
	return all
}

// Server returns the identity of the process in the whole fleet. For a process whose start is not known, its end serves as
// well.
func (r Report) Server() quarantine.Server {
	if r.process.startedUnixMilli != 0 {
		return quarantine.NewServer(r.process.id, r.process.startedUnixMilli)
	}
	return quarantine.NewServer(r.process.id, r.at.UnixMilli())
}

// lost is a request whose connection to the server broke.
type lost struct {
	process  Process
	id       string
	identity quarantine.Request
	at       time.Time
}

// Monitor finds out whether the process of a server has ended. It is safe for concurrent use.
type Monitor struct {
	timers  *timer.Service
	dial    func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	onCrash func(Report)

	mu      sync.Mutex
	lost    []*lost       // awaiting the result of the check
	check   chan struct{} // closed at the end of the check in progress; nil without one
	ended   Process       // the process whose end was found last
	endedAt time.Time
}

// NewMonitor returns a monitor that opens connections with dial and calls onCrash for each end of a process, more than once
// if requests turn out later to have been running there.
func NewMonitor(timers *timer.Service, dial func(context.Context, netip.AddrPort) (net.Conn, error), onCrash func(Report)) *Monitor {
	return &Monitor{timers: timers, dial: dial, onCrash: onCrash}
}

// ConnectionLost reports whether the server's process has ended, for a request whose connection to it broke. It calls
// onCrash if so.
func (m *Monitor) ConnectionLost(ctx context.Context, p Process, address netip.AddrPort, requestID string, identity quarantine.Request) bool {
	r := &lost{process: p, id: requestID, identity: identity, at: m.timers.Now()}
	m.mu.Lock()
	if m.hasEnded(r) {
		endedAt := m.endedAt
		m.mu.Unlock()
		m.report(p, endedAt, []*lost{r})
		return true
	}
	m.lost = append(m.lost, r)
	check := m.check
	if check != nil {
		m.mu.Unlock()
		return m.awaitCheck(ctx, r, check)
	}
	check = make(chan struct{})
	m.check = check
	m.mu.Unlock()

	listens := m.listens(address)
	m.mu.Lock()
	m.check = nil
	crashed := m.endCheck(p, listens)
	endedAt := m.endedAt
	m.mu.Unlock()
	close(check)
	if len(crashed) > 0 {
		m.report(p, endedAt, crashed)
	}
	return !listens
}

// awaitCheck waits for a check that another request has started.
func (m *Monitor) awaitCheck(ctx context.Context, r *lost, check <-chan struct{}) bool {
	select {
	case <-check:
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasEnded(r)
}

// hasEnded reports whether the process on which a request was running is known to have ended. The caller holds mu.
func (m *Monitor) hasEnded(r *lost) bool {
	return m.ended == r.process && m.timers.Now().Sub(m.endedAt) < settleTime
}

// endCheck records the result of a check and returns the requests that were lost at a process that has ended. The caller
// holds mu.
func (m *Monitor) endCheck(p Process, listens bool) []*lost {
	now := m.timers.Now()
	all := m.lost
	m.lost = nil
	if listens {
		return nil
	}
	m.ended, m.endedAt = p, now
	var crashed []*lost
	for _, r := range all {
		if r.process == p && now.Sub(r.at) < settleTime {
			crashed = append(crashed, r)
		}
	}
	return crashed
}

// listens reports whether a server accepts connections. Only a refused connection shows that it does not: the server may
// be overloaded or its VM may be stopped.
func (m *Monitor) listens(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	conn, err := m.dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

func (m *Monitor) report(p Process, endedAt time.Time, crashed []*lost) {
	r := Report{process: p, at: endedAt}
	for _, c := range crashed {
		r.requests = append(r.requests, Request{id: c.id, identity: c.identity})
	}
	m.onCrash(r)
}
