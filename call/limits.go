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

// limits enforces the rate limits of the resources that routes use.
type limits struct {
	mu       sync.Mutex
	limiters map[string]*limiter // by resource name
}

// limiter is the token bucket of a resource, with the record by which it is configured.
type limiter struct {
	resource record.Resource
	bucket   *rate.Limiter
}

func newLimits() *limits { return &limits{limiters: make(map[string]*limiter)} }

// takeTokens takes a token from the bucket of each resource of a route, or none if a bucket is empty.
func (l *limits) takeTokens(now time.Time, config *catalog.Snapshot, route record.Route) *failure {
	if len(route.Resources()) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var wait time.Duration
	reservations := make([]*rate.Reservation, 0, len(route.Resources()))
	for _, name := range route.Resources() {
		resource, ok := config.Resource(name)
		if !ok {
			continue
		}
		reservation := l.bucket(now, resource).ReserveN(now, 1)
		reservations = append(reservations, reservation)
		wait = max(wait, reservationDelay(reservation, now))
	}
	if wait <= 0 {
		return nil
	}
	for _, reservation := range reservations {
		reservation.CancelAt(now)
	}
	f := notRun(ReasonRate, "a resource of the route "+route.Name()+" is used up")
	f.status = http.StatusTooManyRequests
	f.retryAfter = min(wait, time.Minute)
	return &f
}

func reservationDelay(reservation *rate.Reservation, now time.Time) time.Duration {
	if !reservation.OK() {
		return math.MaxInt64
	}
	return reservation.DelayFrom(now)
}

// bucket returns the token bucket of a resource, reconfigured if the resource's record has changed.
func (l *limits) bucket(now time.Time, resource record.Resource) *rate.Limiter {
	entry, ok := l.limiters[resource.Name()]
	if !ok {
		entry = &limiter{resource: resource, bucket: rate.NewLimiter(rate.Limit(resource.Rate()), burst(resource))}
		l.limiters[resource.Name()] = entry
		return entry.bucket
	}
	if entry.resource != resource {
		entry.bucket.SetLimitAt(now, rate.Limit(resource.Rate()))
		entry.bucket.SetBurstAt(now, burst(resource))
		entry.resource = resource
	}
	return entry.bucket
}

func burst(resource record.Resource) int { return max(resource.Burst(), 1) }
