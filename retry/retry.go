// Package retry implements retry budgets. They limit retries to a share of first attempts, so that retries cannot
// amplify the load on a failing service.
package retry

// Settings configure a Budget. Zero values mean the defaults.
type Settings struct {
	Share   float64 // retries earned per first attempt
	Reserve float64 // initial and maximum balance, in retries
}

// Defaults of Settings.
const (
	DefaultShare   = 0.1
	DefaultReserve = 10
)

// Budget is a token bucket that first attempts fill and retries drain. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	balance  float64
}

// New returns a budget with a full reserve.
func New(settings Settings) *Budget {
	if settings.Share <= 0 {
		settings.Share = DefaultShare
	}
	if settings.Reserve <= 0 {
		settings.Reserve = DefaultReserve
	}
	return &Budget{settings: settings, balance: settings.Reserve}
}

// RecordFirstAttempt adds the share of a retry that a first attempt earns.
func (b *Budget) RecordFirstAttempt() {
	b.balance = min(b.balance+b.settings.Share, b.settings.Reserve)
}

// AllowRetry reports whether a retry is permitted, and if so takes it from the balance.
func (b *Budget) AllowRetry() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Tokens returns the current balance in retries.
func (b *Budget) Tokens() float64 { return b.balance }
