package node

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/timer"
)

const (
	// announceTimeout is the time after which a backend server that no longer announces itself counts as gone.
	announceTimeout = 4 * time.Second
	// announceCheck is the time between two checks of that.
	announceCheck = 500 * time.Millisecond
	// maxAnnouncement bounds an announcement in bytes.
	maxAnnouncement = 4 << 10
	maxSlots        = 1 << 16
)

// announcement is the wire form in which a backend server announces itself.
type announcement struct {
	Service string `json:"service"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	Address string `json:"address"`
}

// serverEdge takes the announcements of the backend server beside the node, at PUT /server on a
// loopback address. Nothing else lists backend servers.
type serverEdge struct {
	clock    *timer.Service
	changed  func(addr netip.AddrPort, server member.Server)
	check    *timer.Subscription
	mu       sync.Mutex
	server   member.Server
	address  netip.AddrPort
	lastSeen time.Time
	draining bool
}

// newServerEdge calls changed whenever what is announced changes. A server that is gone is announced
// as member.ServerNone.
func newServerEdge(clock *timer.Service, changed func(addr netip.AddrPort, server member.Server)) *serverEdge {
	s := &serverEdge{clock: clock, changed: changed}
	s.check = clock.Every(announceCheck, s.expire)
	return s
}

// ServeHTTP implements http.Handler.
func (s *serverEdge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut || r.URL.Path != "/server" {
		http.NotFound(w, r)
		return
	}
	var a announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state, ok := parseServerState(a.State)
	addr, err := netip.ParseAddrPort(a.Address)
	if !ok || err != nil || !addr.Addr().IsLoopback() || a.Service == "" || a.Slots < 1 || a.Slots > maxSlots {
		http.Error(w, "announce service, state (cold, ready, draining), slots and a loopback address", http.StatusBadRequest)
		return
	}
	s.update(addr, member.NewServer(a.Service, state, a.Slots))
	w.WriteHeader(http.StatusNoContent)
}

func parseServerState(name string) (member.ServerState, bool) {
	for _, state := range []member.ServerState{member.ServerCold, member.ServerReady, member.ServerDraining} {
		if state.String() == name {
			return state, true
		}
	}
	return member.ServerNone, false
}

func (s *serverEdge) update(addr netip.AddrPort, server member.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSeen = s.clock.Now()
	if s.draining {
		server = server.WithState(member.ServerDraining)
	}
	s.set(addr, server)
}

// set reports a change. The lock is held, so that changes are reported in order.
func (s *serverEdge) set(addr netip.AddrPort, server member.Server) {
	if server == s.server && addr == s.address {
		return
	}
	s.server, s.address = server, addr
	s.changed(addr, server)
}

// drain announces the server as draining from now on, whatever it says itself.
func (s *serverEdge) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.server.State() == member.ServerNone {
		return
	}
	s.set(s.address, s.server.WithState(member.ServerDraining))
}

func (s *serverEdge) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server.State() == member.ServerNone || now.Sub(s.lastSeen) < announceTimeout {
		return
	}
	s.set(s.address, member.NewServer(s.server.Service(), member.ServerNone, s.server.Slots()))
}

// Close ends the check and waits for it.
func (s *serverEdge) Close() { s.check.Close() }
