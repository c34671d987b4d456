package call

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/standin"
)

// leafExecutions starts a chain of five calls, each nested in the previous one, the last of which fails. Each
// nested call carries the given headers of the previous one. It returns how often the last call ran.
func leafExecutions(t *testing.T, forwarded []string) int64 {
	f := newFleet(t, 3, standin.ServerSettings{Slots: 4})
	f.ingress.settings.Retry = retry.Settings{Share: 1, Reserve: 1000}
	var leaf atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Warm") != "" {
			return
		}
		if nestingDepth(r.Header) == 5 {
			leaf.Add(1)
			panic(http.ErrAbortHandler)
		}
		var header []string
		for _, name := range forwarded {
			header = append(header, name, r.Header.Get(name))
		}
		if f.do("GET", "/browse", "", header...).outcome != OutcomeAnswered {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(backend.Close)
	for _, n := range f.nodes {
		n.owner.SetServer(addrOf(backend), n.member.Server())
	}
	for range 30 { // opens connections, because net/http resends requests only on reused ones
		f.do("GET", "/browse", "", "X-Warm", "1")
	}
	got := f.do("GET", "/browse", "")
	f.c.Assert(got.outcome, qt.Equals, OutcomeUnknown)
	return leaf.Load()
}

func TestRetriesDoNotMultiply(t *testing.T) {
	got := leafExecutions(t, []string{HeaderDepth, HeaderNoRetry, HeaderTimeout})
	qt.Assert(t, got, qt.Equals, int64(maxAttempts))
}

// TestLeafCountDetectsMissingNoRetry verifies that leafExecutions detects retries that multiply.
func TestLeafCountDetectsMissingNoRetry(t *testing.T) {
	got := leafExecutions(t, []string{HeaderDepth, HeaderTimeout})
	qt.Assert(t, got > 10*maxAttempts, qt.IsTrue, qt.Commentf("%d executions", got))
}
