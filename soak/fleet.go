package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/rig"
)

// Ports of a node. Each node has a loopback address of its own.
const (
	portCallers = 7201
	portControl = 7202
	portReady   = 7203
	portInner   = 7210
	portStore   = 7220 // proxy between the node and the store
	portServer  = 7230 // proxy between the node and its backend server
	portBackend = 7231 // backend server of the node
)

// storeIndex identifies the store where functions take the index of a node.
const storeIndex = -1

// settingsTemplate holds the settings of a sidecar. In production the platform fills in its address, region and failure
// domain, and whether the fleet starts for the first time.
const settingsTemplate = `[vm]
name = "node-%[2]d"
address = "%[1]s"
region = "%[3]s"
failure_domain = "%[4]s"
service = "shop"
first_start = %[5]t
[listen]
callers = "%[1]s:7201"
server = "%[1]s:7202"
ready = "%[1]s:7203"
ports = "7210,7215"
[store]
address = "%[1]s:7220"
[server]
heartbeat = "200ms"
[bounds]
grace = "6s"
retry_share = 0.2
retry_reserve = 60
`

// locations are assigned to the nodes in turn.
var locations = []struct{ region, failureDomain string }{{"west", "w1"}, {"south", "s1"}, {"west", "w2"}, {"south", "s2"}}

// fleet is a fleet of real processes with proxies between them that inject faults.
type fleet struct {
	seed          uint64
	binDir        string
	oldBinDir     string // of an earlier version; empty if all nodes run the same
	dir           string
	network       [2]byte // second and third byte of the loopback addresses
	checker       *checker
	store         *rig.Process
	client        *http.Client
	backends      []*backend
	storeProxies  []*proxy
	serverProxies []*proxy
	closeOnce     sync.Once

	mu          sync.Mutex
	nodes       []*rig.Process
	startCounts []int        // starts of each node
	startedAt   []time.Time  // last start of each node
	upgraded    map[int]bool // nodes that run the newer of two versions
	version     int          // newest version that the store acknowledged
	ackedAt     time.Time    // when it did
}

// newFleet starts a store and size nodes with their backend servers. It returns the fleet also on errors, so that the
// caller can close it.
func newFleet(seed uint64, binDir, oldBinDir, dir string, size int) (*fleet, error) {
	f := &fleet{
		seed: seed, binDir: binDir, oldBinDir: oldBinDir, upgraded: make(map[int]bool), dir: dir, checker: newChecker(), client: &http.Client{Timeout: 5 * time.Second},
		nodes: make([]*rig.Process, size), startCounts: make([]int, size), startedAt: make([]time.Time, size),
	}
	rnd := rand.New(rand.NewPCG(uint64(os.Getpid()), seed))
	for {
		f.network = [2]byte{byte(1 + rnd.IntN(250)), byte(rnd.IntN(256))}
		l, err := net.Listen("tcp", f.storeAddress())
		if err == nil {
			_ = l.Close()
			break
		}
	}
	if err := f.startStore(); err != nil {
		return f, err
	}
	if err := f.publish(); err != nil {
		return f, err
	}
	for i := range size {
		if err := f.addNode(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) nodeIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], byte(i + 2)})
}

func (f *fleet) addrPort(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(f.nodeIP(i), uint16(port))
}

func (f *fleet) callerAddress(i int) netip.AddrPort { return f.addrPort(i, portCallers) }

func (f *fleet) storeAddress() string { return f.addrPort(storeIndex, portStore).String() }

func (f *fleet) startStore() error {
	p, err := rig.Start("store", filepath.Join(f.binDir, "standinlog"), "--listen", f.storeAddress(), "--rate", "400")
	if err != nil {
		return err
	}
	f.store = p
	return rig.WaitUntil(10*time.Second, func() error {
		resp, err := f.client.Get("http://" + f.storeAddress() + "/control/status")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	})
}

func (f *fleet) addNode(i int) error {
	storeProxy, err := newProxy(f.addrPort(i, portStore), f.storeAddress())
	if err != nil {
		return err
	}
	f.storeProxies = append(f.storeProxies, storeProxy)
	serverProxy, err := newProxy(f.addrPort(i, portServer), f.addrPort(i, portBackend).String())
	if err != nil {
		return err
	}
	f.serverProxies = append(f.serverProxies, serverProxy)
	b, err := newBackend(f.checker, []string{"alpha", "beta"}[i%2], f.addrPort(i, portBackend), f.addrPort(i, portControl).String(), rand.New(rand.NewPCG(f.seed, uint64(i))))
	if err != nil {
		return err
	}
	b.front = serverProxy
	b.advertise(serverProxy.address())
	f.backends = append(f.backends, b)
	return f.startNode(i, true)
}

// startNode starts or restarts node i. If first is set, the node's settings say that the fleet starts for the first time.
func (f *fleet) startNode(i int, first bool) error {
	location := locations[i%len(locations)]
	path := filepath.Join(f.dir, fmt.Sprintf("node-%d.toml", i))
	text := fmt.Sprintf(settingsTemplate, f.nodeIP(i), i, location.region, location.failureDomain, first)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := rig.Start(fmt.Sprintf("node %d", i), f.program(i), "sidecar", "--settings", path)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.nodes[i]; old != nil {
		f.appendLog(i, old)
	}
	f.nodes[i], f.startedAt[i] = p, time.Now()
	f.startCounts[i]++
	return nil
}

// program returns the path of the program that a node runs.
func (f *fleet) program(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	dir := f.binDir
	if f.oldBinDir != "" && !f.upgraded[i] {
		dir = f.oldBinDir
	}
	return filepath.Join(dir, "bambooknot")
}

// setUpgraded makes a node run the newer or the older of two versions from its next start on.
func (f *fleet) setUpgraded(i int, upgraded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upgraded[i] = upgraded
}

// appendLog appends the output of a process to the log file of its node.
func (f *fleet) appendLog(i int, p *rig.Process) {
	file, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("node-%d.log", i)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	_, _ = io.WriteString(file, p.Output())
	_ = file.Close()
}

func (f *fleet) process(i int) *rig.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

// lastStart returns the number of starts of a node and the time of the last start.
func (f *fleet) lastStart(i int) (int, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startCounts[i], f.startedAt[i]
}

// newestVersion returns the newest version acknowledged by the store and the time of the acknowledgement.
func (f *fleet) newestVersion() (int, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.ackedAt
}

// publish writes the next version of the configuration into the store. Each version adds a route and swaps the services
// of the routes /read/ and /pay/.
func (f *fleet) publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.write(f.version + 1); err != nil {
		return err
	}
	f.version, f.ackedAt = f.version+1, time.Now()
	return nil
}

// publishAgain lets the store return and publishes the versions that it has lost, those after kept, or the newest of them
// only.
func (f *fleet) publishAgain(kept int, all bool, restore func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	restore()
	first := kept + 1
	if !all {
		first = max(first, f.version)
	}
	for v := first; v <= f.version; v++ {
		if err := f.write(v); err != nil {
			f.checker.fail("publishing version %d again failed: %v", v, err)
		}
	}
}

// write appends the document of a version to the store.
func (f *fleet) write(version int) error {
	document := f.configDocument(version)
	entry := append([]byte{byte(len("config"))}, "config"+document...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(entry))), entry...)
	resp, err := f.client.Post("http://"+f.storeAddress()+"/v1/log-append?topic=keyed.op&part=0", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("publish: status %d", resp.StatusCode)
	}
	return nil
}

func (f *fleet) configDocument(version int) string {
	var routes []string
	route := func(prefix, kind string, service string) {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"a.example","path_prefix":%q,"kind":%q,"timeout":"1200ms","target_latency":"400ms","priority":1,"service":%q,"max_attempts":3}`,
			prefix, prefix, kind, service))
	}
	services := []string{"alpha", "beta"}
	route("/read/", "safe", services[version%2])
	route("/pay/", "unsafe", services[(version+1)%2])
	for v := 1; v <= version; v++ {
		route(fmt.Sprintf("/v%d/", v), "safe", services[v%2])
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"alpha","health_path":"/health","max_connections":100},{"name":"beta","health_path":"/health","max_connections":100}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"}}`, version, strings.Join(routes, ","))
}

// checkReady returns an error unless a node reports that it is ready for calls.
func (f *fleet) checkReady(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addrPort(i, portReady).String()+"/v1/readiness", nil)
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("node %d is not ready: status %d", i, resp.StatusCode)
	}
	return nil
}

func (f *fleet) checkAllReady() error {
	for i := range f.nodes {
		if err := f.checkReady(i); err != nil {
			return err
		}
	}
	return nil
}

// close stops all processes, backend servers and proxies, and saves the logs of the nodes. Further calls do nothing.
func (f *fleet) close() { f.closeOnce.Do(f.shutdown) }

func (f *fleet) shutdown() {
	for i, p := range f.nodes {
		if p != nil {
			p.Kill()
			f.appendLog(i, p)
		}
	}
	if f.store != nil {
		f.store.Kill()
	}
	for _, b := range f.backends {
		b.close()
	}
	for _, p := range append(f.storeProxies, f.serverProxies...) {
		p.close()
	}
}
