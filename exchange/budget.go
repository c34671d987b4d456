package exchange

import (
	"errors"
	"sync"
)

// UnbudgetedBytes is the size up to which a body needs nothing of a Budget, so that small messages are read whatever the
// large ones use.
const UnbudgetedBytes = 64 << 10

var errBudgetUsedUp = errors.New("the memory for bodies is in use by others")

// Budget bounds the memory of the bodies that are being read at one time by all servers and pools that share it. It is safe
// for concurrent use. A nil Budget has no bound.
type Budget struct {
	mu   sync.Mutex
	left int
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int) *Budget { return &Budget{left: bytes} }

// Left returns the bytes that are not in use.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// reserve takes bytes from the budget and reports whether it has as many.
func (b *Budget) reserve(bytes int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.left {
		return false
	}
	b.left -= bytes
	return true
}

func (b *Budget) release(bytes int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += bytes
}
