package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// harm is what a proxy does to the connections through it.
type harm uint8

const (
	harmNone    harm = iota
	harmDelay        // each piece is late
	harmReset        // connections are reset, new ones too
	harmOneWay       // what comes back is swallowed
	harmSilence      // nothing passes, and nothing is closed
)

var harmNames = [...]string{"none", "delay", "reset", "one-way", "silence"}

func (h harm) String() string { return harmNames[h] }

// delayTime is how late a delayed piece is.
const delayTime = 150 * time.Millisecond

// proxy passes TCP connections on to a target, and does them harm.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	harm  harm
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

func newProxy(listen netip.AddrPort, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	p.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.serve(conn) })
		}
	})
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *proxy) current() harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

// set starts or ends a harm. A reset strikes open connections at once; connections that were silenced stay so, as
// bytes were lost.
func (p *proxy) set(h harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ending := p.harm == harmSilence || p.harm == harmOneWay
	p.harm = h
	if h == harmReset || ending && h == harmNone {
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
	if p.harm == harmReset {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) forget(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) serve(conn net.Conn) {
	if !p.track(conn) {
		return
	}
	defer p.forget(conn)
	back, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn)
		return
	}
	if !p.track(back) {
		return
	}
	defer p.forget(back)
	var pipes sync.WaitGroup
	pipes.Go(func() { p.pipe(back, conn, false) })
	pipes.Go(func() { p.pipe(conn, back, true) })
	pipes.Wait()
}

// pipe copies one direction until it ends, and then ends the other one.
func (p *proxy) pipe(to, from net.Conn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		switch h := p.current(); {
		case h == harmDelay:
			time.Sleep(delayTime)
		case h == harmSilence, h == harmOneWay && answers:
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
	_ = p.listener.Close()
	p.set(harmReset)
	p.wg.Wait()
}
