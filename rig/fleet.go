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

// Ports of each node, its backend server and the log. Each node has a loopback address of its own.
const (
	portPeer      = 7100
	portCallers   = 7101
	portServer    = 7102
	portObserve   = 7103
	portOperators = 7104
	portBackend   = 8100
	portLog       = 7000
)

// fleetName is the name of the fleet in the settings of all nodes.
const fleetName = "rig"

// Placement is the location of one node and the service of its backend server.
type Placement struct {
	region  string
	domain  string
	service string
	slots   int
}

// NewPlacement returns the placement of a node in a region and failure domain, with a backend server of the service
// that processes slots calls concurrently. Without a service, the node has no backend server.
func NewPlacement(region, domain, service string, slots int) Placement {
	return Placement{region: region, domain: domain, service: service, slots: slots}
}

// KovaniDvor returns the twelve placements of Kovani Dvor: two regions, four failure domains, eight backend servers
// of narudzbe and four of radionica.
func KovaniDvor() []Placement {
	var placements []Placement
	for _, d := range []struct{ region, domain string }{
		{"jadran", "split"}, {"jadran", "rijeka"}, {"kontinent", "zagreb"}, {"kontinent", "osijek"},
	} {
		placements = append(placements,
			NewPlacement(d.region, d.domain, "narudzbe", 18),
			NewPlacement(d.region, d.domain, "narudzbe", 18),
			NewPlacement(d.region, d.domain, "radionica", 18))
	}
	return placements
}

// EvenPlacements returns n placements without backend servers, distributed evenly over two regions and five failure
// domains, as many as at the fleet size that the system is designed for.
func EvenPlacements(n int) []Placement {
	domains := []struct{ region, domain string }{
		{"jadran", "split"}, {"kontinent", "zagreb"}, {"jadran", "rijeka"}, {"kontinent", "osijek"}, {"jadran", "zadar"},
	}
	placements := make([]Placement, n)
	for i := range placements {
		d := domains[i%len(domains)]
		placements[i] = NewPlacement(d.region, d.domain, "", 0)
	}
	return placements
}

// Fleet is a set of processes: one log and, for each placement, a node and its backend server if it has one.
type Fleet struct {
	programDir   string
	workDir      string
	networkBytes [2]byte
	placements   []Placement
	hintCount    int // nodes named as hints in the settings
	log          *Process
	nodes        []*Process
	servers      []*Process
}

// New returns a fleet that runs the programs in programDir and writes its files to workDir. It starts no process.
func New(programDir, workDir string, placements []Placement) (*Fleet, error) {
	f := &Fleet{
		programDir: programDir,
		workDir:    workDir,
		placements: placements,
		nodes:      make([]*Process, len(placements)),
		servers:    make([]*Process, len(placements)),
	}
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

// host returns the loopback address of the log for 0 and of node i-1 for i.
func (f *Fleet) host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.networkBytes[0], f.networkBytes[1], byte(i + 1)})
}

func (f *Fleet) nodeAddress(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(f.host(i+1), uint16(port))
}

// Size returns the number of nodes.
func (f *Fleet) Size() int { return len(f.placements) }

// Placement returns the placement of node i.
func (f *Fleet) Placement(i int) Placement { return f.placements[i] }

// Service returns the service of the backend server, empty if the node has none.
func (p Placement) Service() string { return p.service }

// CallersAddress returns the address on which node i serves callers.
func (f *Fleet) CallersAddress(i int) netip.AddrPort { return f.nodeAddress(i, portCallers) }

// ObserveAddress returns the address on which node i serves metrics and readiness.
func (f *Fleet) ObserveAddress(i int) netip.AddrPort { return f.nodeAddress(i, portObserve) }

// OperatorsAddress returns the address on which node i serves operators.
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

// Program returns the path of an executable.
func (f *Fleet) Program(name string) string { return filepath.Join(f.programDir, name) }

// UseHints makes the settings of nodes started from now on name the first n nodes as hints, so that these nodes can
// join the fleet while the log is down.
func (f *Fleet) UseHints(n int) { f.hintCount = n }

// StartAll starts the log, all nodes and all backend servers. It does not wait until they are ready.
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

// StartLog starts the stand-in for the platform's log service. Entries persist across restarts.
func (f *Fleet) StartLog() (err error) {
	entriesPath := filepath.Join(f.workDir, "log.entries")
	f.log, err = Start("log", f.Program("standinlog"), "--listen", f.LogAddress().String(), "--keep", entriesPath)
	return err
}

// StartNode writes the settings of node i and starts it.
func (f *Fleet) StartNode(i int) error {
	path := filepath.Join(f.workDir, fmt.Sprintf("node%d.toml", i))
	if err := os.WriteFile(path, []byte(f.nodeSettings(i)), 0o600); err != nil {
		return err
	}
	var err error
	f.nodes[i], err = Start(fmt.Sprintf("node %d", i), f.Program("bambooknot"), "node", "--settings", path)
	return err
}

// StartServer starts the backend server beside node i, with extra arguments for the command line.
func (f *Fleet) StartServer(i int, extraArgs ...string) error {
	p := f.placements[i]
	args := append([]string{
		"--listen", f.BackendAddress(i).String(), "--node", f.nodeAddress(i, portServer).String(),
		"--service", p.service, "--slots", fmt.Sprint(p.slots),
	}, extraArgs...)
	var err error
	f.servers[i], err = Start(fmt.Sprintf("server %d", i), f.Program("standinserver"), args...)
	return err
}

func (f *Fleet) nodeSettings(i int) string {
	p := f.placements[i]
	var b strings.Builder
	fmt.Fprintf(&b, "[fleet]\nname = %q\nlog_region = %q\n", fleetName, f.placements[0].region)
	if f.hintCount > 0 {
		peers := make([]string, f.hintCount)
		for n := range peers {
			peers[n] = strconv.Quote(f.nodeAddress(n, portPeer).String())
		}
		fmt.Fprintf(&b, "hints = [%s]\n", strings.Join(peers, ", "))
	}
	fmt.Fprintf(&b, "[node]\nregion = %q\nfailure_domain = %q\npeer = %q\n", p.region, p.domain, f.nodeAddress(i, portPeer))
	fmt.Fprintf(&b, "[listen]\ncallers = %q\nserver = %q\nobserve = %q\noperators = %q\n",
		f.CallersAddress(i), f.nodeAddress(i, portServer), f.ObserveAddress(i), f.OperatorsAddress(i))
	fmt.Fprintf(&b, "[log]\naddress = %q\n", f.LogAddress())
	return b.String()
}

// Close kills all processes that are still running.
func (f *Fleet) Close() {
	all := append(append([]*Process{f.log}, f.nodes...), f.servers...)
	for _, p := range all {
		if p != nil && p.Running() {
			p.Kill()
		}
	}
}
