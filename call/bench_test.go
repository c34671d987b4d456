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

// BenchmarkDirect is the baseline of BenchmarkIdempotent, without the two hops through nodes.
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
		get(b, f.client, f.ingressServer.URL+"/browse")
	}
}

func BenchmarkKeyed(b *testing.B) {
	f := newFleet(b, 1, standin.ServerSettings{Slots: 64})
	b.ReportAllocs()
	for b.Loop() {
		if got := f.do("POST", "/commission", "gate", HeaderKey, f.newKey(f.nodes[0])); got.outcome != OutcomeAnswered {
			b.Fatal(got)
		}
	}
}

// BenchmarkHandlers measures the cost of the ingress and the owner alone, without network connections.
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

// memoryWriter is an http.ResponseWriter that keeps the response in memory.
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

// handlerTransport is an http.RoundTripper that calls a handler directly.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := &memoryWriter{header: make(http.Header)}
	t.handler.ServeHTTP(w, r)
	return &http.Response{
		StatusCode: w.status, Header: w.header, ContentLength: int64(w.body.Len()), Request: r,
		Body: io.NopCloser(strings.NewReader(w.body.String())),
	}, nil
}

// Load of the goodput benchmarks: 4 servers with 4 slots and 50 ms per call have a capacity of 320 calls per
// second. A response is useful within 300 ms.
const (
	loadServers     = 4
	loadSlots       = 4
	loadServiceTime = 50 * time.Millisecond
	loadTimeout     = 300 * time.Millisecond
	loadDuration    = 3 * time.Second
	loadCapacity    = loadServers * loadSlots * int(time.Second/loadServiceTime)
)

// offerLoad makes calls in an open loop, at a constant rate of loadFactor times the capacity, and returns how
// many were made and for how many call returned true.
func offerLoad(loadFactor float64, call func(n int) bool) (offered, good int) {
	rate := loadFactor * float64(loadCapacity)
	start := time.Now()
	var wg sync.WaitGroup
	var goodCount atomic.Int64
	for offered = 0; time.Since(start) < loadDuration; {
		for due := int(time.Since(start).Seconds() * rate); offered < due; offered++ {
			wg.Add(1)
			go func(n int) {
				defer wg.Done()
				if call(n) {
					goodCount.Add(1)
				}
			}(offered)
		}
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	return offered, int(goodCount.Load())
}

// answeredInTime makes one call and reports whether the complete response arrived within loadTimeout.
func answeredInTime(client *http.Client, method, url string, header ...string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
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
	return newFleet(b, loadServers, standin.ServerSettings{Slots: loadSlots, ServiceTime: loadServiceTime})
}

var loads = []float64{0.5, 1, 2, 5}

// BenchmarkGoodput measures the rate of calls answered in time, as a share of the capacity.
func BenchmarkGoodput(b *testing.B) {
	for _, loadFactor := range loads {
		b.Run(fmt.Sprintf("load=%vx", loadFactor), func(b *testing.B) {
			f := loadFleet(b)
			for b.Loop() {
				_, good := offerLoad(loadFactor, func(int) bool {
					return answeredInTime(f.client, "GET", f.ingressServer.URL+"/browse", HeaderTimeout, "300")
				})
				b.ReportMetric(float64(good)/loadDuration.Seconds()/float64(loadCapacity), "goodput/capacity")
			}
		})
	}
}

// BenchmarkGoodputRoundRobin is the baseline of BenchmarkGoodput: callers use the servers round-robin, with up
// to two retries and no limits.
func BenchmarkGoodputRoundRobin(b *testing.B) {
	for _, loadFactor := range loads {
		b.Run(fmt.Sprintf("load=%vx", loadFactor), func(b *testing.B) {
			f := loadFleet(b)
			var next atomic.Int64
			for b.Loop() {
				_, good := offerLoad(loadFactor, func(int) bool {
					for range 3 {
						n := f.nodes[next.Add(1)%loadServers]
						if answeredInTime(f.client, "GET", n.backend.URL+"/browse") {
							return true
						}
					}
					return false
				})
				b.ReportMetric(float64(good)/loadDuration.Seconds()/float64(loadCapacity), "goodput/capacity")
			}
		})
	}
}

// BenchmarkKeyedAgainstBrowsing measures the shares of keyed and idempotent calls answered in time at twice
// the capacity, with one keyed call in five.
func BenchmarkKeyedAgainstBrowsing(b *testing.B) {
	f := loadFleet(b)
	snap := f.snap.Load()
	route, _ := routeByNameOrPath(snap, "commission", "")
	for b.Loop() {
		var keyed, keyedAnswered, idempotentAnswered atomic.Int64
		offered, _ := offerLoad(2, func(n int) bool {
			if n%5 != 0 {
				if answeredInTime(f.client, "GET", f.ingressServer.URL+"/browse", HeaderTimeout, "300") {
					idempotentAnswered.Add(1)
				}
				return true
			}
			keyed.Add(1)
			key := f.ingress.issueKeys(snap, route, 1)[0]
			if answeredInTime(f.client, "POST", f.ingressServer.URL+"/commission", HeaderKey, key, HeaderAttempt, "1", HeaderTimeout, "300") {
				keyedAnswered.Add(1)
			}
			return true
		})
		b.ReportMetric(float64(keyedAnswered.Load())/float64(keyed.Load()), "keyed-answered")
		b.ReportMetric(float64(idempotentAnswered.Load())/float64(int64(offered)-keyed.Load()), "browsing-answered")
	}
}

// BenchmarkAddedTime measures the latency that the two hops add at a given rate of calls. Direct calls
// alternate with calls through the nodes.
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
	for n := 0; time.Since(start) < loadDuration; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		wg.Add(1)
		go func() {
			defer wg.Done()
			url := f.ingressServer.URL
			if n%2 == 0 {
				url = f.nodes[0].backend.URL
			}
			sentAt := time.Now()
			if !answeredInTime(f.client, "GET", url+"/browse") {
				return
			}
			latency := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			if n%2 == 0 {
				direct = append(direct, latency)
			} else {
				through = append(through, latency)
			}
		}()
	}
	wg.Wait()
	return direct, through
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[int(float64(len(latencies)-1)*q)]
}
