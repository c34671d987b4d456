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
	// keyBatchSize is the number of keys fetched by one request for a named route.
	keyBatchSize = 8
	// keyBatchTTL limits how long fetched keys are used, as the servers that they name may leave.
	keyBatchTTL = 2 * time.Second
)

// keyCache holds unused request keys by the name of their route.
type keyCache struct {
	mu     sync.Mutex
	routes map[string]keyBatch
}

type keyBatch struct {
	keys      []string
	fetchedAt time.Time
}

func newKeyCache() *keyCache { return &keyCache{routes: make(map[string]keyBatch)} }

// take removes and returns a key of the route, or false if there is none that is recent enough.
func (k *keyCache) take(now time.Time, route string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	batch := k.routes[route]
	if len(batch.keys) == 0 || now.Sub(batch.fetchedAt) > keyBatchTTL {
		return "", false
	}
	key := batch.keys[0]
	batch.keys = batch.keys[1:]
	k.routes[route] = batch
	return key, true
}

func (k *keyCache) put(now time.Time, route string, keys []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.routes[route] = keyBatch{keys: keys, fetchedAt: now}
}

// discard removes the keys of a route.
func (k *keyCache) discard(route string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.routes, route)
}

// acquireKey returns an unused key for a call, or the result of the call if none could be obtained.
func (c *Client) acquireKey(ctx context.Context, q Call) (string, *Result) {
	if q.Route == "" {
		return c.fetchKeys(ctx, url.Values{"path": {q.path()}}, q)
	}
	if key, ok := c.keys.take(c.timers.Now(), q.Route); ok {
		return key, nil
	}
	return c.fetchKeys(ctx, url.Values{"route": {q.Route}, "count": {strconv.Itoa(keyBatchSize)}}, q)
}

// path returns the path of the call without its query.
func (q Call) path() string {
	u, err := url.Parse(q.Path)
	if err != nil {
		return q.Path
	}
	return u.Path
}

// fetchKeys requests keys from the node, returns the first and caches the others.
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
		r.outcome = call.OutcomeNotRun // the call itself is not sent without a key
	}
	return "", &r
}

// retryBudget is a retry.Budget that is safe for concurrent use.
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
