package link

import (
	"net"
	"net/netip"
	"sync"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
)

// DatagramTransport sends and receives frames over one UDP socket.
type DatagramTransport struct {
	conn     *net.UDPConn
	sent     tally.Counter
	received tally.Counter
	wg       sync.WaitGroup
}

// NewDatagramTransport passes each frame received on conn to handleFrame until Close. It takes ownership of conn.
func NewDatagramTransport(conn *net.UDPConn, handleFrame func(frame []byte), scope tally.Scope) *DatagramTransport {
	d := &DatagramTransport{
		conn:     conn,
		sent:     scope.Counter("link_datagram_bytes_sent"),
		received: scope.Counter("link_datagram_bytes_received"),
	}
	d.wg.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			d.received.Inc(int64(n))
			handleFrame(append([]byte(nil), buf[:n]...))
		}
	})
	return d
}

// Send sends one frame to a peer. Delivery is not acknowledged, so a nil error does not mean that the frame arrived.
func (d *DatagramTransport) Send(peer netip.AddrPort, frame []byte) error {
	if _, err := d.conn.WriteToUDPAddrPort(frame, peer); err != nil {
		return oops.In("link.datagram").With("peer", peer).Wrap(err)
	}
	d.sent.Inc(int64(len(frame)))
	return nil
}

// Close closes the socket and waits for the receiving goroutine.
func (d *DatagramTransport) Close() error {
	err := d.conn.Close()
	d.wg.Wait()
	return err
}
