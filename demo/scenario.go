package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/bambooknot/bambooknot/rig"
)

// Parameters of the steps.
const (
	readyTimeout   = 30 * time.Second
	publishTimeout = "20s"
	routeTimeout   = 15 * time.Second
	callsPerPath   = 6
	drainedNode    = 0 // index of the node to drain
)

// scenario runs the steps of the demo on a fleet.
type scenario struct {
	fleet         *rig.Fleet
	recordsPath   string
	changePath    string
	answeredCalls int
}

type step struct {
	name string
	run  func() error
}

func (s *scenario) run() error {
	for _, step := range []step{
		{"start the log, 12 nodes and 12 backend servers", s.start},
		{"publish the records", func() error { return s.publish(s.recordsPath) }},
		{"call every route through every region", s.callAll},
		{"show the status", func() error { return s.printCommand("status") }},
		{"publish a change and watch it take effect", s.applyChange},
		{"report the service-level burn", func() error { return s.printCommand("report", "burn") }},
		{"drain one server under calls", s.drain},
		{"stop the nodes", s.stop},
	} {
		begin := time.Now()
		if err := step.run(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Printf("== %s: done in %s\n", step.name, time.Since(begin).Round(time.Millisecond))
	}
	fmt.Printf("demo passed: 2 publishes in force on %d nodes, %d calls answered, 1 server drained\n", s.fleet.Size(), s.answeredCalls)
	return nil
}

func (s *scenario) start() error {
	if err := s.fleet.StartAll(); err != nil {
		return err
	}
	return rig.WaitUntil(readyTimeout, s.fleet.AllReady)
}

// publish publishes a record file through the first node and waits on the last node until it is in force.
func (s *scenario) publish(file string) error {
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	out, err := s.fleet.RunCommand(0, "publish", file, "--operator", "demo", "--publish-id", id.String())
	fmt.Print(out)
	if err != nil {
		return err
	}
	out, err = s.fleet.RunCommand(s.fleet.Size()-1, "watch", "--publish-id", id.String(), "--timeout", publishTimeout)
	fmt.Print(out)
	return err
}

func (s *scenario) printCommand(args ...string) error {
	out, err := s.fleet.RunCommand(0, args...)
	fmt.Print(out)
	return err
}

func (s *scenario) callAll() error {
	for _, path := range []string{"/narudzbe/katalog/ograde", "/narudzbe/status/17"} {
		if err := s.callInBothRegions(path, false); err != nil {
			return err
		}
	}
	for _, path := range []string{"/narudzbe/narudzba", "/radionica/termin", "/radionica/polog"} {
		if err := s.callInBothRegions(path, true); err != nil {
			return err
		}
	}
	return nil
}

// callInBothRegions calls a path through the first and the last node, which are in different regions.
func (s *scenario) callInBothRegions(path string, keyed bool) error {
	for _, node := range []int{0, s.fleet.Size() - 1} {
		for range callsPerPath {
			if err := s.callOnce(node, path, keyed); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *scenario) callOnce(node int, path string, keyed bool) error {
	method, key := http.MethodGet, ""
	if keyed {
		var err error
		method = http.MethodPost
		if key, err = s.newKey(node, path); err != nil {
			return err
		}
	}
	req, err := http.NewRequest(method, "http://"+s.fleet.CallersAddress(node).String()+path, strings.NewReader("order"))
	if err != nil {
		return err
	}
	if keyed {
		req.Header.Set("Idempotency-Key", key)
	}
	body, err := readOK(http.DefaultClient.Do(req))
	if err != nil {
		return fmt.Errorf("%s %s through node %d: %w", method, path, node, err)
	}
	if len(body) == 0 {
		return fmt.Errorf("%s %s through node %d: empty answer", method, path, node)
	}
	s.answeredCalls++
	return nil
}

// newKey requests a request key for a path from a node.
func (s *scenario) newKey(node int, path string) (string, error) {
	body, err := readOK(http.Get("http://" + s.fleet.CallersAddress(node).String() + "/bambooknot/keys?path=" + path))
	if err != nil {
		return "", fmt.Errorf("key for %s: %w", path, err)
	}
	var keys struct {
		Keys []string `json:"keys"`
	}
	if err := json.Unmarshal(body, &keys); err != nil {
		return "", err
	}
	if len(keys.Keys) == 0 {
		return "", errors.New("the node returned no request key")
	}
	return keys.Keys[0], nil
}

// readOK reads the whole body of a response with status 200.
func readOK(res *http.Response, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", res.Status, body)
	}
	return body, nil
}

func (s *scenario) applyChange() error {
	if err := s.publish(s.changePath); err != nil {
		return err
	}
	for node := range s.fleet.Size() {
		if err := s.callOnce(node, "/radionica/raspored", false); err != nil {
			return err
		}
	}
	return nil
}

// drain drains one node, waits until a series of calls through another node succeeds without reaching the drained
// server, and stops the drained node.
func (s *scenario) drain() error {
	if _, err := s.fleet.RunCommand(drainedNode, "drain"); err != nil {
		return err
	}
	const ingress = 1
	if err := rig.WaitUntil(routeTimeout, func() error { return s.checkDrained(ingress) }); err != nil {
		return err
	}
	return s.fleet.Node(drainedNode).Stop()
}

// checkDrained makes calls through a node and returns an error if the drained server processes any of them.
func (s *scenario) checkDrained(ingress int) error {
	before, err := completedCalls(s.fleet.BackendAddress(drainedNode))
	if err != nil {
		return err
	}
	const calls = 40
	for range calls {
		if err := s.callOnce(ingress, "/narudzbe/katalog/vrata", false); err != nil {
			return err
		}
	}
	after, err := completedCalls(s.fleet.BackendAddress(drainedNode))
	if err != nil {
		return err
	}
	if after != before {
		return fmt.Errorf("the drained server processed %d more calls", after-before)
	}
	return nil
}

// completedCalls returns the number of calls that a backend server has processed.
func completedCalls(server netip.AddrPort) (int, error) {
	body, err := readOK(http.Get("http://" + server.String() + "/control/done"))
	if err != nil {
		return 0, err
	}
	var total int
	err = json.Unmarshal(body, &total)
	return total, err
}

// stop stops the remaining nodes concurrently.
func (s *scenario) stop() error {
	var group errgroup.Group
	for i := range s.fleet.Size() {
		if i == drainedNode {
			continue
		}
		group.Go(func() error {
			if err := s.fleet.Node(i).Stop(); err != nil {
				return fmt.Errorf("node %d: %w\n%s", i, err, s.fleet.Node(i).Output())
			}
			return nil
		})
	}
	return group.Wait()
}
