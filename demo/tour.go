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

// Limits of the steps of the tour.
const (
	readyTimeout = 30 * time.Second
	watchTimeout = "20s"
	routeTimeout = 15 * time.Second
	callsPerPath = 6
	drained      = 0 // index of the node that is drained
)

// tour takes a fleet through the demo, a step at a time.
type tour struct {
	fleet   *rig.Fleet
	records string
	change  string
	calls   int
}

type step struct {
	name string
	run  func() error
}

func (t *tour) run() error {
	for _, s := range []step{
		{"start the log, 12 nodes and 12 backend servers", t.start},
		{"publish the records", func() error { return t.publish(t.records) }},
		{"call every route through every region", t.callAll},
		{"show the status", func() error { return t.show("status") }},
		{"publish a change and watch it take effect", t.applyChange},
		{"report the service-level burn", func() error { return t.show("report", "burn") }},
		{"drain one server under calls", t.drain},
		{"stop the nodes", t.stop},
	} {
		begin := time.Now()
		if err := s.run(); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		fmt.Printf("== %s: done in %s\n", s.name, time.Since(begin).Round(time.Millisecond))
	}
	fmt.Printf("demo passed: 2 publishes in force on %d nodes, %d calls answered, 1 server drained\n", t.fleet.Size(), t.calls)
	return nil
}

func (t *tour) start() error {
	if err := t.fleet.StartAll(); err != nil {
		return err
	}
	return rig.WaitUntil(readyTimeout, t.fleet.AllReady)
}

// publish publishes a file through the first node and watches it take effect from the last.
func (t *tour) publish(file string) error {
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	out, err := t.fleet.RunCommand(0, "publish", file, "--operator", "demo", "--publish-id", id.String())
	fmt.Print(out)
	if err != nil {
		return err
	}
	out, err = t.fleet.RunCommand(t.fleet.Size()-1, "watch", "--publish-id", id.String(), "--timeout", watchTimeout)
	fmt.Print(out)
	return err
}

func (t *tour) show(args ...string) error {
	out, err := t.fleet.RunCommand(0, args...)
	fmt.Print(out)
	return err
}

func (t *tour) callAll() error {
	for _, path := range []string{"/narudzbe/katalog/ograde", "/narudzbe/status/17"} {
		if err := t.callMany(path, false); err != nil {
			return err
		}
	}
	for _, path := range []string{"/narudzbe/narudzba", "/radionica/termin", "/radionica/polog"} {
		if err := t.callMany(path, true); err != nil {
			return err
		}
	}
	return nil
}

// callMany calls a path through the first and the last node, which stand in different regions.
func (t *tour) callMany(path string, keyed bool) error {
	for _, node := range []int{0, t.fleet.Size() - 1} {
		for range callsPerPath {
			if err := t.callOnce(node, path, keyed); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *tour) callOnce(node int, path string, keyed bool) error {
	method, key := http.MethodGet, ""
	if keyed {
		var err error
		method = http.MethodPost
		if key, err = t.newKey(node, path); err != nil {
			return err
		}
	}
	req, err := http.NewRequest(method, "http://"+t.fleet.CallersAddress(node).String()+path, strings.NewReader("order"))
	if err != nil {
		return err
	}
	if keyed {
		req.Header.Set("Idempotency-Key", key)
	}
	body, err := answer(http.DefaultClient.Do(req))
	if err != nil {
		return fmt.Errorf("%s %s through node %d: %w", method, path, node, err)
	}
	if len(body) == 0 {
		return fmt.Errorf("%s %s through node %d: empty answer", method, path, node)
	}
	t.calls++
	return nil
}

// newKey takes a request key for a path from the node.
func (t *tour) newKey(node int, path string) (string, error) {
	body, err := answer(http.Get("http://" + t.fleet.CallersAddress(node).String() + "/bambooknot/keys?path=" + path))
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
		return "", errors.New("no key issued")
	}
	return keys.Keys[0], nil
}

// answer reads the whole body of a response with status 200.
func answer(res *http.Response, err error) ([]byte, error) {
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

func (t *tour) applyChange() error {
	if err := t.publish(t.change); err != nil {
		return err
	}
	for node := range t.fleet.Size() {
		if err := t.callOnce(node, "/radionica/raspored", false); err != nil {
			return err
		}
	}
	return nil
}

// drain drains one node while calls go on through another, and checks that no call is lost and that
// the drained server gets no new one in the end.
func (t *tour) drain() error {
	if _, err := t.fleet.RunCommand(drained, "drain"); err != nil {
		return err
	}
	const through = 1
	if err := rig.WaitUntil(routeTimeout, func() error { return t.quiet(through) }); err != nil {
		return err
	}
	return t.fleet.Node(drained).Stop()
}

// quiet returns nil when a run of calls leaves the drained server without a new execution.
func (t *tour) quiet(through int) error {
	before, err := executions(t.fleet.BackendAddress(drained))
	if err != nil {
		return err
	}
	const calls = 40
	for range calls {
		if err := t.callOnce(through, "/narudzbe/katalog/vrata", false); err != nil {
			return err
		}
	}
	after, err := executions(t.fleet.BackendAddress(drained))
	if err != nil {
		return err
	}
	if after != before {
		return fmt.Errorf("the drained server ran %d more calls", after-before)
	}
	return nil
}

// executions returns how many calls a backend server has run.
func executions(server netip.AddrPort) (int, error) {
	body, err := answer(http.Get("http://" + server.String() + "/control/done"))
	if err != nil {
		return 0, err
	}
	var total int
	err = json.Unmarshal(body, &total)
	return total, err
}

// stop stops all nodes at once.
func (t *tour) stop() error {
	var group errgroup.Group
	for i := range t.fleet.Size() {
		if i == drained {
			continue
		}
		group.Go(func() error {
			if err := t.fleet.Node(i).Stop(); err != nil {
				return fmt.Errorf("node %d: %w\n%s", i, err, t.fleet.Node(i).Output())
			}
			return nil
		})
	}
	return group.Wait()
}
