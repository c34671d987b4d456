package setting

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/tomldoc"
)

// Default addresses. Only the address for callers has none.
var (
	defaultServer    = netip.MustParseAddrPort("127.0.0.1:7102")
	defaultObserve   = netip.MustParseAddrPort("127.0.0.1:7103")
	defaultOperators = netip.MustParseAddrPort("127.0.0.1:7104")
)

// Listen is the section [listen]: the addresses that a node serves over HTTP.
type Listen struct {
	callers   netip.AddrPort
	server    netip.AddrPort
	observe   netip.AddrPort
	operators netip.AddrPort
}

func readListen(t *tomldoc.Table) Listen {
	t.Require("callers", "an IP number with a port, such as \"10.0.0.7:7101\"")
	l := Listen{
		callers:   t.AddrPort("callers", netip.AddrPort{}),
		server:    t.AddrPort("server", defaultServer),
		observe:   t.AddrPort("observe", defaultObserve),
		operators: t.AddrPort("operators", defaultOperators),
	}
	allowRemote := t.Bool("allow_remote", false)
	if !l.server.Addr().IsLoopback() {
		t.AddFault("server", "%s; allowed is a loopback address, as the backend server stands beside the node", l.server)
	}
	if !l.operators.Addr().IsLoopback() && !allowRemote {
		t.AddFault("operators", "%s; allowed is a loopback address, or any address with allow_remote = true", l.operators)
	}
	return l
}

// Callers returns the address for callers' requests.
func (l Listen) Callers() netip.AddrPort { return l.callers }

// Server returns the loopback address at which the backend server announces itself.
func (l Listen) Server() netip.AddrPort { return l.server }

// Observe returns the address for metrics, readiness and liveness.
func (l Listen) Observe() netip.AddrPort { return l.observe }

// Operators returns the address of the operators' port.
func (l Listen) Operators() netip.AddrPort { return l.operators }

type listener struct {
	key  string
	addr netip.AddrPort
}

// checkAddresses faults addresses that are given to two listeners.
func (s Settings) checkAddresses(root *tomldoc.Table) {
	listeners := []listener{
		{"node.peer", s.node.peer},
		{"listen.callers", s.listen.callers},
		{"listen.server", s.listen.server},
		{"listen.observe", s.listen.observe},
		{"listen.operators", s.listen.operators},
	}
	taken := make(map[netip.AddrPort]string, len(listeners))
	for _, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		if other, ok := taken[l.addr]; ok {
			root.AddFault(l.key, "%s; allowed is an address of its own, but %s has the same", l.addr, other)
			continue
		}
		taken[l.addr] = l.key
	}
}
