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

// Ports of a node, on a loopback address of its own.
const (
	portCallers = 7201
	portControl = 7202
	portReady   = 7203
	portInner   = 7210
	portStore   = 7220 // the node's way to the store, through a proxy
	portServer  = 7230 // its server, through a proxy
	portBackend = 7231 // its server itself
)

// store stands for the store where a node is named.
const store = -1

// settingsText is what the platform would fill in: the host, the region and failure domain, whether the fleet starts
// for the first time.
const settingsText = `[vm]
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

var regions = []struct{ region, domain string }{{"west", "w1"}, {"south", "s1"}, {"west", "w2"}, {"south", "s2"}}

// world is one fleet of real processes with the faults between them.
type world struct {
	seed     uint64
	bin      string
	dir      string
	network  [2]byte
	checks   *checks
	store    *rig.Process
	client   *http.Client
	backends []*backend
	toStore  []*proxy
	toServer []*proxy
	closing  sync.Once

	mu      sync.Mutex
	nodes   []*rig.Process
	boots   []int
	started []time.Time
	version int
	acked   time.Time
}

// newWorld starts a store and size nodes with their backend servers.
func newWorld(seed uint64, bin, dir string, size int) (*world, error) {
	w := &world{
		seed: seed, bin: bin, dir: dir, checks: newChecks(), client: &http.Client{Timeout: 5 * time.Second},
		nodes: make([]*rig.Process, size), boots: make([]int, size), started: make([]time.Time, size),
	}
	rnd := rand.New(rand.NewPCG(uint64(os.Getpid()), seed))
	for {
		w.network = [2]byte{byte(1 + rnd.IntN(250)), byte(rnd.IntN(256))}
		l, err := net.Listen("tcp", w.storeAddress())
		if err == nil {
			_ = l.Close()
			break
		}
	}
	if err := w.startStore(); err != nil {
		return w, err
	}
	if err := w.publish(); err != nil {
		return w, err
	}
	for i := range size {
		if err := w.addNode(i); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network[0], w.network[1], byte(i + 2)})
}

func (w *world) at(i, port int) netip.AddrPort { return netip.AddrPortFrom(w.host(i), uint16(port)) }

func (w *world) callersOf(i int) netip.AddrPort { return w.at(i, portCallers) }

func (w *world) storeAddress() string { return w.at(store, portStore).String() }

func (w *world) startStore() error {
	p, err := rig.Start("store", filepath.Join(w.bin, "standinlog"), "--listen", w.storeAddress(), "--keep", filepath.Join(w.dir, "store"), "--rate", "400")
	if err != nil {
		return err
	}
	w.store = p
	return rig.WaitUntil(10*time.Second, func() error {
		resp, err := w.client.Get("http://" + w.storeAddress() + "/control/status")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	})
}

func (w *world) addNode(i int) error {
	toStore, err := newProxy(w.at(i, portStore), w.storeAddress())
	if err != nil {
		return err
	}
	w.toStore = append(w.toStore, toStore)
	toServer, err := newProxy(w.at(i, portServer), w.at(i, portBackend).String())
	if err != nil {
		return err
	}
	w.toServer = append(w.toServer, toServer)
	b, err := newBackend(w.checks, []string{"alpha", "beta"}[i%2], w.at(i, portBackend), w.at(i, portControl).String(), rand.New(rand.NewPCG(w.seed, uint64(i))))
	if err != nil {
		return err
	}
	b.advertise(toServer.address())
	w.backends = append(w.backends, b)
	return w.startNode(i, true)
}

// startNode starts node i, for the first time or anew.
func (w *world) startNode(i int, first bool) error {
	place := regions[i%len(regions)]
	path := filepath.Join(w.dir, fmt.Sprintf("node-%d.toml", i))
	text := fmt.Sprintf(settingsText, w.host(i), i, place.region, place.domain, first)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := rig.Start(fmt.Sprintf("node %d", i), filepath.Join(w.bin, "bambooknot"), "sidecar", "--settings", path)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.nodes[i]; old != nil {
		w.keepLog(i, old)
	}
	w.nodes[i], w.started[i] = p, time.Now()
	w.boots[i]++
	return nil
}

// keepLog appends what a process has printed to the log of its node.
func (w *world) keepLog(i int, p *rig.Process) {
	file, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("node-%d.log", i)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	_, _ = io.WriteString(file, p.Output())
	_ = file.Close()
}

func (w *world) process(i int) *rig.Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i]
}

// boot returns the number of starts of a node, and the time of the last one.
func (w *world) boot(i int) (int, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boots[i], w.started[i]
}

// newest returns the newest acknowledged version and when it was acknowledged.
func (w *world) newest() (int, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, w.acked
}

// publish writes the next version into the store. It adds a route, and moves the others to the other service by
// turns.
func (w *world) publish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := w.version + 1
	document := w.document(version)
	entry := append([]byte{byte(len("config"))}, "config"+document...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(entry))), entry...)
	resp, err := w.client.Post("http://"+w.storeAddress()+"/v1/log-append?topic=keyed.op&part=0", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("publish: status %d", resp.StatusCode)
	}
	w.version, w.acked = version, time.Now()
	return nil
}

func (w *world) document(version int) string {
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

// ready tells whether a node takes callers.
func (w *world) ready(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.at(i, portReady).String()+"/v1/readiness", nil)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("node %d is not ready: status %d", i, resp.StatusCode)
	}
	return nil
}

func (w *world) allReady() error {
	for i := range w.nodes {
		if err := w.ready(i); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything that was started, and keeps the logs. Further calls do nothing.
func (w *world) close() { w.closing.Do(w.end) }

func (w *world) end() {
	for i, p := range w.nodes {
		if p != nil {
			p.Kill()
			w.keepLog(i, p)
		}
	}
	if w.store != nil {
		w.store.Kill()
	}
	for _, b := range w.backends {
		b.close()
	}
	for _, p := range append(w.toStore, w.toServer...) {
		p.close()
	}
}
