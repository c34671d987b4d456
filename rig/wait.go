package rig

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

const pollPeriod = 50 * time.Millisecond

// WaitUntil polls a condition until it returns nil or the limit has passed, and returns the last error of the condition.
func WaitUntil(limit time.Duration, condition func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %s: %w", limit, err)
		}
		time.Sleep(pollPeriod)
	}
}

// Ready returns an error unless node i reports that it is ready.
func (f *Fleet) Ready(i int) error {
	return checkOK(f.ObserveAddress(i), "/ready")
}

// AllReady returns an error unless all nodes report that they are ready.
func (f *Fleet) AllReady() error {
	for i := range f.placements {
		if err := f.Ready(i); err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
	}
	return nil
}

func checkOK(addr netip.AddrPort, path string) error {
	res, err := http.Get("http://" + addr.String() + path)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		return fmt.Errorf("%s %s: %s", path, res.Status, body)
	}
	return nil
}
