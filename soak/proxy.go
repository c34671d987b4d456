package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// fault is the way in which a proxy disturbs its connections.
type fault uint8

const (
	faultNone    fault = iota
	faultDelay         // each read is forwarded late
	faultReset         // open and new connections are reset
	faultOneWay        // data from the target is discarded
	faultSilence       // all data is discarded, connections stay open
)

var faultNames = [...]string{"none", "delay", "reset", "one-way", "silence"}

func (f fault) String() string { return faultNames[f] }

// faultDelayTime is the delay that faultDelay adds to each read.
const faultDelayTime = 150 * time.Millisecond

// proxy forwards TCP connections to a target and injects faults.
type proxy struct {
	listenAddress netip.AddrPort
	target        string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	closed   bool
	fault    fault
	conns    map[net.Conn]bool
	wg       sync.WaitGroup
}

func newProxy(listen netip.AddrPort, target string) (*proxy, error) {
	p := &proxy{listenAddress: listen, target: target, conns: make(map[net.Conn]bool)}
	return p, p.listen()
}

// listen accepts connections, unless the proxy is closed.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.listenAddress.String())
	if err != nil {
		return err
	}
	p.listener = l
	p.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.serve(conn) })
		}
	})
	return nil
}

// stopListening refuses new connections and resets the open ones, as if the target had ended.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) address() netip.AddrPort { return p.listenAddress }

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// setFault starts a fault, or ends it with faultNone. faultReset resets open connections at once. The end of a fault that
// discards data resets them too, as their streams are incomplete.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	discarding := p.fault == faultSilence || p.fault == faultOneWay
	p.fault = f
	if f == faultReset || discarding && f == faultNone {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == faultReset {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) untrack(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) serve(conn net.Conn) {
	if !p.track(conn) {
		return
	}
	defer p.untrack(conn)
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn)
		return
	}
	if !p.track(targetConn) {
		return
	}
	defer p.untrack(targetConn)
	var copies sync.WaitGroup
	copies.Go(func() { p.copyStream(targetConn, conn, false) })
	copies.Go(func() { p.copyStream(conn, targetConn, true) })
	copies.Wait()
}

// copyStream copies one direction of a connection until it ends, then closes both ends.
func (p *proxy) copyStream(to, from net.Conn, fromTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		switch f := p.currentFault(); {
		case f == faultDelay:
			time.Sleep(faultDelayTime)
		case f == faultSilence, f == faultOneWay && fromTarget:
			n = 0
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stopListening()
	p.setFault(faultReset)
	p.wg.Wait()
}
