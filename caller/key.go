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
	// keyBatchSize is the number of keys fetched at once for a named route.
	keyBatchSize = 8
	// keyBatchTTL is the time for which fetched keys are used: the servers that they name may leave.
	keyBatchTTL = 2 * time.Second
)

// keyCache holds keys that were fetched ahead, per route.
type keyCache struct {
	mu     sync.Mutex
	routes map[string]keyBatch
}

type keyBatch struct {
	keys      []string
	fetchedAt time.Time
}

func newKeyCache() *keyCache { return &keyCache{routes: make(map[string]keyBatch)} }

func (k *keyCache) take(now time.Time, route string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.routes[route]
	if len(s.keys) == 0 || now.Sub(s.fetchedAt) > keyBatchTTL {
		return "", false
	}
	key := s.keys[0]
	s.keys = s.keys[1:]
	k.routes[route] = s
	return key, true
}

func (k *keyCache) put(now time.Time, route string, keys []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.routes[route] = keyBatch{keys: keys, fetchedAt: now}
}

// discard forgets the keys of a route.
func (k *keyCache) discard(route string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.routes, route)
}

// acquireKey returns an unused key for a call, or the result of a call that got none.
func (c *Client) acquireKey(ctx context.Context, q Call) (string, *Result) {
	if q.Route == "" {
		return c.fetchKeys(ctx, url.Values{"path": {q.path()}}, q)
	}
	if key, ok := c.keys.take(c.timers.Now(), q.Route); ok {
		return key, nil
	}
	return c.fetchKeys(ctx, url.Values{"route": {q.Route}, "count": {strconv.Itoa(keyBatchSize)}}, q)
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

// retryBudget is a retry.Budget for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetryBudget(s retry.Settings) *retryBudget { return &retryBudget{budget: retry.New(s)} }

func (b *retryBudget) recordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordFirstAttempt()
}

func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.AllowRetry()
}
