package proxy_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// TestNestedRequestPrecedesWaitingOnes guards against refusing or delaying what running requests wait for: the nested
// request arrives last and must get the first slot.
func TestNestedRequestPrecedesWaitingOnes(t *testing.T) {
	f := newFixture(t, 1, tally.NoopScope)
	started, proceed := make(chan string, 16), make(chan struct{})
	f.backends[0].setHandler(func(w http.ResponseWriter, r *http.Request) {
		started <- r.Header.Get("X-Attempt-Id")
		<-proceed
		f.backends[0].answer(w, r)
	})
	done := make(chan struct{})
	send := func(id string) {
		go func() {
			f.send(t.Context(), http.MethodGet, "/read/1", id)
			done <- struct{}{}
		}()
	}
	ids := []string{"parent", "a", "b", "c", "new", "parent.1", "unknown.1"}
	for i, id := range ids {
		send(id)
		if i < slots {
			qt.Assert(t, <-started, qt.Equals, id)
			continue
		}
		for f.owners[0].Queued() < i+1-slots {
			time.Sleep(time.Millisecond)
		}
	}
	proceed <- struct{}{}
	qt.Check(t, <-started, qt.Equals, "parent.1")
	close(proceed)
	for range ids {
		<-done
	}
}
