package setting

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/tomldoc"
)

// Default addresses. The address for callers has no default.
var (
	defaultServer    = netip.MustParseAddrPort("127.0.0.1:7102")
	defaultObserve   = netip.MustParseAddrPort("127.0.0.1:7103")
	defaultOperators = netip.MustParseAddrPort("127.0.0.1:7104")
)

// Listen is the section [listen]: the addresses on which a node serves HTTP.
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
		t.AddFault("server", "%s; allowed is a loopback address, as the backend server runs on the node's VM", l.server)
	}
	if !l.operators.Addr().IsLoopback() && !allowRemote {
		t.AddFault("operators", "%s; allowed is a loopback address, or any address with allow_remote = true", l.operators)
	}
	return l
}

// Callers returns the address for callers' requests.
func (l Listen) Callers() netip.AddrPort { return l.callers }

// Server returns the loopback address for announcements of the backend server.
func (l Listen) Server() netip.AddrPort { return l.server }

// Observe returns the address for metrics, readiness and liveness.
func (l Listen) Observe() netip.AddrPort { return l.observe }

// Operators returns the address for operators' requests.
func (l Listen) Operators() netip.AddrPort { return l.operators }

type listener struct {
	key  string
	addr netip.AddrPort
}

// checkAddresses reports a fault for each address that is used by two listeners.
func (s Settings) checkAddresses(root *tomldoc.Table) {
	listeners := []listener{
		{"node.peer", s.node.peerAddress},
		{"listen.callers", s.listen.callers},
		{"listen.server", s.listen.server},
		{"listen.observe", s.listen.observe},
		{"listen.operators", s.listen.operators},
	}
	keyByAddress := make(map[netip.AddrPort]string, len(listeners))
	for _, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		if other, ok := keyByAddress[l.addr]; ok {
			root.AddFault(l.key, "%s; allowed is an address that no other listener uses, but %s has the same", l.addr, other)
			continue
		}
		keyByAddress[l.addr] = l.key
	}
}
