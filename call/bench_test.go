package call

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/standin"
)

func get(b *testing.B, client *http.Client, url string) {
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
}

// BenchmarkDirect and BenchmarkIdempotent differ by the two hops through nodes.
func BenchmarkDirect(b *testing.B) {
	f := newFleet(b, 1, standin.ServerSettings{Slots: 64})
	b.ReportAllocs()
	for b.Loop() {
		get(b, f.client, f.nodes[0].backend.URL+"/browse")
	}
}

func BenchmarkIdempotent(b *testing.B) {
	f := newFleet(b, 1, standin.ServerSettings{Slots: 64})
	b.ReportAllocs()
	for b.Loop() {
		get(b, f.client, f.port.URL+"/browse")
	}
}

func BenchmarkKeyed(b *testing.B) {
	f := newFleet(b, 1, standin.ServerSettings{Slots: 64})
	b.ReportAllocs()
	for b.Loop() {
		if got := f.do("POST", "/commission", "gate", HeaderKey, f.key(f.nodes[0])); got.outcome != OutcomeAnswered {
			b.Fatal(got)
		}
	}
}

// BenchmarkHandlers leaves out the connections: what ingress and owner themselves cost.
func BenchmarkHandlers(b *testing.B) {
	f := newFleet(b, 1, standin.ServerSettings{Slots: 64})
	f.ingress.settings.Forward = handlerTransport{f.nodes[0].owner}
	f.nodes[0].owner.transport = handlerTransport{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequest("GET", "http://node/browse", nil)
		w := &memoryWriter{header: make(http.Header)}
		f.ingress.ServeHTTP(w, r)
		if w.status != http.StatusOK {
			b.Fatal(w.status)
		}
	}
}

type memoryWriter struct {
	header http.Header
	status int
	body   strings.Builder
}

func (w *memoryWriter) Header() http.Header { return w.header }

func (w *memoryWriter) WriteHeader(status int) { w.status = status }

func (w *memoryWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.body.Write(p)
}

type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := &memoryWriter{header: make(http.Header)}
	t.handler.ServeHTTP(w, r)
	return &http.Response{
		StatusCode: w.status, Header: w.header, ContentLength: int64(w.body.Len()), Request: r,
		Body: io.NopCloser(strings.NewReader(w.body.String())),
	}, nil
}

// Loads of the goodput benchmarks: 4 servers of 4 slots and 50 ms make a capacity of 320 calls a
// second; a call is of use for 300 ms.
const (
	loadServers  = 4
	loadSlots    = 4
	loadWork     = 50 * time.Millisecond
	loadDeadline = 300 * time.Millisecond
	loadTime     = 3 * time.Second
	loadCapacity = loadServers * loadSlots * int(time.Second/loadWork)
)

// offer makes calls at a constant rate, whatever becomes of them, and returns how many were good.
func offer(times float64, one func(n int) bool) (offered, good int) {
	rate := times * float64(loadCapacity)
	start := time.Now()
	var wg sync.WaitGroup
	var count atomic.Int64
	for offered = 0; time.Since(start) < loadTime; {
		for due := int(time.Since(start).Seconds() * rate); offered < due; offered++ {
			wg.Add(1)
			go func(n int) {
				defer wg.Done()
				if one(n) {
					count.Add(1)
				}
			}(offered)
		}
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	return offered, int(count.Load())
}

// timed makes one call and tells whether it was answered in time.
func timed(client *http.Client, method, url string, header ...string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), loadDeadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, url, nil)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func loadFleet(b *testing.B) *fleet {
	return newFleet(b, loadServers, standin.ServerSettings{Slots: loadSlots, Work: loadWork})
}

var loads = []float64{0.5, 1, 2, 5}

// BenchmarkGoodput measures the share of the capacity that is answered in time.
func BenchmarkGoodput(b *testing.B) {
	for _, times := range loads {
		b.Run(fmt.Sprintf("load=%vx", times), func(b *testing.B) {
			f := loadFleet(b)
			for b.Loop() {
				_, good := offer(times, func(int) bool {
					return timed(f.client, "GET", f.port.URL+"/browse", HeaderTimeout, "300")
				})
				b.ReportMetric(float64(good)/loadTime.Seconds()/float64(loadCapacity), "goodput/capacity")
			}
		})
	}
}

// BenchmarkGoodputRoundRobin is the baseline: callers take the servers in turn, with up to two retries
// and without limits.
func BenchmarkGoodputRoundRobin(b *testing.B) {
	for _, times := range loads {
		b.Run(fmt.Sprintf("load=%vx", times), func(b *testing.B) {
			f := loadFleet(b)
			var turn atomic.Int64
			for b.Loop() {
				_, good := offer(times, func(int) bool {
					for range 3 {
						n := f.nodes[turn.Add(1)%loadServers]
						if timed(f.client, "GET", n.backend.URL+"/browse") {
							return true
						}
					}
					return false
				})
				b.ReportMetric(float64(good)/loadTime.Seconds()/float64(loadCapacity), "goodput/capacity")
			}
		})
	}
}

// BenchmarkKeyedAgainstBrowsing measures the share of keyed calls, one in five, that are answered in
// time at twice the capacity.
func BenchmarkKeyedAgainstBrowsing(b *testing.B) {
	f := loadFleet(b)
	snap := f.snap.Load()
	route, _ := routeByNameOrPath(snap, "commission", "")
	for b.Loop() {
		var keyed, answered, browsed atomic.Int64
		offered, _ := offer(2, func(n int) bool {
			if n%5 != 0 {
				if timed(f.client, "GET", f.port.URL+"/browse", HeaderTimeout, "300") {
					browsed.Add(1)
				}
				return true
			}
			keyed.Add(1)
			key := f.ingress.issueKeys(snap, route, 1)[0]
			if timed(f.client, "POST", f.port.URL+"/commission", HeaderKey, key, HeaderAttempt, "1", HeaderTimeout, "300") {
				answered.Add(1)
			}
			return true
		})
		b.ReportMetric(float64(answered.Load())/float64(keyed.Load()), "keyed-answered")
		b.ReportMetric(float64(browsed.Load())/float64(int64(offered)-keyed.Load()), "browsing-answered")
	}
}

// BenchmarkAddedTime measures, call by call in turns, what the two hops add at a rate of calls.
func BenchmarkAddedTime(b *testing.B) {
	for _, rate := range []int{360, 3600} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			f := newFleet(b, 1, standin.ServerSettings{Slots: 64})
			for b.Loop() {
				direct, through := addedTime(f, rate)
				b.ReportMetric(float64(quantile(through, 0.5)-quantile(direct, 0.5))/1e6, "p50-added-ms")
				b.ReportMetric(float64(quantile(through, 0.99)-quantile(direct, 0.99))/1e6, "p99-added-ms")
				b.ReportMetric(float64(quantile(direct, 0.99))/1e6, "p99-direct-ms")
			}
		})
	}
}

func addedTime(f *fleet, rate int) (direct, through []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < loadTime; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		wg.Add(1)
		go func() {
			defer wg.Done()
			url := f.port.URL
			if n%2 == 0 {
				url = f.nodes[0].backend.URL
			}
			at := time.Now()
			if !timed(f.client, "GET", url+"/browse") {
				return
			}
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			if n%2 == 0 {
				direct = append(direct, took)
			} else {
				through = append(through, took)
			}
		}()
	}
	wg.Wait()
	return direct, through
}

func quantile(all []time.Duration, q float64) time.Duration {
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[int(float64(len(all)-1)*q)]
}
