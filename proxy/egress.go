package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/timer"
)

const (
	// largeResponse is the size in bytes from which responses to other nodes are spaced.
	largeResponse = 16 << 10
	// egressShare is the share of the link that large responses may use. The rest carries small responses and control traffic.
	egressShare = 0.8
	// responseSizeWeight is the weight of one sample in the moving averages of response sizes.
	responseSizeWeight = 1.0 / 8
)

// egressPacer spaces the large responses that a node sends to other nodes. It answers the load of a server whose responses
// exceed what the link of its VM carries: without it, the small responses and the control traffic of the node wait behind
// them, and requests are run whose responses arrive too late. It is safe for concurrent use.
type egressPacer struct {
	timers         *timer.Service
	bytesPerSecond float64 // for large responses; 0 for no limit

	mu        sync.Mutex
	freeAt    time.Time                // when the last response that was released has left
	committed float64                  // expected bytes of the responses to requests that have been admitted
	sizes     map[requestClass]float64 // moving averages in bytes
}

// newEgressPacer returns a pacer for a link that carries linkBytesPerSecond, 0 for no limit.
func newEgressPacer(timers *timer.Service, linkBytesPerSecond float64) *egressPacer {
	return &egressPacer{timers: timers, bytesPerSecond: linkBytesPerSecond * egressShare, sizes: make(map[requestClass]float64)}
}

// admit reserves capacity of the link for the response to a request, unless the response would leave after latest. The
// caller must call release with the returned size at the end of the request. If the request is refused, wait is the time
// after which it would be admitted.
func (p *egressPacer) admit(c Call, latest time.Time) (size float64, wait time.Duration, ok bool) {
	if p.bytesPerSecond == 0 {
		return 0, 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	size = p.sizes[classOf(c)]
	if size < largeResponse {
		return 0, 0, true
	}
	backlog := p.backlog()
	if late := p.timers.Now().Add(backlog + p.duration(size)).Sub(latest); late > 0 && backlog > 0 {
		return 0, late, false
	}
	p.committed += size
	return size, 0, true
}

// release ends the reservation of a request.
func (p *egressPacer) release(size float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.committed -= size
}

// backlogTime returns how long the link takes to carry the large responses to all admitted requests.
func (p *egressPacer) backlogTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backlog()
}

func (p *egressPacer) backlog() time.Duration {
	if p.bytesPerSecond == 0 {
		return 0
	}
	return max(p.freeAt.Sub(p.timers.Now()), 0) + p.duration(p.committed)
}

func (p *egressPacer) duration(bytes float64) time.Duration {
	return time.Duration(bytes / p.bytesPerSecond * float64(time.Second))
}

// await waits until the link may carry a response of a class, or until the context is done.
func (p *egressPacer) await(ctx context.Context, c Call, size int) {
	delay := p.schedule(c, float64(size))
	if delay <= 0 {
		return
	}
	released := make(chan struct{})
	wake := p.timers.After(delay, func(time.Time) { close(released) })
	defer wake.Close()
	select {
	case <-released:
	case <-ctx.Done():
		p.cancel(float64(size))
	}
}

// cancel gives back the time on the link of a response that is not sent.
func (p *egressPacer) cancel(size float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeAt = p.freeAt.Add(-p.duration(size))
}

// schedule reserves the next time on the link for a response and returns the time until then.
func (p *egressPacer) schedule(c Call, size float64) time.Duration {
	if p.bytesPerSecond == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizes[classOf(c)] += responseSizeWeight * (size - p.sizes[classOf(c)])
	if size < largeResponse {
		return 0
	}
	now := p.timers.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	delay := p.freeAt.Sub(now)
	p.freeAt = p.freeAt.Add(p.duration(size))
	return delay
}
