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
	minMemoryMB              = 32
	maxMemoryMB              = 1 << 20
	maxLinkMbps              = 1e6
	minDescriptorLimit       = 256
	maxDescriptorLimit       = 1 << 20
	defaultHeartbeatInterval = 1500 * time.Millisecond
	defaultGracePeriod       = 6 * time.Second
	defaultRetention         = 20 * time.Second
	minRetention             = time.Second
	maxRetention             = 30 * 24 * time.Hour
	defaultRetryWindow       = 10 * time.Second
	defaultFleetRetryShare   = 0.1
	defaultRollbackTime      = 5 * time.Second
	defaultQuotaWindow       = 5 * time.Second
	defaultQuotaExcess       = 0.1
	minDuration              = 10 * time.Millisecond
	maxDuration              = 10 * time.Minute
)

// Sidecar holds the settings of a sidecar, a node that reads its routes from the operator's document in the platform's
// store: a node.Sidecar. The platform creates the settings file from a template.
type Sidecar struct {
	name              string
	address           netip.Addr
	place             member.Place
	service           string
	firstStart        bool
	memoryLimit       int64
	maxDescriptors    int
	linkMbps          float64
	callerAddress     netip.AddrPort
	heartbeatAddress  netip.AddrPort
	readinessAddress  netip.AddrPort
	firstPort         uint16
	metricsPort       uint16
	storeAddress      netip.AddrPort
	storeRetention    time.Duration
	serverAddress     netip.AddrPort
	seeds             []netip.Addr
	heartbeatInterval time.Duration
	gracePeriod       time.Duration
	retryBudget       RetryBudget
	rollouts          RolloutBounds
	quotas            QuotaBounds
}

// RetryBudget limits the retries that all nodes of a fleet make together.
type RetryBudget struct {
	share   float64
	reserve int
	window  time.Duration
}

// Share returns the number of retries permitted per request within a window.
func (r RetryBudget) Share() float64 { return r.share }

// Reserve returns the number of retries that all nodes together may make within a window in addition to the share.
func (r RetryBudget) Reserve() int { return r.reserve }

// Window returns the length of the window.
func (r RetryBudget) Window() time.Duration { return r.window }

// RolloutBounds limit what a bad version of a service may do. The zero value means that the fleet ignores versions.
type RolloutBounds struct {
	exposureShare float64
	exposureSlack int
	rollbackTime  time.Duration
}

// Enabled reports whether the fleet moves traffic between versions by orders of the operator.
func (r RolloutBounds) Enabled() bool { return r.exposureShare > 0 }

// ExposureShare returns the greatest share of a service's requests that may reach a bad version during a roll-out.
func (r RolloutBounds) ExposureShare() float64 { return r.exposureShare }

// ExposureSlack returns the number of requests that may reach a bad version in addition to the share.
func (r RolloutBounds) ExposureSlack() int { return r.exposureSlack }

// RollbackTime returns the time after the evidence against a bad version from which it may get no further request.
func (r RolloutBounds) RollbackTime() time.Duration { return r.rollbackTime }

// QuotaBounds state how exactly the nodes together have to keep to the quotas of organisations.
type QuotaBounds struct {
	window time.Duration
	excess float64
	slack  int
}

// Window returns the span within which the quotas hold.
func (q QuotaBounds) Window() time.Duration { return q.window }

// Excess returns the share by which the requests within a window may exceed the quota.
func (q QuotaBounds) Excess() float64 { return q.excess }

// Slack returns the number of requests within a window that are permitted in addition.
func (q QuotaBounds) Slack() int { return q.slack }

// LoadSidecar reads and validates the settings file of a sidecar. The error is a *tomldoc.FaultsError with every fault
// of the file.
func LoadSidecar(path string) (Sidecar, error) {
	doc, err := tomldoc.Load(path)
	if err != nil {
		return Sidecar{}, err
	}
	return readSidecar(doc)
}

// ParseSidecar parses and validates settings of a sidecar. Faults use file as the name of their source.
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
	s.storeAddress = store.AddrPort("address", netip.AddrPort{})
	s.storeRetention = store.Duration("keep", defaultRetention, minRetention, maxRetention)
	server := root.Table("server")
	s.serverAddress = server.AddrPort("address", netip.AddrPort{})
	s.heartbeatInterval = server.Duration("heartbeat", defaultHeartbeatInterval, minDuration, maxDuration)
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
	s.memoryLimit = t.Int("memory_mb", 256, minMemoryMB, maxMemoryMB) << 20
	s.linkMbps = t.Float("link_mbps", 0, 0, maxLinkMbps)
	s.maxDescriptors = int(t.Int("descriptors", 1024, minDescriptorLimit, maxDescriptorLimit))
}

func (s *Sidecar) readListen(t *tomldoc.Table) {
	for _, key := range []string{"callers", "server", "ready", "ports"} {
		t.Require(key, "an address, or for ports the first and the last port")
	}
	s.callerAddress = t.AddrPort("callers", netip.AddrPort{})
	s.heartbeatAddress = t.AddrPort("server", netip.AddrPort{})
	s.readinessAddress = t.AddrPort("ready", netip.AddrPort{})
	text := t.Text("ports", "")
	first, err := parseFirstPort(text)
	if err != nil && text != "" {
		t.AddFault("ports", "%q: %v; allowed are the first and the last port of a range of at least two, separated by a comma", text, err)
	}
	s.firstPort = first
	s.metricsPort = uint16(t.Int("metrics_port", int64(first)+1, 1, 1<<16-1))
}

// minPorts is the number of ports that a sidecar needs: one for other nodes and one for metrics.
const minPorts = 2

func parseFirstPort(text string) (uint16, error) {
	low, high, ok := strings.Cut(text, ",")
	if !ok {
		return 0, fmt.Errorf("not two ports separated by a comma")
	}
	first, err := strconv.ParseUint(strings.TrimSpace(low), 10, 16)
	if err != nil {
		return 0, err
	}
	last, err := strconv.ParseUint(strings.TrimSpace(high), 10, 16)
	if err != nil {
		return 0, err
	}
	if first == 0 || last < first+minPorts-1 {
		return 0, fmt.Errorf("fewer than two ports, or port 0")
	}
	return uint16(first), nil
}

// readSeeds reads addresses of other nodes and ignores their ports.
func (s *Sidecar) readSeeds(t *tomldoc.Table) {
	text := t.Text("seeds", "")
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		seed, err := netip.ParseAddrPort(part)
		if err != nil {
			t.AddFault("seeds", "%q; allowed are IP numbers with ports, separated by commas", part)
			continue
		}
		s.seeds = append(s.seeds, seed.Addr())
	}
}

func (s *Sidecar) readBounds(t *tomldoc.Table) {
	s.gracePeriod = t.Duration("grace", defaultGracePeriod, minDuration, maxDuration)
	s.retryBudget = RetryBudget{
		share:   t.Float("retry_share", defaultFleetRetryShare, 0, 10),
		reserve: int(t.Int("retry_reserve", 0, 0, 1<<20)),
		window:  t.Duration("retry_window", defaultRetryWindow, minDuration, maxDuration),
	}
	s.rollouts = RolloutBounds{
		exposureShare: t.Float("exposure_share", 0, 0, 1),
		exposureSlack: int(t.Int("exposure_slack", 0, 0, 1<<20)),
		rollbackTime:  t.Duration("rollback", defaultRollbackTime, minDuration, maxDuration),
	}
	s.quotas = QuotaBounds{
		window: t.Duration("quota_window", defaultQuotaWindow, minDuration, maxDuration),
		excess: t.Float("quota_excess", defaultQuotaExcess, 0, 10),
		slack:  int(t.Int("quota_slack", 0, 0, 1<<20)),
	}
}

// Name returns the name of the VM in logs.
func (s Sidecar) Name() string { return s.name }

// Place returns the region and the failure domain.
func (s Sidecar) Place() member.Place { return s.place }

// Service returns the service of the VM's backend server.
func (s Sidecar) Service() string { return s.service }

// FirstStart reports whether the whole fleet starts for the first time. If so, the first backend server that sends a
// heartbeat needs no health check.
func (s Sidecar) FirstStart() bool { return s.firstStart }

// MemoryLimit returns the number of bytes that the process may use.
func (s Sidecar) MemoryLimit() int64 { return s.memoryLimit }

// MaxDescriptors returns the maximum number of files and sockets that the process may have open.
func (s Sidecar) MaxDescriptors() int { return s.maxDescriptors }

// LinkBytesPerSecond returns what the link of the VM carries, 0 for no limit.
func (s Sidecar) LinkBytesPerSecond() float64 { return s.linkMbps * 1e6 / 8 }

// CallerAddress returns the address for requests that originate on the VM.
func (s Sidecar) CallerAddress() netip.AddrPort { return s.callerAddress }

// HeartbeatAddress returns the address for heartbeats of the backend server.
func (s Sidecar) HeartbeatAddress() netip.AddrPort { return s.heartbeatAddress }

// ReadinessAddress returns the address for readiness checks.
func (s Sidecar) ReadinessAddress() netip.AddrPort { return s.readinessAddress }

// PeerAddress returns the address for messages and calls of other nodes, over UDP and TCP.
func (s Sidecar) PeerAddress() netip.AddrPort { return netip.AddrPortFrom(s.address, s.firstPort) }

// Hints returns peer addresses at which other nodes may be reachable. They may be out of date.
func (s Sidecar) Hints() []netip.AddrPort {
	var hints []netip.AddrPort
	for _, seed := range s.seeds {
		if seed != s.address {
			hints = append(hints, netip.AddrPortFrom(seed, s.firstPort))
		}
	}
	return hints
}

// Equal reports whether s and other are the same settings.
func (s Sidecar) Equal(other Sidecar) bool { return reflect.DeepEqual(s, other) }

// MetricsAddress returns the address for metrics.
func (s Sidecar) MetricsAddress() netip.AddrPort { return netip.AddrPortFrom(s.address, s.metricsPort) }

// StoreAddress returns the address of the platform's store, which is its log service.
func (s Sidecar) StoreAddress() netip.AddrPort { return s.storeAddress }

// StoreRetention returns the time for which the store keeps the entries of a stream.
func (s Sidecar) StoreRetention() time.Duration { return s.storeRetention }

// ServerAddress returns the address of the backend server on the VM, or the zero value if only its heartbeats state it.
func (s Sidecar) ServerAddress() netip.AddrPort { return s.serverAddress }

// HeartbeatInterval returns the time between two heartbeats of the backend server.
func (s Sidecar) HeartbeatInterval() time.Duration { return s.heartbeatInterval }

// GracePeriod returns the time from SIGTERM until the platform kills the process.
func (s Sidecar) GracePeriod() time.Duration { return s.gracePeriod }

// RetryBudget returns the limits of retries.
func (s Sidecar) RetryBudget() RetryBudget { return s.retryBudget }

// Rollouts returns the limits of roll-outs.
func (s Sidecar) Rollouts() RolloutBounds { return s.rollouts }

// Quotas returns how exactly quotas of organisations have to be kept.
func (s Sidecar) Quotas() QuotaBounds { return s.quotas }
