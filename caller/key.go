package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/call"
	"github.com/bambooknot/bambooknot/retry"
)

const (
	// stockSize is the number of keys fetched at once for a named route.
	stockSize = 8
	// stockAge is the time for which fetched keys are used: the servers that they name may leave.
	stockAge = 2 * time.Second
)

// keyStock holds keys that were fetched ahead, per route.
type keyStock struct {
	mu     sync.Mutex
	routes map[string]stock
}

type stock struct {
	keys    []string
	fetched time.Time
}

func newKeyStock() *keyStock { return &keyStock{routes: make(map[string]stock)} }

func (k *keyStock) take(now time.Time, route string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.routes[route]
	if len(s.keys) == 0 || now.Sub(s.fetched) > stockAge {
		return "", false
	}
	key := s.keys[0]
	s.keys = s.keys[1:]
	k.routes[route] = s
	return key, true
}

func (k *keyStock) put(now time.Time, route string, keys []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.routes[route] = stock{keys: keys, fetched: now}
}

// drop forgets the keys of a route.
func (k *keyStock) drop(route string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.routes, route)
}

// takeKey returns an unused key for a call, or the result of a call that got none.
func (c *Client) takeKey(ctx context.Context, q Call) (string, *Result) {
	if q.Route == "" {
		return c.fetchKeys(ctx, url.Values{"path": {q.path()}}, q)
	}
	if key, ok := c.keys.take(c.timers.Now(), q.Route); ok {
		return key, nil
	}
	return c.fetchKeys(ctx, url.Values{"route": {q.Route}, "count": {strconv.Itoa(stockSize)}}, q)
}

func (q Call) path() string {
	u, err := url.Parse(q.Path)
	if err != nil {
		return q.Path
	}
	return u.Path
}

func (c *Client) fetchKeys(ctx context.Context, args url.Values, q Call) (string, *Result) {
	r := c.send(ctx, Call{Method: http.MethodGet, Path: call.KeysPath + "?" + args.Encode(), Parent: q.Parent}, "", false)
	var reply struct {
		Keys []string `json:"keys"`
	}
	if r.outcome == call.OutcomeAnswered {
		if err := json.Unmarshal(r.body, &reply); err == nil && len(reply.Keys) > 0 {
			c.keys.put(c.timers.Now(), q.Route, reply.Keys[1:])
			return reply.Keys[0], nil
		}
	}
	if r.outcome != call.OutcomeBad {
		r.outcome = call.OutcomeNotRun // without a key, nothing was sent
	}
	return "", &r
}

// budget is a retry.Budget for concurrent use.
type budget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newBudget(s retry.Settings) *budget { return &budget{budget: retry.New(s)} }

func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordFirstAttempt()
}

func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.AllowRetry()
}
