package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Ports of every node, on a loopback address of its own.
const (
	portPeer      = 7100
	portCallers   = 7101
	portServer    = 7102
	portObserve   = 7103
	portOperators = 7104
	portBackend   = 8100
	portLog       = 7000
)

// fleetName is the fleet to which all nodes of a rig belong.
const fleetName = "rig"

// Placement is where one node with its backend server runs.
type Placement struct {
	region  string
	domain  string
	service string
	slots   int
}

// NewPlacement returns the place of a node whose backend server belongs to service.
func NewPlacement(region, domain, service string, slots int) Placement {
	return Placement{region: region, domain: domain, service: service, slots: slots}
}

// KovaniDvor returns the twelve spots of Kovani Dvor: two regions, four failure domains, eight servers
// of narudzbe and four of radionica.
func KovaniDvor() []Placement {
	var spots []Placement
	for _, d := range []struct{ region, domain string }{
		{"jadran", "split"}, {"jadran", "rijeka"}, {"kontinent", "zagreb"}, {"kontinent", "osijek"},
	} {
		spots = append(spots,
			NewPlacement(d.region, d.domain, "narudzbe", 18),
			NewPlacement(d.region, d.domain, "narudzbe", 18),
			NewPlacement(d.region, d.domain, "radionica", 18))
	}
	return spots
}

// EvenPlacements returns n spots without backend servers, over the two regions and five failure domains of the
// size that the fleet is designed for.
func EvenPlacements(n int) []Placement {
	places := []struct{ region, domain string }{
		{"jadran", "split"}, {"kontinent", "zagreb"}, {"jadran", "rijeka"}, {"kontinent", "osijek"}, {"jadran", "zadar"},
	}
	spots := make([]Placement, n)
	for i := range spots {
		p := places[i%len(places)]
		spots[i] = NewPlacement(p.region, p.domain, "", 0)
	}
	return spots
}

// Fleet is a running fleet: one log, and per spot a node with its backend server.
type Fleet struct {
	programDir   string
	workDir      string
	networkBytes [2]byte
	placements   []Placement
	hintCount    int // nodes that all settings name
	log          *Process
	nodes        []*Process
	servers      []*Process
}

// New returns a fleet that runs the programs in bin and keeps settings files in work. Nothing is
// started yet.
func New(bin, work string, spots []Placement) (*Fleet, error) {
	f := &Fleet{programDir: bin, workDir: work, placements: spots, nodes: make([]*Process, len(spots)), servers: make([]*Process, len(spots))}
	const attempts = 50
	for range attempts {
		f.networkBytes = [2]byte{byte(1 + rand.IntN(250)), byte(rand.IntN(256))}
		if f.networkIsFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network after %d attempts", attempts)
}

func (f *Fleet) networkIsFree() bool {
	l, err := net.Listen("tcp", netip.AddrPortFrom(f.host(0), portLog).String())
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// host returns the loopback address of a node, or of the log at 0.
func (f *Fleet) host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.networkBytes[0], f.networkBytes[1], byte(i + 1)})
}

func (f *Fleet) nodeAddress(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(f.host(i+1), uint16(port))
}

// Size returns the number of nodes.
func (f *Fleet) Size() int { return len(f.placements) }

// Placement returns where node i runs.
func (f *Fleet) Placement(i int) Placement { return f.placements[i] }

// Service returns the service of the backend server.
func (s Placement) Service() string { return s.service }

// CallersAddress returns the address of node i for callers.
func (f *Fleet) CallersAddress(i int) netip.AddrPort { return f.nodeAddress(i, portCallers) }

// ObserveAddress returns the address of node i for metrics and readiness.
func (f *Fleet) ObserveAddress(i int) netip.AddrPort { return f.nodeAddress(i, portObserve) }

// OperatorsAddress returns the address of node i for operators.
func (f *Fleet) OperatorsAddress(i int) netip.AddrPort { return f.nodeAddress(i, portOperators) }

// BackendAddress returns the address of the backend server beside node i.
func (f *Fleet) BackendAddress(i int) netip.AddrPort { return f.nodeAddress(i, portBackend) }

// LogAddress returns the address of the log.
func (f *Fleet) LogAddress() netip.AddrPort { return netip.AddrPortFrom(f.host(0), portLog) }

// Log returns the process of the log.
func (f *Fleet) Log() *Process { return f.log }

// Node returns the process of node i.
func (f *Fleet) Node(i int) *Process { return f.nodes[i] }

// Server returns the process of the backend server beside node i.
func (f *Fleet) Server(i int) *Process { return f.servers[i] }

// Program returns the path of a built program.
func (f *Fleet) Program(name string) string { return filepath.Join(f.programDir, name) }

// UseHints has the settings of nodes started from now on name the first n nodes, so that they find the
// fleet without the log.
func (f *Fleet) UseHints(n int) { f.hintCount = n }

// StartAll starts the log, all nodes and all backend servers.
func (f *Fleet) StartAll() error {
	if err := f.StartLog(); err != nil {
		return err
	}
	for i := range f.placements {
		if err := f.StartNode(i); err != nil {
			return err
		}
		if f.placements[i].service == "" {
			continue
		}
		if err := f.StartServer(i); err != nil {
			return err
		}
	}
	return nil
}

// StartLog starts the stand-in for the platform's log. It holds what it held when it was killed.
func (f *Fleet) StartLog() (err error) {
	keep := filepath.Join(f.workDir, "log.entries")
	f.log, err = Start("log", f.Program("standinlog"), "--listen", f.LogAddress().String(), "--keep", keep)
	return err
}

// StartNode starts node i with new settings.
func (f *Fleet) StartNode(i int) error {
	path := filepath.Join(f.workDir, fmt.Sprintf("node%d.toml", i))
	if err := os.WriteFile(path, []byte(f.nodeSettings(i)), 0o600); err != nil {
		return err
	}
	var err error
	f.nodes[i], err = Start(fmt.Sprintf("node %d", i), f.Program("bambooknot"), "node", "--settings", path)
	return err
}

// StartServer starts the backend server beside node i.
func (f *Fleet) StartServer(i int, extra ...string) error {
	s := f.placements[i]
	args := append([]string{
		"--listen", f.BackendAddress(i).String(), "--node", f.nodeAddress(i, portServer).String(),
		"--service", s.service, "--slots", fmt.Sprint(s.slots),
	}, extra...)
	var err error
	f.servers[i], err = Start(fmt.Sprintf("server %d", i), f.Program("standinserver"), args...)
	return err
}

func (f *Fleet) nodeSettings(i int) string {
	s := f.placements[i]
	var b strings.Builder
	fmt.Fprintf(&b, "[fleet]\nname = %q\nlog_region = %q\n", fleetName, f.placements[0].region)
	if f.hintCount > 0 {
		peers := make([]string, f.hintCount)
		for n := range peers {
			peers[n] = strconv.Quote(f.nodeAddress(n, portPeer).String())
		}
		fmt.Fprintf(&b, "hints = [%s]\n", strings.Join(peers, ", "))
	}
	fmt.Fprintf(&b, "[node]\nregion = %q\nfailure_domain = %q\npeer = %q\n", s.region, s.domain, f.nodeAddress(i, portPeer))
	fmt.Fprintf(&b, "[listen]\ncallers = %q\nserver = %q\nobserve = %q\noperators = %q\n",
		f.CallersAddress(i), f.nodeAddress(i, portServer), f.ObserveAddress(i), f.OperatorsAddress(i))
	fmt.Fprintf(&b, "[log]\naddress = %q\n", f.LogAddress())
	return b.String()
}

// Close kills every process that still runs.
func (f *Fleet) Close() {
	all := append(append([]*Process{f.log}, f.nodes...), f.servers...)
	for _, p := range all {
		if p != nil && p.Running() {
			p.Kill()
		}
	}
}
