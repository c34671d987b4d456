package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/message"
)

func startForwarder(tb testing.TB, handler http.Handler) (*Forwarder, netip.AddrPort) {
	calls := NewCallServer(handler)
	peer := startListener(tb, "fleet", calls.ServeConn)
	forward := NewForwarder(NewDialer("fleet"))
	tb.Cleanup(func() { _ = forward.Close(); _ = calls.Close() })
	return forward, peer
}

func startListener(tb testing.TB, fleet string, calls func(context.Context, net.Conn)) netip.AddrPort {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	l := NewListener(inner, fleet, Handlers{ServeCalls: calls, HandleFrame: func([]byte) {}}, tally.NoopScope)
	tb.Cleanup(func() { _ = l.Close() })
	return inner.Addr().(*net.TCPAddr).AddrPort()
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("X-Given"))
	w.WriteHeader(http.StatusAccepted)
	_, _ = w.Write(body)
}

func TestForwardsRequestAndResponse(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 100_005} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			forward, peer := startForwarder(t, http.HandlerFunc(echo))
			body := bytes.Repeat([]byte{'x'}, size)
			for range 3 {
				req, err := http.NewRequest(http.MethodPost, "http://"+peer.String()+"/orders?x=1", bytes.NewReader(body))
				qt.Assert(t, err, qt.IsNil)
				req.Header.Set("X-Given", "value")
				res, err := forward.RoundTrip(req)
				qt.Assert(t, err, qt.IsNil)
				got, err := io.ReadAll(res.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, res.Body.Close(), qt.IsNil)
				qt.Assert(t, res.StatusCode, qt.Equals, http.StatusAccepted)
				qt.Assert(t, res.Header.Get("X-Seen"), qt.Equals, "POST /orders?x=1 value")
				qt.Assert(t, bytes.Equal(got, body), qt.IsTrue)
			}
		})
	}
}

func TestForwardReportsAbortedResponse(t *testing.T) {
	forward, peer := startForwarder(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	req, err := http.NewRequest(http.MethodGet, "http://"+peer.String()+"/", nil)
	qt.Assert(t, err, qt.IsNil)
	res, err := forward.RoundTrip(req)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNotNil)
	_ = res.Body.Close()
}

func TestForwardCancelReachesHandler(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	forward, peer := startForwarder(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+"/", nil)
	qt.Assert(t, err, qt.IsNil)
	go func() { <-started; cancel() }()
	_, err = forward.RoundTrip(req)
	qt.Assert(t, err, qt.IsNotNil)
	<-ended
}

func TestForwardReportsNotSent(t *testing.T) {
	const unreachable = "127.255.255.1:1"
	req, err := http.NewRequest(http.MethodGet, "http://"+unreachable+"/", nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = NewForwarder(NewDialer("fleet")).RoundTrip(req)
	var notSent *message.NotSentError
	qt.Assert(t, errors.As(err, &notSent), qt.IsTrue, qt.Commentf("%v", err))
}

func TestHelloRefusal(t *testing.T) {
	served := false
	peer := startListener(t, "fleet", func(context.Context, net.Conn) { served = true })
	_, err := NewDialer("other").open(context.Background(), peer, purposeCalls)
	qt.Assert(t, errors.Is(err, ErrWrongFleet), qt.IsTrue, qt.Commentf("%v", err))
	_, err = NewDialer("fleet").open(context.Background(), peer, purpose(9))
	qt.Assert(t, errors.Is(err, ErrUnknownPurpose), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, served, qt.IsFalse)

	otherVersion := encodeHello("fleet", purposeCalls)
	otherVersion[5]++
	_, reply, err := checkHello("fleet", otherVersion)
	qt.Assert(t, err, qt.Equals, ErrWrongProtocol)
	qt.Assert(t, reply, qt.Equals, replyWrongProtocol)
	_, _, err = checkHello("fleet", []byte("GET / HTTP/1.1\r"))
	qt.Assert(t, err, qt.Equals, ErrNoHello)
}

func TestFramesArrive(t *testing.T) {
	got := make(chan []byte, 1)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := NewListener(inner, "fleet", Handlers{HandleFrame: func(f []byte) { got <- f }}, tally.NoopScope)
	frames := NewFrameSender(NewDialer("fleet"), tally.NoopScope)
	large := bytes.Repeat([]byte{7}, 1<<20)
	frames.Send(inner.Addr().(*net.TCPAddr).AddrPort(), large)
	qt.Assert(t, bytes.Equal(<-got, large), qt.IsTrue)
	qt.Assert(t, frames.Close(), qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
}

func BenchmarkForward(b *testing.B) {
	answer := bytes.Repeat([]byte{'x'}, 1024)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	b.Run("serial", func(b *testing.B) {
		forward, peer := startForwarder(b, handler)
		b.ReportAllocs()
		for b.Loop() {
			call(b, forward, peer)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		forward, peer := startForwarder(b, handler)
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call(b, forward, peer)
			}
		})
	})
}

func call(tb testing.TB, forward http.RoundTripper, peer netip.AddrPort) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+peer.String()+"/katalog", nil)
	req.Header.Set("Accept", "application/json")
	res, err := forward.RoundTrip(req)
	if err != nil {
		tb.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// TestDialEndsWithContextWhenPeerIsSilent dials a peer that accepts the connection but does not answer the hello, as a
// paused process does. Dialling must end as soon as the context is cancelled.
func TestDialEndsWithContextWhenPeerIsSilent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	dialled := make(chan error)
	go func() {
		_, err := NewDialer("shop").DialCalls(ctx, netip.MustParseAddrPort(l.Addr().String()))
		dialled <- err
	}()
	silent, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	hello := make([]byte, helloSize)
	_, err = io.ReadFull(silent, hello)
	c.Assert(err, qt.IsNil)
	cancel()
	c.Assert(<-dialled, qt.ErrorIs, context.Canceled)
}
