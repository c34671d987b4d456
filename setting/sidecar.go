package setting

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/tomldoc"
)

// Bounds and defaults of a sidecar's settings.
const (
	minMemoryMB            = 32
	maxMemoryMB            = 1 << 20
	minDescriptors         = 256
	maxDescriptors         = 1 << 20
	defaultHeartbeat       = 1500 * time.Millisecond
	defaultGrace           = 6 * time.Second
	defaultKeep            = 20 * time.Second
	minKeep                = time.Second
	maxKeep                = 30 * 24 * time.Hour
	defaultWindow          = 10 * time.Second
	defaultFleetRetryShare = 0.1
	minBound               = 10 * time.Millisecond
	maxBound               = 10 * time.Minute
)

// Sidecar holds the settings of a sidecar, which the platform fills in.
type Sidecar struct {
	name        string
	address     netip.Addr
	place       member.Place
	service     string
	firstStart  bool
	memory      int64
	descriptors int
	callers     netip.AddrPort
	server      netip.AddrPort
	ready       netip.AddrPort
	firstPort   uint16
	metricsPort uint16
	store       netip.AddrPort
	storeKeep   time.Duration
	seeds       []netip.Addr
	heartbeat   time.Duration
	grace       time.Duration
	retries     Retries
}

// Retries bound what all nodes of a fleet spend on second attempts.
type Retries struct {
	share   float64
	reserve int
	window  time.Duration
}

// Share returns the retries permitted per request within a window.
func (r Retries) Share() float64 { return r.share }

// Reserve returns the retries permitted besides within a window, by all nodes together.
func (r Retries) Reserve() int { return r.reserve }

// Window returns the length of the window.
func (r Retries) Window() time.Duration { return r.window }

// LoadSidecar reads and checks the settings file of a sidecar. The error is a *tomldoc.FaultsError with every fault
// of the file.
func LoadSidecar(path string) (Sidecar, error) {
	doc, err := tomldoc.Load(path)
	if err != nil {
		return Sidecar{}, err
	}
	return readSidecar(doc)
}

// ParseSidecar checks settings held in memory. Faults name them as file.
func ParseSidecar(file string, data []byte) (Sidecar, error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return Sidecar{}, err
	}
	return readSidecar(doc)
}

func readSidecar(doc *tomldoc.Document) (Sidecar, error) {
	root := doc.Root()
	var s Sidecar
	s.readVM(root.Table("vm"))
	s.readListen(root.Table("listen"))
	s.readSeeds(root.Table("fleet"))
	store := root.Table("store")
	store.Require("address", "an IP number with a port")
	s.store = store.AddrPort("address", netip.AddrPort{})
	s.storeKeep = store.Duration("keep", defaultKeep, minKeep, maxKeep)
	s.heartbeat = root.Table("server").Duration("heartbeat", defaultHeartbeat, minBound, maxBound)
	s.readBounds(root.Table("bounds"))
	if err := doc.Err(); err != nil {
		return Sidecar{}, err
	}
	return s, nil
}

func (s *Sidecar) readVM(t *tomldoc.Table) {
	for _, key := range []string{"address", "region", "failure_domain", "service"} {
		t.Require(key, "a text")
	}
	s.name = t.Text("name", "")
	text := t.Text("address", "")
	var err error
	if s.address, err = netip.ParseAddr(text); err != nil && text != "" {
		t.AddFault("address", "%q; allowed is an IP number", text)
	}
	s.place = member.NewPlace(member.Region(t.Text("region", "")), member.FailureDomain(t.Text("failure_domain", "")))
	s.service = t.Text("service", "")
	s.firstStart = t.Bool("first_start", false)
	s.memory = t.Int("memory_mb", 256, minMemoryMB, maxMemoryMB) << 20
	s.descriptors = int(t.Int("descriptors", 1024, minDescriptors, maxDescriptors))
}

func (s *Sidecar) readListen(t *tomldoc.Table) {
	for _, key := range []string{"callers", "server", "ready", "ports"} {
		t.Require(key, "an address, or for ports the first and the last one")
	}
	s.callers = t.AddrPort("callers", netip.AddrPort{})
	s.server = t.AddrPort("server", netip.AddrPort{})
	s.ready = t.AddrPort("ready", netip.AddrPort{})
	text := t.Text("ports", "")
	first, err := firstPort(text)
	if err != nil && text != "" {
		t.AddFault("ports", "%q: %v; allowed are two port numbers with a comma between, at least two ports apart", text, err)
	}
	s.firstPort = first
	s.metricsPort = uint16(t.Int("metrics_port", int64(first)+1, 1, 1<<16-1))
}

// neededPorts is the number of ports for other nodes and for metrics.
const neededPorts = 2

func firstPort(text string) (uint16, error) {
	low, high, ok := strings.Cut(text, ",")
	if !ok {
		return 0, fmt.Errorf("not a range")
	}
	first, err := strconv.ParseUint(strings.TrimSpace(low), 10, 16)
	if err != nil {
		return 0, err
	}
	last, err := strconv.ParseUint(strings.TrimSpace(high), 10, 16)
	if err != nil {
		return 0, err
	}
	if first == 0 || last < first+neededPorts-1 {
		return 0, fmt.Errorf("too few ports")
	}
	return uint16(first), nil
}

// readSeeds reads addresses of other nodes, of which the ports do not matter.
func (s *Sidecar) readSeeds(t *tomldoc.Table) {
	text := t.Text("seeds", "")
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		seed, err := netip.ParseAddrPort(part)
		if err != nil {
			t.AddFault("seeds", "%q; allowed are IP numbers with ports, with commas between", part)
			continue
		}
		s.seeds = append(s.seeds, seed.Addr())
	}
}

func (s *Sidecar) readBounds(t *tomldoc.Table) {
	s.grace = t.Duration("grace", defaultGrace, minBound, maxBound)
	s.retries = Retries{
		share:   t.Float("retry_share", defaultFleetRetryShare, 0, 10),
		reserve: int(t.Int("retry_reserve", 0, 0, 1<<20)),
		window:  t.Duration("retry_window", defaultWindow, minBound, maxBound),
	}
}

// Name returns the name of the VM in logs.
func (s Sidecar) Name() string { return s.name }

// Place returns the region and the failure domain.
func (s Sidecar) Place() member.Place { return s.place }

// Service returns the service of the VM's backend server.
func (s Sidecar) Service() string { return s.service }

// FirstStart tells whether the whole fleet starts for the first time.
func (s Sidecar) FirstStart() bool { return s.firstStart }

// Memory returns the bytes that the process may use.
func (s Sidecar) Memory() int64 { return s.memory }

// Descriptors returns the number of files and sockets that the process may open.
func (s Sidecar) Descriptors() int { return s.descriptors }

// Callers returns the address for requests that begin on the VM.
func (s Sidecar) Callers() netip.AddrPort { return s.callers }

// Server returns the address for reports of the backend server.
func (s Sidecar) Server() netip.AddrPort { return s.server }

// Ready returns the address for readiness checks.
func (s Sidecar) Ready() netip.AddrPort { return s.ready }

// Peer returns the address for other nodes, over UDP and TCP.
func (s Sidecar) Peer() netip.AddrPort { return netip.AddrPortFrom(s.address, s.firstPort) }

// Hints returns the addresses at which other nodes may listen for nodes. They may be out of date.
func (s Sidecar) Hints() []netip.AddrPort {
	var hints []netip.AddrPort
	for _, seed := range s.seeds {
		if seed != s.address {
			hints = append(hints, netip.AddrPortFrom(seed, s.firstPort))
		}
	}
	return hints
}

// Equal tells whether two settings are the same.
func (s Sidecar) Equal(other Sidecar) bool { return reflect.DeepEqual(s, other) }

// Metrics returns the address for metrics.
func (s Sidecar) Metrics() netip.AddrPort { return netip.AddrPortFrom(s.address, s.metricsPort) }

// Store returns the address of the platform's store.
func (s Sidecar) Store() netip.AddrPort { return s.store }

// StoreKeep returns how long the store keeps the entries of a stream.
func (s Sidecar) StoreKeep() time.Duration { return s.storeKeep }

// Heartbeat returns the time between two reports of the backend server.
func (s Sidecar) Heartbeat() time.Duration { return s.heartbeat }

// Grace returns the time from SIGTERM until the process is killed.
func (s Sidecar) Grace() time.Duration { return s.grace }

// Retries returns what bounds second attempts.
func (s Sidecar) Retries() Retries { return s.retries }
