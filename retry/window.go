package retry

import "time"

// windowSlices is the number of parts into which a window is divided.
const windowSlices = 10

// FleetSafetyFactor is the share of a permitted limit that windows may be set to. Calls that a repeated run makes count as
// repeats at the service called, so a service has to bear its own repeats and those of the services that call it: with Q
// requests, a share s and a reserve R it gets up to c(sQ + R) of its own and kc(sP + R) by k calls from each of P requests,
// which with kP <= Q and k <= 2 is below c(2sQ + 3R). Below one third of that, the rest is for nodes that restart and forget.
const FleetSafetyFactor = 0.3

// WindowBudgetSettings of a Window.
type WindowBudgetSettings struct {
	// Span is the length of the window.
	Span time.Duration
	// Share is the number of retries permitted per first attempt of the window.
	Share float64
	// Reserve is the number of retries permitted besides, by all nodes together.
	Reserve float64
}

// WindowBudget is a node's part of a limit on retries that all nodes keep together within any span of a length, without
// asking each other: each counts its own first attempts and takes an equal part of the reserve. It is not safe
// for concurrent use.
type WindowBudget struct {
	settings WindowBudgetSettings
	first    [windowSlices]int
	spent    [windowSlices]int
	slice    int64
}

// NewWindowBudget returns a window in which nothing has happened.
func NewWindowBudget(settings WindowBudgetSettings) *WindowBudget {
	return &WindowBudget{settings: settings}
}

// RecordFirstAttempt records a first attempt.
func (w *WindowBudget) RecordFirstAttempt(now time.Time) {
	w.advance(now)
	w.first[w.slice%windowSlices]++
}

// AllowRetry spends one retry and tells whether it was permitted, on one of that many nodes.
func (w *WindowBudget) AllowRetry(now time.Time, nodes int) bool {
	w.advance(now)
	first, spent := 0, 0
	for i := range windowSlices {
		first += w.first[i]
		spent += w.spent[i]
	}
	if float64(spent+1) > w.settings.Share*float64(first)+w.settings.Reserve/float64(max(nodes, 1)) {
		return false
	}
	w.spent[w.slice%windowSlices]++
	return true
}

// advance forgets what lies before the window.
func (w *WindowBudget) advance(now time.Time) {
	slice := now.UnixNano() / int64(w.settings.Span/windowSlices)
	gap := slice - w.slice
	if gap <= 0 {
		return
	}
	for i := range min(gap, windowSlices) {
		at := (slice - i) % windowSlices
		w.first[at], w.spent[at] = 0, 0
	}
	w.slice = slice
}
