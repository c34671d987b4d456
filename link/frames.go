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
	frameTimeout    = 5 * time.Second
	maxFramesQueued = 64 // frames on their way over TCP at once
)

// FrameSender sends frames that are too large for a datagram over TCP.
type FrameSender struct {
	pool    *pool
	sent    tally.Counter
	dropped tally.Counter
	slots   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// NewFrameSender returns a sender that dials by dialer.
func NewFrameSender(dialer *Dialer, scope tally.Scope) *FrameSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &FrameSender{
		pool:    newPool(dialer, purposeFrames, maxIdleFrames, maxFramesPerPeer),
		sent:    scope.Counter("link_frame_bytes_sent"),
		dropped: scope.Counter("link_frames_dropped"),
		slots:   make(chan struct{}, maxFramesQueued),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Send starts to send one frame to a peer and returns at once. The frame is dropped, and counted, when
// too many are on their way already or the peer cannot be reached.
func (f *FrameSender) Send(peer netip.AddrPort, frame []byte) {
	select {
	case f.slots <- struct{}{}:
	default:
		f.dropped.Inc(1)
		return
	}
	f.wg.Go(func() {
		defer func() { <-f.slots }()
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
	if err := conn.Invoke(ctx, rpcFrame, rawEncoding{}, &in, &rawMessage{}); err != nil {
		_ = conn.Close()
		return oops.In("link.frame").With("peer", peer).Wrap(err)
	}
	f.pool.put(peer, conn)
	return nil
}

// Close gives up frames on their way, closes the connections and waits.
func (f *FrameSender) Close() error {
	f.cancel()
	f.wg.Wait()
	return f.pool.close()
}
