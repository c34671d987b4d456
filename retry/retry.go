// Package retry limits retries to a share of first attempts, so that retries cannot multiply a fault.
package retry

// Settings of a budget.
type Settings struct {
	Share   float64 // retries permitted per first attempt
	Reserve float64 // retries permitted at the start and saved up at most
}

// Defaults of Settings.
const (
	DefaultShare   = 0.1
	DefaultReserve = 10
)

// Budget counts what may be spent on retries. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	tokens   float64
}

// New returns a budget that holds its reserve.
func New(settings Settings) *Budget {
	if settings.Share <= 0 {
		settings.Share = DefaultShare
	}
	if settings.Reserve <= 0 {
		settings.Reserve = DefaultReserve
	}
	return &Budget{settings: settings, tokens: settings.Reserve}
}

// RecordFirstAttempt records a first attempt, which earns a share of a retry.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(b.tokens+b.settings.Share, b.settings.Reserve)
}

// AllowRetry spends one retry and tells whether it was permitted.
func (b *Budget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries that may be spent now.
func (b *Budget) Tokens() float64 { return b.tokens }
