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
	// announceTimeout is the time after its last announcement at which a backend server counts as gone.
	announceTimeout = 4 * time.Second
	// announceCheckPeriod is the time between two checks for an expired announcement.
	announceCheckPeriod = 500 * time.Millisecond
	// maxAnnouncementBytes is the maximum size of an announcement.
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 1 << 16
)

// announcement is the JSON form of the announcement of a backend server.
type announcement struct {
	Service string `json:"service"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	Address string `json:"address"`
}

// announceHandler receives the announcements of the backend server on the node's VM, as PUT /server on a loopback address.
// They are the only source of backend servers.
type announceHandler struct {
	clock           *timer.Service
	onChange        func(addr netip.AddrPort, server member.Server)
	expiryTimer     *timer.Subscription
	mu              sync.Mutex
	server          member.Server
	address         netip.AddrPort
	lastAnnouncedAt time.Time
	draining        bool // set by drain, overrides the announced state
}

// newAnnounceHandler returns a handler that calls onChange whenever the server or its state changes. A server that is gone
// has the state member.ServerNone.
func newAnnounceHandler(clock *timer.Service, onChange func(addr netip.AddrPort, server member.Server)) *announceHandler {
	ah := &announceHandler{clock: clock, onChange: onChange}
	ah.expiryTimer = clock.Every(announceCheckPeriod, ah.expire)
	return ah
}

// ServeHTTP implements http.Handler.
func (ah *announceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut || r.URL.Path != "/server" {
		http.NotFound(w, r)
		return
	}
	var a announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state, ok := parseServerState(a.State)
	addr, err := netip.ParseAddrPort(a.Address)
	if !ok || err != nil || !addr.Addr().IsLoopback() || a.Service == "" || a.Slots < 1 || a.Slots > maxSlots {
		http.Error(w, "announce service, state (cold, ready, draining), slots and a loopback address", http.StatusBadRequest)
		return
	}
	ah.update(addr, member.NewServer(a.Service, state, a.Slots))
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

func (ah *announceHandler) update(addr netip.AddrPort, server member.Server) {
	ah.mu.Lock()
	defer ah.mu.Unlock()
	ah.lastAnnouncedAt = ah.clock.Now()
	if ah.draining {
		server = server.WithState(member.ServerDraining)
	}
	ah.set(addr, server)
}

// set stores the server and calls onChange if it differs. The caller must hold mu, so that changes are reported in order.
func (ah *announceHandler) set(addr netip.AddrPort, server member.Server) {
	if server == ah.server && addr == ah.address {
		return
	}
	ah.server, ah.address = server, addr
	ah.onChange(addr, server)
}

// drain reports the server as draining from now on, whatever state it announces.
func (ah *announceHandler) drain() {
	ah.mu.Lock()
	defer ah.mu.Unlock()
	ah.draining = true
	if ah.server.State() == member.ServerNone {
		return
	}
	ah.set(ah.address, ah.server.WithState(member.ServerDraining))
}

func (ah *announceHandler) expire(now time.Time) {
	ah.mu.Lock()
	defer ah.mu.Unlock()
	if ah.server.State() == member.ServerNone || now.Sub(ah.lastAnnouncedAt) < announceTimeout {
		return
	}
	ah.set(ah.address, member.NewServer(ah.server.Service(), member.ServerNone, ah.server.Slots()))
}

// Close stops the expiry checks and waits for one in progress.
func (ah *announceHandler) Close() { ah.expiryTimer.Close() }
