//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portReady   = 8141
	portStore   = 8142
	portControl = 8144
	portApp     = 8145
	portCallers = 8147
	portInner   = 7380
)

// settingsTemplate is deploy/sidecar.toml.tmpl with the values that `fleetbench wire` shows for cloghan-lists.
const settingsTemplate = `[vm]
name = "sidecar-%[2]d"
address = "%[1]s"
region = "%[6]s"
failure_domain = "%[7]s"
service = "%[3]s"
first_start = %[4]t
memory_mb = 284
descriptors = 4100
link_mbps = 1000.0

[listen]
callers = "%[1]s:8147"
server = "%[1]s:8144"
ready = "%[1]s:8141"
ports = "7380,7395"
metrics_port = 9464

[fleet]
seeds = ""

[store]
address = "%[5]s:8142"
keep = "300s"

[server]
address = "%[1]s:8145"
heartbeat = "870ms"

[bounds]
grace = "6s"
retry_share = 0.2
retry_reserve = 60
retry_window = "10s"
`

const memoryLimit = 284 << 20 // bytes, memory_mb of the settings

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root    string // of the repository
	dir     string // temporary
	network string // first three bytes of the addresses
	record  *record
	store   *exec.Cmd
	client  *http.Client

	mu       sync.Mutex
	machines []*machine
	closed   bool
}

// machine is one machine with its sidecar process and its server.
type machine struct {
	fleet   *fleet
	index   int
	ip      string
	zone    string
	service string
	server  *server

	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{} // closed when the process has ended
	starts    int
	disturbed time.Time // last start of the process, or last signal to it

	peakMemory int64 // in bytes, used by limitMemory
}

func newFleet(root string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: r, client: &http.Client{Timeout: 3 * time.Second}}
	for n := os.Getpid(); ; n++ {
		f.network = fmt.Sprintf("127.%d.%d", 10+n%200, 1+n/200%250)
		l, err := net.Listen("tcp", f.storeAddress())
		if err == nil {
			_ = l.Close()
			break
		}
	}
	f.store = exec.Command(filepath.Join(root, "target", "review-2", "standinlog"), "--listen", f.storeAddress(), "--rate", "400", "--max-entry", "262144", "--retain-age", "300s")
	f.store.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.store.Start(); err != nil {
		return f, err
	}
	return f, waitUntil(5*time.Second, func() bool {
		conn, err := net.Dial("tcp", f.storeAddress())
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

func waitUntil(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not reached within %v", limit)
}

func (f *fleet) storeAddress() string { return f.network + ".1:" + strconv.Itoa(portStore) }

// putConfig writes a configuration as the operator does.
func (f *fleet) putConfig(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	entry := append([]byte{byte(len("config"))}, "config"...)
	entry = append(entry, value...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(entry))), entry...)
	resp, err := f.client.Post("http://"+f.storeAddress()+"/v1/log-append?topic=keyed.op&part=0", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", resp.StatusCode)
	}
	f.record.printf("operator: version %v acknowledged", config["version"])
	return nil
}

// regions are the regions of the zones.
var regions = map[string]string{"galway-a": "ie-west", "galway-b": "ie-west", "cork-a": "ie-south", "cork-b": "ie-south"}

// addMachine starts a machine in a zone with a server of a service.
func (f *fleet) addMachine(zone, service string, settings serverSettings) (*machine, error) {
	m := &machine{fleet: f, index: len(f.machines), zone: zone, service: service}
	m.ip = fmt.Sprintf("%s.%d", f.network, m.index+2)
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	var err error
	if m.server, err = newServer(m, settings); err != nil {
		return m, err
	}
	if err = m.start(true); err != nil {
		return m, err
	}
	go m.server.beat()
	return m, nil
}

func (m *machine) settingsPath() string {
	return filepath.Join(m.fleet.dir, fmt.Sprintf("boot-%d.conf", m.index))
}

// start starts the sidecar process with the command of the deploy file.
func (m *machine) start(first bool) error {
	text := fmt.Sprintf(settingsTemplate, m.ip, m.index, m.service, first, m.fleet.network+".1", regions[m.zone], m.zone)
	if err := os.WriteFile(m.settingsPath(), []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.fleet.root, "target", "bambooknot"), "sidecar")
	cmd.Dir = m.fleet.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAMBOOKNOT_SETTINGS=" + m.settingsPath()}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, fmt.Sprintf("node-%d.log", m.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.disturbed = cmd, ended, time.Now()
	m.starts++
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the sidecar process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s)
	m.disturbed = time.Now()
}

// kill ends the sidecar process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.awaitEnd()
}

// disturbedAt returns the time of the last start of the sidecar process, or of the last signal to it.
func (m *machine) disturbedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disturbed
}

// awaitEnd waits until the sidecar process has ended.
func (m *machine) awaitEnd() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// memory returns the resident memory of the sidecar process in bytes, without what it maps from files.
func (m *machine) memory() int64 {
	m.mu.Lock()
	pid := m.process.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 3 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	shared, _ := strconv.ParseInt(fields[2], 10, 64)
	return (pages - shared) * int64(os.Getpagesize())
}

// ready asks the sidecar whether it is ready, as the platform does.
func (m *machine) ready() bool {
	resp, err := m.fleet.client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) callers() string { return fmt.Sprintf("%s:%d", m.ip, portCallers) }

// awaitReady waits until all sidecars are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	return waitUntil(limit, func() bool {
		for _, m := range f.machines {
			if !m.ready() {
				return false
			}
		}
		return true
	})
}

// close ends all processes and servers.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, m := range f.machines {
		if m.server != nil {
			m.server.close()
		}
		if m.process != nil {
			m.kill()
		}
	}
	if f.store != nil && f.store.Process != nil {
		_ = f.store.Process.Kill()
		_ = f.store.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
