package setting

import (
	"time"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/tomldoc"
)

// Defaults and bounds of the section [call].
const (
	defaultQueue      = 0
	maxQueue          = 1 << 16
	defaultQueueWait  = admission.DefaultMaxWait
	minQueueWait      = time.Millisecond
	maxQueueWait      = time.Minute
	defaultRetryShare = retry.DefaultShare
	minRetryShare     = 0.001
	defaultKeyTTL     = ledger.DefaultTTL
	minKeyTTL         = time.Second
	maxKeyTTL         = 24 * time.Hour
	defaultKeyLimit   = ledger.DefaultMaxKeys
	maxKeyLimit       = 10_000_000
	defaultKeyBytes   = ledger.DefaultMaxResponseBytes
	minKeyBytes       = 1 << 20
	maxKeyBytes       = 1 << 30
)

// Call is the section [call]: the limits of callers' requests.
type Call struct {
	queueLimit       int
	queueWait        time.Duration
	retryShare       float64
	keyTTL           time.Duration
	maxKeys          int
	maxResponseBytes int
}

func readCall(t *tomldoc.Table) Call {
	return Call{
		queueLimit:       int(t.Int("queue", defaultQueue, 0, maxQueue)),
		queueWait:        t.Duration("queue_wait", defaultQueueWait, minQueueWait, maxQueueWait),
		retryShare:       t.Float("retry_share", defaultRetryShare, minRetryShare, 1),
		keyTTL:           t.Duration("key_ttl", defaultKeyTTL, minKeyTTL, maxKeyTTL),
		maxKeys:          int(t.Int("keys", defaultKeyLimit, 1, maxKeyLimit)),
		maxResponseBytes: int(t.Int("key_bytes", defaultKeyBytes, minKeyBytes, maxKeyBytes)),
	}
}

// QueueLimit returns how many calls may wait for a slot of the backend server on the node's VM. Zero means the
// server's number of slots.
func (c Call) QueueLimit() int { return c.queueLimit }

// QueueWait returns the maximum time that a call may wait for a slot.
func (c Call) QueueWait() time.Duration { return c.queueWait }

// RetryShare returns the permitted ratio of retries to first attempts, above 0 and up to 1.
func (c Call) RetryShare() float64 { return c.retryShare }

// KeyTTL returns how long after it was issued a request key is accepted and its response can be replayed.
func (c Call) KeyTTL() time.Duration { return c.keyTTL }

// MaxKeys returns the maximum number of request keys that the node remembers.
func (c Call) MaxKeys() int { return c.maxKeys }

// MaxResponseBytes returns the maximum total size of the responses that the node stores for request keys.
func (c Call) MaxResponseBytes() int { return c.maxResponseBytes }
