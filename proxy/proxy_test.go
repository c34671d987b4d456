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
		answer := f.ask(t.Context(), http.MethodPost, "/pay/1?x=%2F", attempt)
		c.Assert(answer.Status(), qt.Equals, http.StatusOK)
		c.Assert(answer.Header().Get("X-Attempt-Id"), qt.Equals, attempt)
		c.Assert(answer.Header().Get("X-Server-Seal"), qt.Equals, "sealed by "+string(answer.Body()))
		c.Assert(answer.Header().Get("Bn-Result"), qt.Equals, "")
		c.Assert(f.ran(attempt), qt.Equals, 1)
	}
	for _, b := range f.backends {
		for _, order := range b.orders {
			c.Check(order.Get("X-Caller-Service"), qt.Equals, "web")
			c.Check(order.Get("X-Target-Instance"), qt.Equals, b.id)
			left, err := strconv.Atoi(order.Get("X-Deadline-Remaining"))
			c.Check(err, qt.IsNil)
			c.Check(left <= 15000, qt.IsTrue)
			c.Check(order.Get("Bn-Call"), qt.Equals, "")
		}
	}
}

func TestWrongRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 1, tally.NoopScope)
	c.Assert(f.ask(t.Context(), http.MethodGet, "/nowhere", "r").Status(), qt.Equals, http.StatusNotFound)
	c.Assert(f.ask(t.Context(), http.MethodGet, "/read/1", "").Status(), qt.Equals, http.StatusBadRequest)
	f.snapshot.Store(nil)
	answer := f.ask(t.Context(), http.MethodGet, "/nowhere", "r")
	c.Assert(answer.Status(), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("a node without routes knows of no wrong path"))
	c.Assert(answer.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
}

// TestLostAnswer: an unsafe request whose answer is lost may have run, an idempotent one goes to another server.
func TestLostAnswer(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 3, tally.NoopScope)
	for _, b := range f.backends {
		b.behave(b.lose)
	}
	c.Assert(f.ask(t.Context(), http.MethodPost, "/pay/1", "u").Status(), qt.Equals, http.StatusBadGateway)
	c.Assert(f.ran("u"), qt.Equals, 1)
	c.Assert(f.ask(t.Context(), http.MethodGet, "/read/1", "s").Status(), qt.Equals, http.StatusBadGateway)
	c.Assert(f.ran("s"), qt.Equals, 3, qt.Commentf("as many servers as the route permits"))
	f.backends[1].behave(f.backends[1].answer)
	answer := f.ask(t.Context(), http.MethodGet, "/read/1", "t")
	c.Assert(answer.Status(), qt.Equals, http.StatusOK)
	c.Assert(string(answer.Body()), qt.Equals, "b")
}

func TestSheddingServerIsPassedOver(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 3, tally.NoopScope)
	f.backends[0].behave(f.backends[0].shed)
	f.backends[2].behave(f.backends[2].shed)
	for i := range 5 {
		attempt := fmt.Sprint("r", i)
		c.Assert(string(f.ask(t.Context(), http.MethodPost, "/pay/1", attempt).Body()), qt.Equals, "b")
		c.Assert(f.ran(attempt), qt.Equals, 1)
	}
	f.backends[1].behave(f.backends[1].shed)
	answer := f.ask(t.Context(), http.MethodPost, "/pay/1", "all")
	c.Assert(answer.Status(), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(answer.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
}

// TestBadAnswersAreNotPassedOn: only an answer with the seal and the ID of the request leaves the node.
func TestBadAnswersAreNotPassedOn(t *testing.T) {
	f := newFixture(t, 1, tally.NoopScope)
	b := f.backends[0]
	for name, behave := range map[string]http.HandlerFunc{
		"no seal": func(w http.ResponseWriter, r *http.Request) {
			b.run(r)
			_, _ = io.WriteString(w, "unsealed")
		},
		"another request's": func(w http.ResponseWriter, r *http.Request) {
			b.run(r)
			w.Header().Set("X-Attempt-Id", "other")
			w.Header().Set("X-Server-Seal", "x")
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "other")
		},
		"short": func(w http.ResponseWriter, r *http.Request) {
			b.run(r)
			w.Header().Set("X-Server-Seal", "x")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		},
	} {
		b.behave(behave)
		answer := f.ask(t.Context(), http.MethodPost, "/pay/1", "r-"+name)
		qt.Check(t, answer.Status(), qt.Equals, http.StatusBadGateway, qt.Commentf("%s", name))
		qt.Check(t, answer.Body(), qt.HasLen, 0)
	}
}

// TestServersFailureIsPassedOn with the server's own status, body and seal.
func TestServersFailureIsPassedOn(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	for _, b := range f.backends {
		b.behave(func(w http.ResponseWriter, r *http.Request) {
			b.run(r)
			w.Header().Set("X-Server-Seal", "sealed by "+b.id)
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "failed")
		})
	}
	answer := f.ask(t.Context(), http.MethodPost, "/pay/1", "r")
	c.Assert(answer.Status(), qt.Equals, http.StatusInternalServerError)
	c.Assert(string(answer.Body()), qt.Equals, "failed")
	c.Assert(f.ran("r"), qt.Equals, 1)
}

// TestDrainBindsAtOnce: no node needs to hear of it, as the one beside the server refuses.
func TestDrainBindsAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	f.owners[1].SetBackend(proxy.NewBackend("b", f.backends[1].address(), member.NewServer(service, member.ServerDraining, slots)))
	for i := range 20 {
		answer := f.ask(t.Context(), http.MethodPost, "/pay/1", fmt.Sprint("r", i))
		c.Assert(string(answer.Body()), qt.Equals, "a")
	}
	c.Assert(f.backends[1].total(), qt.Equals, 0)
}

// TestQueuedRequestStaysWithItsService: while a request waits for a slot, its server goes and one of another service gets
// the VM.
func TestQueuedRequestStaysWithItsService(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 1, tally.NoopScope)
	entered, release := make(chan struct{}, slots), make(chan struct{})
	b := f.backends[0]
	b.behave(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		b.answer(w, r)
	})
	answers := make(chan int, slots+1)
	for i := range slots {
		go func() { answers <- f.ask(t.Context(), http.MethodPost, "/pay/1", fmt.Sprint("r", i)).Status() }()
	}
	for range slots {
		<-entered
	}
	go func() { answers <- f.ask(t.Context(), http.MethodPost, "/pay/1", "queued").Status() }()
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
	c.Assert(other.total(), qt.Equals, 0)
}

func TestUnreachableServer(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	f.backends[0].server.Close()
	for i := range 6 {
		answer := f.ask(t.Context(), http.MethodPost, "/pay/1", fmt.Sprint("r", i))
		c.Assert(string(answer.Body()), qt.Equals, "b")
	}
}

// TestCallerThatLeftIsNotServed: nothing more is sent, and the server learns of it.
func TestCallerThatLeftIsNotServed(t *testing.T) {
	f := newFixture(t, 2, tally.NoopScope)
	asked, ended := make(chan struct{}, 4), make(chan struct{}, 4)
	for _, b := range f.backends {
		b.behave(func(_ http.ResponseWriter, r *http.Request) {
			b.run(r)
			asked <- struct{}{}
			<-r.Context().Done()
			ended <- struct{}{}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		cancel()
	}()
	f.ask(ctx, http.MethodGet, "/read/1", "r")
	<-ended
	qt.Assert(t, f.ran("r"), qt.Equals, 1)
}

// TestRouteTimeoutIsKept answers 504 when the time of the route is over, and tells the server.
func TestRouteTimeoutIsKept(t *testing.T) {
	f := newFixture(t, 1, tally.NoopScope)
	ended := make(chan struct{})
	f.backends[0].behave(func(_ http.ResponseWriter, r *http.Request) {
		f.backends[0].run(r)
		<-r.Context().Done()
		close(ended)
	})
	qt.Assert(t, f.ask(t.Context(), http.MethodPost, "/quick/1", "r").Status(), qt.Equals, http.StatusGatewayTimeout)
	<-ended
}

// TestStoppingNodeRefusesWhatCannotEnd, and answers what can.
func TestStoppingNodeRefusesWhatCannotEnd(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 2, tally.NoopScope)
	f.ingress.BeginShutdown(time.Now())
	c.Assert(f.ask(t.Context(), http.MethodPost, "/pay/1", "r1").Status(), qt.Equals, http.StatusOK, qt.Commentf("callers can't have noticed"))
	f.ingress.RefuseRequests()
	c.Assert(f.ask(t.Context(), http.MethodPost, "/pay/1", "r2").Status(), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(f.ran("r2"), qt.Equals, 0)
}

// TestPromisesHold has servers behave in any way under parallel requests: an unsafe attempt runs at most once, and one
// that was answered 503 has not run and does not run later.
func TestPromisesHold(t *testing.T) {
	f := newFixture(t, 4, tally.NoopScope)
	rnd := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(n)
	}
	for _, b := range f.backends {
		b.behave(func(w http.ResponseWriter, r *http.Request) {
			switch draw(6) {
			case 0:
				b.lose(w, r)
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
			statuses[i] = f.ask(ctx, http.MethodPost, "/pay/1", fmt.Sprint("r", i)).Status()
		})
	}
	wg.Wait()
	for i, status := range statuses {
		ran := f.ran(fmt.Sprint("r", i))
		qt.Check(t, ran <= 1, qt.IsTrue, qt.Commentf("request %d ran %d times", i, ran))
		if status == http.StatusServiceUnavailable {
			qt.Check(t, ran, qt.Equals, 0, qt.Commentf("request %d was said not to have run", i))
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
	qt.Assert(t, f.backends[0].total(), qt.Equals, 0)
}
