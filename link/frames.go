package link

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
)

const (
	frameTimeout      = 5 * time.Second
	maxFramesInFlight = 64 // concurrent sends over TCP, to all peers together
)

// FrameSender sends frames over TCP that are too large for a datagram.
type FrameSender struct {
	pool     *pool
	sent     tally.Counter
	dropped  tally.Counter
	inFlight chan struct{} // semaphore
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// NewFrameSender returns a sender that opens connections with dialer.
func NewFrameSender(dialer *Dialer, scope tally.Scope) *FrameSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &FrameSender{
		pool:     newPool(dialer, purposeFrames, maxIdleFrameConns, maxIdleFrameConnsPerPeer),
		sent:     scope.Counter("link_frame_bytes_sent"),
		dropped:  scope.Counter("link_frames_dropped"),
		inFlight: make(chan struct{}, maxFramesInFlight),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Send sends one frame to a peer in the background. The frame is dropped and counted if maxFramesInFlight frames are
// being sent already, or if it cannot be delivered within frameTimeout.
func (f *FrameSender) Send(peer netip.AddrPort, frame []byte) {
	select {
	case f.inFlight <- struct{}{}:
	default:
		f.dropped.Inc(1)
		return
	}
	f.wg.Go(func() {
		defer func() { <-f.inFlight }()
		if err := f.deliver(peer, frame); err != nil {
			f.dropped.Inc(1)
			return
		}
		f.sent.Inc(int64(len(frame)))
	})
}

func (f *FrameSender) deliver(peer netip.AddrPort, frame []byte) error {
	ctx, cancel := context.WithTimeout(f.ctx, frameTimeout)
	defer cancel()
	conn, err := f.pool.take(ctx, peer)
	if err != nil {
		return err
	}
	in := rawMessage(frame)
	if err := conn.Invoke(ctx, frameRPC, rawEncoding{}, &in, &rawMessage{}); err != nil {
		_ = conn.Close()
		return oops.In("link.frame").With("peer", peer).Wrap(err)
	}
	f.pool.put(peer, conn)
	return nil
}

// Close cancels sends in progress, waits for them and closes the connections.
func (f *FrameSender) Close() error {
	f.cancel()
	f.wg.Wait()
	return f.pool.close()
}
