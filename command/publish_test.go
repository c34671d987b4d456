package command

import (
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
)

// replyCase is a possible result of an attempt to publish.
type replyCase struct {
	name           string
	receipt        message.Receipt
	err            error
	decided        bool // the outcome is known
	maybePublished bool // the change set may be in the log, but the outcome is not known
}

var replies = []replyCase{
	{name: "accepted", receipt: message.NewDecidedReceipt(record.Accepted(record.PublishID{1}, 8)), decided: true},
	{name: "refused", receipt: message.NewDecidedReceipt(record.Refused(record.PublishID{1}, 8, []record.Fault{{}})), decided: true},
	{name: "not appended", receipt: message.NewUndecidedReceipt(message.ReceiptNotAppended, errors.New("log down"))},
	{name: "unknown", receipt: message.NewUndecidedReceipt(message.ReceiptUnknown, errors.New("log slow")), maybePublished: true},
	{name: "not sent", err: &net.OpError{Op: "dial", Err: errors.New("refused")}},
	{name: "rejected", err: &operator.RejectedError{}},
	{name: "answer lost", err: &net.OpError{Op: "read", Err: errors.New("reset")}, maybePublished: true},
}

// publisher has the signature of publishUntilKnown.
type publisher func(attempts int, maybePublished bool, send func() (message.Receipt, error), pause func()) (message.Receipt, error)

// checkPublisher runs a publisher on drawn replies and returns the property that it violates, or an empty string.
func checkPublisher(t *rapid.T, publish publisher) string {
	drawn := rapid.SliceOfN(rapid.SampledFrom(replies), 5, 5).Draw(t, "replies")
	attempts := rapid.IntRange(0, len(drawn)).Draw(t, "attempts")
	sent, pauses := 0, 0
	maybePublished := rapid.Bool().Draw(t, "published before")
	receipt, err := publish(attempts, maybePublished, func() (message.Receipt, error) {
		r := drawn[sent]
		sent++
		maybePublished = maybePublished || r.maybePublished
		return r.receipt, r.err
	}, func() { pauses++ })
	last := drawn[sent-1]
	known := err == nil && receipt.State() == message.ReceiptDecided
	switch {
	case sent > max(attempts, 1) || pauses != sent-1:
		return "too many attempts, or no pause between them"
	case known != last.decided:
		return "a known outcome not reported, or an unknown one reported as known"
	case !known && nothingPublished(receipt, err) == maybePublished:
		return "wrong about whether anything was published"
	case !known && maybePublished && sent < max(attempts, 1):
		return "gave up on an unknown outcome before the attempts were used up"
	case !known && !maybePublished && sent > 1:
		return "retried although nothing can have been published"
	}
	return ""
}

func TestPublishUntilKnownReportsOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if u := checkPublisher(t, publishUntilKnown); u != "" {
			t.Fatal(u)
		}
	})
}

// TestPublisherCheckDetectsFaultyLoop checks that checkPublisher detects a loop that trusts the last attempt although
// an earlier one may have published the change set.
func TestPublisherCheckDetectsFaultyLoop(t *testing.T) {
	reportLastAttempt := func(attempts int, _ bool, send func() (message.Receipt, error), pause func()) (receipt message.Receipt, err error) {
		for i := range max(attempts, 1) {
			if i > 0 {
				pause()
			}
			receipt, err = send()
			if err == nil && receipt.State() == message.ReceiptDecided || nothingPublished(receipt, err) {
				return receipt, err
			}
		}
		return receipt, err
	}
	violation := ""
	example := rapid.Custom(func(t *rapid.T) string { return checkPublisher(t, reportLastAttempt) })
	for seed := range 100 {
		if u := example.Example(seed); u != "" {
			violation = u
		}
	}
	qt.Assert(t, violation, qt.Equals, "wrong about whether anything was published")
}
