package proxy_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/proxy"
)

func TestRequestIsAnswered(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 3, tally.NoopScope)
	for i := range 20 {
		attempt := fmt.Sprint("r", i)
		response := f.send(t.Context(), http.MethodPost, "/pay/1?x=%2F", attempt)
		c.Assert(response.Status(), qt.Equals, http.StatusOK)
		c.Assert(response.Header().Get("X-Attempt-Id"), qt.Equals, attempt)
		c.Assert(response.Header().Get("X-Server-Seal"), qt.Equals, "sealed by "+string(response.Body()))
		c.Assert(response.Header().Get("Bn-Result"), qt.Equals, "")
		c.Assert(f.runsOf(attempt), qt.Equals, 1)
	}
	for _, b := range f.backends {
		for _, header := range b.headers {
			c.Check(header.Get("X-Caller-Service"), qt.Equals, "web")
			c.Check(header.Get("X-Target-Instance"), qt.Equals, b.id)
			left, err := strconv.Atoi(header.Get("X-Deadline-Remaining"))
			c.Check(err, qt.IsNil)
			c.Check(left <= 15000, qt.IsTrue)
			c.Check(header.Get("Bn-Call"), qt.Equals, "")
		}
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 1, tally.NoopScope)
	c.Assert(f.send(t.Context(), http.MethodGet, "/nowhere", "r").Status(), qt.Equals, http.StatusNotFound)
	c.Assert(f.send(t.Context(), http.MethodGet, "/read/1", "").Status(), qt.Equals, http.StatusBadRequest)
	f.snapshot.Store(nil)
	response := f.send(t.Context(), http.MethodGet, "/nowhere", "r")
	c.Assert(response.Status(), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("a node without routes must not reject any path"))
	c.Assert(response.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
}

// TestLostResponse checks that an unsafe request whose response is lost is not retried, while an idempotent one is sent to
// another server.
func TestLostResponse(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 3, tally.NoopScope)
	for _, b := range f.backends {
		b.setHandler(b.dropConnection)
	}
	c.Assert(f.send(t.Context(), http.MethodPost, "/pay/1", "u").Status(), qt.Equals, http.StatusBadGateway)
	c.Assert(f.runsOf("u"), qt.Equals, 1)
	c.Assert(f.send(t.Context(), http.MethodGet, "/read/1", "s").Status(), qt.Equals, http.StatusBadGateway)
	c.Assert(f.runsOf("s"), qt.Equals, 3, qt.Commentf("must try as many servers as the route permits"))
	f.backends[1].setHandler(f.backends[1].answer)
	response := f.send(t.Context(), http.MethodGet, "/read/1", "t")
	c.Assert(response.Status(), qt.Equals, http.StatusOK)
	c.Assert(string(response.Body()), qt.Equals, "b")
}

func TestSheddingServerIsSkipped(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 3, tally.NoopScope)
	f.backends[0].setHandler(f.backends[0].shed)
	f.backends[2].setHandler(f.backends[2].shed)
	for i := range 5 {
		attempt := fmt.Sprint("r", i)
		c.Assert(string(f.send(t.Context(), http.MethodPost, "/pay/1", attempt).Body()), qt.Equals, "b")
		c.Assert(f.runsOf(attempt), qt.Equals, 1)
	}
	f.backends[1].setHandler(f.backends[1].shed)
	response := f.send(t.Context(), http.MethodPost, "/pay/1", "all")
	c.Assert(response.Status(), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
}

// TestInvalidResponsesAreNotForwarded checks that a response does not reach the caller if it is incomplete, has the ID of
// another request, or has a success status and no seal.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	f := newFixture(t, 1, tally.NoopScope)
	b := f.backends[0]
	for name, handler := range map[string]http.HandlerFunc{
		"no seal": func(w http.ResponseWriter, r *http.Request) {
			b.run(r)
			_, _ = io.WriteString(w, "unsealed")
		},
		"ID of another request": func(w http.ResponseWriter, r *http.Request) {
			b.run(r)
			w.Header().Set("X-Attempt-Id", "other")
			w.Header().Set("X-Server-Seal", "x")
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "other")
		},
		"incomplete body": func(w http.ResponseWriter, r *http.Request) {
			b.run(r)
			w.Header().Set("X-Server-Seal", "x")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		},
	} {
		b.setHandler(handler)
		response := f.send(t.Context(), http.MethodPost, "/pay/1", "r-"+name)
		qt.Check(t, response.Status(), qt.Equals, http.StatusBadGateway, qt.Commentf("%s", name))
		qt.Check(t, response.Body(), qt.HasLen, 0)
	}
}

// TestServerErrorIsForwarded checks that the error response of a server reaches the caller and is not retried.
func TestServerErrorIsForwarded(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	for _, b := range f.backends {
		b.setHandler(func(w http.ResponseWriter, r *http.Request) {
			b.run(r)
			w.Header().Set("X-Server-Seal", "sealed by "+b.id)
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "failed")
		})
	}
	response := f.send(t.Context(), http.MethodPost, "/pay/1", "r")
	c.Assert(response.Status(), qt.Equals, http.StatusInternalServerError)
	c.Assert(string(response.Body()), qt.Equals, "failed")
	c.Assert(f.runsOf("r"), qt.Equals, 1)
}

// TestDrainTakesEffectImmediately checks that the node of a draining server refuses requests from nodes that do not know
// of the drain yet.
func TestDrainTakesEffectImmediately(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	f.owners[1].SetBackend(proxy.NewBackend("b", f.backends[1].address(), member.NewServer(service, member.ServerDraining, slots)))
	for i := range 20 {
		response := f.send(t.Context(), http.MethodPost, "/pay/1", fmt.Sprint("r", i))
		c.Assert(string(response.Body()), qt.Equals, "a")
	}
	c.Assert(f.backends[1].totalRuns(), qt.Equals, 0)
}

// TestQueuedRequestIsNotRunByAnotherService replaces the server by one of another service while a request is queued. The
// queued request must not run at the new server.
func TestQueuedRequestIsNotRunByAnotherService(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 1, tally.NoopScope)
	entered, release := make(chan struct{}, slots), make(chan struct{})
	b := f.backends[0]
	b.setHandler(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		b.answer(w, r)
	})
	answers := make(chan int, slots+1)
	for i := range slots {
		go func() { answers <- f.send(t.Context(), http.MethodPost, "/pay/1", fmt.Sprint("r", i)).Status() }()
	}
	for range slots {
		<-entered
	}
	go func() { answers <- f.send(t.Context(), http.MethodPost, "/pay/1", "queued").Status() }()
	for f.owners[0].Queued() == 0 {
		time.Sleep(time.Millisecond)
	}
	other := newBackend(t, "other")
	f.owners[0].SetBackend(proxy.NewBackend("other", other.address(), member.NewServer("stock", member.ServerReady, slots)))
	close(release)
	counts := make(map[int]int)
	for range slots + 1 {
		counts[<-answers]++
	}
	c.Assert(counts, qt.DeepEquals, map[int]int{http.StatusOK: slots, http.StatusServiceUnavailable: 1})
	c.Assert(other.totalRuns(), qt.Equals, 0)
}

func TestUnreachableServer(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	f.backends[0].server.Close()
	for i := range 6 {
		response := f.send(t.Context(), http.MethodPost, "/pay/1", fmt.Sprint("r", i))
		c.Assert(string(response.Body()), qt.Equals, "b")
	}
}

// TestCallerDisconnectCancelsRequest checks that the request is cancelled at the server and not sent to another one.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := newFixture(t, 2, tally.NoopScope)
	received, cancelled := make(chan struct{}, 4), make(chan struct{}, 4)
	for _, b := range f.backends {
		b.setHandler(func(_ http.ResponseWriter, r *http.Request) {
			b.run(r)
			received <- struct{}{}
			<-r.Context().Done()
			cancelled <- struct{}{}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	f.send(ctx, http.MethodGet, "/read/1", "r")
	<-cancelled
	qt.Assert(t, f.runsOf("r"), qt.Equals, 1)
}

// TestRouteTimeout checks that a request is answered with 504 after the timeout of the route and cancelled at the server.
func TestRouteTimeout(t *testing.T) {
	f := newFixture(t, 1, tally.NoopScope)
	cancelled := make(chan struct{})
	f.backends[0].setHandler(func(_ http.ResponseWriter, r *http.Request) {
		f.backends[0].run(r)
		<-r.Context().Done()
		close(cancelled)
	})
	qt.Assert(t, f.send(t.Context(), http.MethodPost, "/quick/1", "r").Status(), qt.Equals, http.StatusGatewayTimeout)
	<-cancelled
}

// TestShutdownRefusesRequestsThatCannotFinish checks that a node accepts requests at the start of a shutdown and refuses
// them afterwards.
func TestShutdownRefusesRequestsThatCannotFinish(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	f.ingress.BeginShutdown(time.Now())
	c.Assert(f.send(t.Context(), http.MethodPost, "/pay/1", "r1").Status(), qt.Equals, http.StatusOK, qt.Commentf("callers cannot have noticed the shutdown yet"))
	f.ingress.RefuseRequests()
	c.Assert(f.send(t.Context(), http.MethodPost, "/pay/1", "r2").Status(), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(f.runsOf("r2"), qt.Equals, 0)
}

// TestExecutionGuaranteesUnderFaults sends concurrent requests to servers that fail in random ways. An unsafe request must
// run at most once, and one answered with 503 must not run at all.
func TestExecutionGuaranteesUnderFaults(t *testing.T) {
	f := newFixture(t, 4, tally.NoopScope)
	rnd := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(n)
	}
	for _, b := range f.backends {
		b.setHandler(func(w http.ResponseWriter, r *http.Request) {
			switch draw(6) {
			case 0:
				b.dropConnection(w, r)
			case 1, 2:
				b.shed(w, r)
			case 3:
				w.WriteHeader(http.StatusMisdirectedRequest)
			default:
				b.answer(w, r)
			}
		})
	}
	var wg sync.WaitGroup
	statuses := make([]int, 400)
	for i := range statuses {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if i%10 == 0 {
				time.AfterFunc(time.Duration(draw(2000))*time.Microsecond, cancel)
			}
			statuses[i] = f.send(ctx, http.MethodPost, "/pay/1", fmt.Sprint("r", i)).Status()
		})
	}
	wg.Wait()
	for i, status := range statuses {
		ran := f.runsOf(fmt.Sprint("r", i))
		qt.Check(t, ran <= 1, qt.IsTrue, qt.Commentf("request %d ran %d times", i, ran))
		if status == http.StatusServiceUnavailable {
			qt.Check(t, ran, qt.Equals, 0, qt.Commentf("request %d was answered with 503 but ran", i))
		}
		if status == http.StatusOK {
			qt.Check(t, ran, qt.Equals, 1)
		}
	}
}

func TestForgedCallHeaderIsRefused(t *testing.T) {
	f := newFixture(t, 1, tally.NoopScope)
	r := exchange.NewRequest(http.MethodGet, "/read/1", "a.example", http.Header{"Bn-Call": {"x"}}, nil)
	qt.Assert(t, f.owners[0].ServeCall(t.Context(), r).Status(), qt.Equals, http.StatusBadRequest)
	qt.Assert(t, f.backends[0].totalRuns(), qt.Equals, 0)
}
