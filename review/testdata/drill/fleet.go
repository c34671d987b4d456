package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portOutbound = 7147
	portControl  = 7144
	portReady    = 7141
	portInner    = 7380
	portMetrics  = 9464
	portServer   = 7145
	portStore    = 7142
)

// settingsTemplate is deploy/sidecar.toml.tmpl with the figures of a small deployment.
const settingsTemplate = `[vm]
name = %[1]q
address = "%[2]s"
region = %[3]q
failure_domain = %[4]q
service = %[5]q
first_start = %[6]t
memory_mb = 284
descriptors = 4100
link_mbps = 1000.0

[listen]
callers = "%[2]s:7147"
server = "%[2]s:7144"
ready = "%[2]s:7141"
ports = "7380,7395"
metrics_port = 9464

[fleet]
seeds = ""

[store]
address = "%[7]s"
keep = "20s"

[server]
address = "%[2]s:7145"
heartbeat = "870ms"

[bounds]
grace = "6s"
retry_share = 0.2
retry_reserve = 60
retry_window = "10s"
quota_window = "5s"
quota_excess = 0.1
quota_slack = 20
`

// machine is one machine of the deployment: a sidecar process and the server beside it.
type machine struct {
	name, region, zone, service string
	ip                          netip.Addr

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	killed  bool // by the drill
	server  *server
	link    *link // to the store, if that is in another zone
}

func (m *machine) address(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }

func (m *machine) peer() netip.AddrPort { return netip.AddrPortFrom(m.ip, portInner) }

// deployment is the store and the machines of one drill.
type deployment struct {
	record   *record
	root     string // of the repository
	dir      string // temporary
	network  [2]byte
	store    *exec.Cmd
	stored   chan struct{}
	machines []*machine

	mu       sync.Mutex
	ownEnds  []string // sidecars that ended by themselves
	stopping bool
}

func newDeployment(r *record, root string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, root: root, dir: dir}
	for range 50 {
		d.network = [2]byte{byte(1 + rand.IntN(250)), byte(rand.IntN(250))}
		l, err := net.Listen("tcp", d.storeAddress())
		if err == nil {
			_ = l.Close()
			return d, d.startStore()
		}
	}
	return d, fmt.Errorf("no free loopback network")
}

// hostsPerNetwork is the number of addresses that are used of a network with a three-byte prefix.
const hostsPerNetwork = 250

// ip returns the loopback address of a machine, numbered from 1.
func (d *deployment) ip(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network[0], d.network[1] + byte(number/hostsPerNetwork), byte(1 + number%hostsPerNetwork)})
}

func (d *deployment) storeAddress() string {
	return netip.AddrPortFrom(d.ip(1), portStore).String()
}

func (d *deployment) startStore() error {
	d.store = exec.Command(filepath.Join(d.root, "target", "review", "standinlog"), "--listen", d.storeAddress(), "--rate", "400", "--retain-age", "20s", "--max-entry", "262144")
	d.store.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.store.Start(); err != nil {
		return err
	}
	d.stored = make(chan struct{})
	go func() { _ = d.store.Wait(); close(d.stored) }()
	for range 100 {
		if resp, err := http.Get("http://" + d.storeAddress() + "/control/status"); err == nil {
			_ = resp.Body.Close()
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the store does not start")
}

// publish writes the operator's configuration to the store.
func (d *deployment) publish(document string) error {
	entry := append([]byte{byte(len("config"))}, "config"+document...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(entry))), entry...)
	resp, err := http.Post("http://"+d.storeAddress()+"/v1/log-append?topic=keyed.op&part=0", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("publish: status %d", resp.StatusCode)
	}
	return nil
}

// add adds a machine without starting its processes.
func (d *deployment) add(last int, region, zone, service string) *machine {
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, last), region: region, zone: zone, service: service, ip: d.ip(last)}
	d.machines = append(d.machines, m)
	return m
}

// storeZone is the zone in which the store stands.
const storeZone = "galway-a"

// storeOf returns the address at which a machine reaches the store.
func (d *deployment) storeOf(m *machine) (string, error) {
	if m.zone == storeZone {
		return d.storeAddress(), nil
	}
	address := netip.AddrPortFrom(m.ip, portStore)
	if m.link == nil {
		l, err := newLink(address, d.storeAddress())
		if err != nil {
			return "", err
		}
		m.link = l
	}
	return address.String(), nil
}

// startSidecar starts the sidecar of a machine with the command of the deploy file.
func (d *deployment) startSidecar(m *machine, first bool) error {
	path := filepath.Join(d.dir, m.name+".toml")
	store, err := d.storeOf(m)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(settingsTemplate, m.name, m.ip, m.region, m.zone, m.service, first, store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(d.logPath(m), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(d.root, "target", "bambooknot"), "sidecar")
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BAMBOOKNOT_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.killed = cmd, exited, false
	m.mu.Unlock()
	go d.watch(m, cmd, exited)
	return nil
}

// watch records the end of a sidecar. One that ended by itself is started again after a short delay, as the platform does.
func (d *deployment) watch(m *machine, cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	m.mu.Lock()
	killed := m.killed
	m.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping || killed {
		return
	}
	d.record.write("ended  %s by itself: %v", m.name, err)
	d.recordPanic(m)
	d.ownEnds = append(d.ownEnds, m.name)
	time.AfterFunc(500*time.Millisecond, func() {
		d.mu.Lock()
		stopping := d.stopping
		d.mu.Unlock()
		if !stopping {
			d.record.write("start  %s again", m.name)
			_ = d.startSidecar(m, false)
		}
	})
}

// maxPanicLines bounds the lines of a panic in the record.
const maxPanicLines = 14

// recordPanic copies the panic of a sidecar from its log.
func (d *deployment) recordPanic(m *machine) {
	data, err := os.ReadFile(d.logPath(m))
	if err != nil {
		return
	}
	_, panicked, found := strings.Cut(string(data), "\npanic: ")
	if !found {
		return
	}
	for i, line := range strings.Split("panic: "+panicked, "\n") {
		if i == maxPanicLines {
			return
		}
		d.record.write("log    %s: %s", m.name, line)
	}
}

// logPath returns the path of the log of a sidecar.
func (d *deployment) logPath(m *machine) string { return filepath.Join(d.dir, m.name+".log") }

// kill sends SIGKILL to the sidecar of a machine and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	m.killed = true
	cmd, exited := m.process, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// ready reports whether a machine answers the platform's readiness check with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(portReady) + "/v1/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(limit time.Duration, machines ...*machine) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(200 * time.Millisecond) {
		missing := ""
		for _, m := range machines {
			if !m.ready() {
				missing = m.name
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready", missing)
		}
	}
}

// ends returns the names of the sidecars that ended by themselves.
func (d *deployment) ends() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.ownEnds...)
}

// close ends all processes and servers.
func (d *deployment) close() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	for _, m := range d.machines {
		m.kill()
		if m.server != nil {
			m.server.close()
		}
		if m.link != nil {
			m.link.close()
		}
	}
	if d.store != nil && d.store.Process != nil {
		_ = d.store.Process.Kill()
		<-d.stored
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
