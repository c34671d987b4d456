package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// zoneDelay is the time of one way between two zones.
const zoneDelay = 3900 * time.Microsecond

// link is a proxy between a machine and the store in another zone. It delays what it carries, and a new connection by
// the round trip of its handshake.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(listen netip.AddrPort, target string) (*link, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l, nil
}

func (l *link) carry(near net.Conn) {
	defer near.Close()
	time.Sleep(2 * zoneDelay)
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	l.mu.Lock()
	l.conns[near], l.conns[far] = true, true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, near)
		delete(l.conns, far)
	}()
	ended := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			delayed(way[1], way[0])
			ended <- struct{}{}
		}()
	}
	<-ended
}

// segment is data that arrives at a time; no data stands for the end of the connection.
type segment struct {
	data []byte
	at   time.Time
}

// delayed copies from one connection to another with the delay of one way.
func delayed(to io.Writer, from io.Reader) {
	segments := make(chan segment, 1024)
	go func() {
		defer close(segments)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				segments <- segment{data: buffer[:n], at: time.Now().Add(zoneDelay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for s := range segments {
		time.Sleep(time.Until(s.at))
		if _, err := to.Write(s.data); err != nil {
			return
		}
	}
	time.Sleep(zoneDelay)
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}
