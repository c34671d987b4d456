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
	defaultKeys       = ledger.DefaultMaxKeys
	maxKeys           = 10_000_000
	defaultKeyBytes   = ledger.DefaultMaxResponseBytes
	minKeyBytes       = 1 << 20
	maxKeyBytes       = 1 << 30
)

// Call is the section [call]: limits on callers' requests.
type Call struct {
	queue      int
	queueWait  time.Duration
	retryShare float64
	keyTTL     time.Duration
	keys       int
	keyBytes   int
}

func readCall(t *tomldoc.Table) Call {
	return Call{
		queue:      int(t.Int("queue", defaultQueue, 0, maxQueue)),
		queueWait:  t.Duration("queue_wait", defaultQueueWait, minQueueWait, maxQueueWait),
		retryShare: t.Float("retry_share", defaultRetryShare, minRetryShare, 1),
		keyTTL:     t.Duration("key_ttl", defaultKeyTTL, minKeyTTL, maxKeyTTL),
		keys:       int(t.Int("keys", defaultKeys, 1, maxKeys)),
		keyBytes:   int(t.Int("key_bytes", defaultKeyBytes, minKeyBytes, maxKeyBytes)),
	}
}

// QueueLimit returns how many calls may wait for a slot of the backend server beside the node, or zero for
// as many as the server has slots.
func (c Call) QueueLimit() int { return c.queue }

// QueueWait returns how long a call may wait for a slot.
func (c Call) QueueWait() time.Duration { return c.queueWait }

// RetryShare returns the retries permitted as a share of first attempts, above 0 and up to 1.
func (c Call) RetryShare() float64 { return c.retryShare }

// KeyTTL returns how long after its minting a request key is run or its outcome repeated.
func (c Call) KeyTTL() time.Duration { return c.keyTTL }

// MaxKeys returns how many request keys the node remembers at most.
func (c Call) MaxKeys() int { return c.keys }

// MaxResponseBytes returns how many bytes of answers to request keys the node keeps at most.
func (c Call) MaxResponseBytes() int { return c.keyBytes }
