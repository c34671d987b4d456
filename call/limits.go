package call

import (
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/record"
)

// limits keeps the resources that routes draw on.
type limits struct {
	mu       sync.Mutex
	limiters map[string]*limiter
}

type limiter struct {
	resource record.Resource
	bucket   *rate.Limiter
}

func newLimits() *limits { return &limits{limiters: make(map[string]*limiter)} }

// takeTokens draws one call on every resource of a route, or on none when one is used up.
func (l *limits) takeTokens(now time.Time, config *catalog.Snapshot, route record.Route) *failure {
	if len(route.Resources()) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var wait time.Duration
	held := make([]*rate.Reservation, 0, len(route.Resources()))
	for _, name := range route.Resources() {
		resource, ok := config.Resource(name)
		if !ok {
			continue
		}
		hold := l.bucket(now, resource).ReserveN(now, 1)
		held = append(held, hold)
		wait = max(wait, reservationDelay(hold, now))
	}
	if wait <= 0 {
		return nil
	}
	for _, hold := range held {
		hold.CancelAt(now)
	}
	f := notRun(ReasonRate, "a resource of the route "+route.Name()+" is used up")
	f.status = http.StatusTooManyRequests
	f.retryAfter = min(wait, time.Minute)
	return &f
}

func reservationDelay(hold *rate.Reservation, now time.Time) time.Duration {
	if !hold.OK() {
		return math.MaxInt64
	}
	return hold.DelayFrom(now)
}

// bucket returns the bucket of a resource, adjusted to the resource's present record.
func (l *limits) bucket(now time.Time, resource record.Resource) *rate.Limiter {
	kept, ok := l.limiters[resource.Name()]
	if !ok {
		kept = &limiter{resource: resource, bucket: rate.NewLimiter(rate.Limit(resource.Rate()), burst(resource))}
		l.limiters[resource.Name()] = kept
		return kept.bucket
	}
	if kept.resource != resource {
		kept.bucket.SetLimitAt(now, rate.Limit(resource.Rate()))
		kept.bucket.SetBurstAt(now, burst(resource))
		kept.resource = resource
	}
	return kept.bucket
}

func burst(resource record.Resource) int { return max(resource.Burst(), 1) }
