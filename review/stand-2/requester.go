//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	host        = "lists.example"
	pathUpload  = "/upload/"
	pathReserve = "/reserve/"

	serviceLists   = "listkeeper"
	serviceCounter = "counterlink"
)

// newConfig returns a configuration in the form that `fleetbench wire` shows.
func newConfig(version int, timeout, target time.Duration) map[string]any {
	route := func(name, prefix, kind, service string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout": timeout.String(), "target_latency": target.String(),
			"priority": priority, "service": service, "max_attempts": 2,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("r-upload", pathUpload, "unsafe", serviceLists, 1), route("r-reserve", pathReserve, "unsafe", serviceCounter, 1)},
		"services": []any{
			map[string]any{"name": serviceLists, "health_path": "/health", "max_connections": 120},
			map[string]any{"name": serviceCounter, "health_path": "/health", "max_connections": 120},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// outcome is how a request ended for its requester.
type outcome struct {
	id     string
	status int  // 0 without an answer
	kept   bool // the connection had carried a request before
	closed bool // the connection ended without an answer, before the time limit
	err    error
	took   time.Duration
}

// requester sends requests on kept connections to the sidecar of its machine.
type requester struct {
	machine *machine
	client  *http.Client
}

func newRequester(m *machine) *requester {
	return &requester{machine: m, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one request, once.
func (q *requester) send(method, path string, body []byte, limit time.Duration) outcome {
	o := outcome{id: newID()}
	start := time.Now()
	req, err := http.NewRequest(method, "http://"+q.machine.callers()+path, nil)
	if err != nil {
		o.err = err
		return o
	}
	if body != nil {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body)) // without GetBody nothing is sent again
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", o.id)
	req.Header.Set("X-Deadline-Remaining", fmt.Sprint(limit.Milliseconds()))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { o.kept = info.Reused }}
	resp, err := q.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			o.status = resp.StatusCode
		}
	}
	o.err, o.took = err, time.Since(start)
	o.closed = err != nil && ctx.Err() == nil
	return o
}
