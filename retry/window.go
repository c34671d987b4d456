package retry

import "time"

// windowBuckets is the number of buckets into which a sliding window is divided.
const windowBuckets = 10

// FleetSafetyFactor is the factor by which the permitted share and reserve are scaled down to get the settings of a
// WindowBudget. The calls that a retried request makes count as retries at the called service, so a service receives its
// own retries and those caused by its callers. With Q requests, share s, reserve R and factor c, it receives up to
// c(sQ + R) retries of its own, and kc(sP + R) through the k calls that each of P parent requests makes. With kP <= Q and
// k <= 2, the sum is below c(2sQ + 3R). It stays within sQ + R for c below 1/3; the difference to 1/3 is a margin for
// nodes that restart and lose their counts.
const FleetSafetyFactor = 0.3

// WindowBudgetSettings configure a WindowBudget.
type WindowBudgetSettings struct {
	// Span is the length of the window.
	Span time.Duration
	// Share is the number of retries permitted per first attempt in the window.
	Share float64
	// Reserve is the number of retries that all nodes together may make in addition.
	Reserve float64
}

// WindowBudget is one node's part of a fleet-wide limit on retries within any sliding window. Nodes do not coordinate:
// each counts its own first attempts and uses an equal part of the reserve. It is not safe for concurrent use.
type WindowBudget struct {
	settings      WindowBudgetSettings
	firstAttempts [windowBuckets]int
	retries       [windowBuckets]int
	bucket        int64 // index of the newest bucket, counted from the Unix epoch
}

// NewWindowBudget returns a budget with an empty window.
func NewWindowBudget(settings WindowBudgetSettings) *WindowBudget {
	return &WindowBudget{settings: settings}
}

// RecordFirstAttempt counts a first attempt.
func (w *WindowBudget) RecordFirstAttempt(now time.Time) {
	w.advance(now)
	w.firstAttempts[w.bucket%windowBuckets]++
}

// AllowRetry reports whether a retry is permitted on one of the given number of nodes, and if so counts it.
func (w *WindowBudget) AllowRetry(now time.Time, nodes int) bool {
	w.advance(now)
	first, retries := 0, 0
	for i := range windowBuckets {
		first += w.firstAttempts[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > w.settings.Share*float64(first)+w.settings.Reserve/float64(max(nodes, 1)) {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// advance clears the buckets that have left the window.
func (w *WindowBudget) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.settings.Span/windowBuckets)
	elapsed := bucket - w.bucket
	if elapsed <= 0 {
		return
	}
	for age := range min(elapsed, windowBuckets) {
		i := (bucket - age) % windowBuckets
		w.firstAttempts[i], w.retries[i] = 0, 0
	}
	w.bucket = bucket
}
