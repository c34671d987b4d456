package setting

import (
	"time"

	"github.com/bambooknot/bambooknot/tomldoc"
)

// Defaults and bounds of the section [call].
const (
	defaultQueue       = 64
	maxQueue           = 1 << 16
	defaultQueueWait   = 100 * time.Millisecond
	minQueueWait       = time.Millisecond
	maxQueueWait       = time.Minute
	defaultRetryShare  = 0.1
	defaultMaxBody     = 1 << 20
	minMaxBody         = 1 << 10
	maxMaxBody         = 64 << 20
	defaultKeyTTL      = 10 * time.Minute
	minKeyTTL          = time.Second
	maxKeyTTL          = 24 * time.Hour
	defaultKeys        = 100_000
	maxKeys            = 10_000_000
	defaultConnections = 130
	maxConnections     = 10_000
)

// Call is the section [call]: limits on callers' requests.
type Call struct {
	queue       int
	queueWait   time.Duration
	retryShare  float64
	maxBody     int64
	keyTTL      time.Duration
	keys        int
	connections int
}

func readCall(t *tomldoc.Table) Call {
	return Call{
		queue:       int(t.Int("queue", defaultQueue, 0, maxQueue)),
		queueWait:   t.Duration("queue_wait", defaultQueueWait, minQueueWait, maxQueueWait),
		retryShare:  t.Float("retry_share", defaultRetryShare, 0, 1),
		maxBody:     t.Int("max_body", defaultMaxBody, minMaxBody, maxMaxBody),
		keyTTL:      t.Duration("key_ttl", defaultKeyTTL, minKeyTTL, maxKeyTTL),
		keys:        int(t.Int("keys", defaultKeys, 1, maxKeys)),
		connections: int(t.Int("connections", defaultConnections, 1, maxConnections)),
	}
}

// Queue returns how many calls may wait for a slot of the backend server beside the node.
func (c Call) Queue() int { return c.queue }

// QueueWait returns how long a call may wait for a slot.
func (c Call) QueueWait() time.Duration { return c.queueWait }

// RetryShare returns the retries permitted as a share of first attempts, between 0 and 1.
func (c Call) RetryShare() float64 { return c.retryShare }

// MaxBody returns the largest request body in bytes that is taken and may be sent again.
func (c Call) MaxBody() int64 { return c.maxBody }

// KeyTTL returns how long a node keeps the outcome of a request key.
func (c Call) KeyTTL() time.Duration { return c.keyTTL }

// Keys returns how many request keys a node keeps at most.
func (c Call) Keys() int { return c.keys }

// Connections returns how many connections the node opens to its backend server at most.
func (c Call) Connections() int { return c.connections }
