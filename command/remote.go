package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/rollout"
	"github.com/bambooknot/bambooknot/timer"
)

const rolloutPollInterval = 200 * time.Millisecond

// RequestOptions are the options of every command that speaks to nodes.
type RequestOptions struct {
	Fleet          string        `long:"fleet" value-name:"NAME" env:"BAMBOOKNOT_FLEET" default:"bambooknot" description:"name of the fleet that the node must belong to"`
	RequestTimeout time.Duration `long:"request-timeout" value-name:"DURATION" default:"10s" description:"time that one request to a node may take"`
}

// NodeOptions are the options of every command that speaks to one node.
type NodeOptions struct {
	Node string `long:"node" value-name:"ADDR" default:"127.0.0.1:7104" description:"operators' port of the node, an IP number with a port"`
	RequestOptions
}

// Client returns a client of the node. The error is one of usage.
func (r NodeOptions) Client() (*operator.Client, error) { return r.ClientFor(r.Node) }

// ClientFor returns a client of a node. The error is one of usage.
func (a RequestOptions) ClientFor(node string) (*operator.Client, error) {
	addr, err := netip.ParseAddrPort(node)
	if err != nil || addr.Port() == 0 {
		return nil, fmt.Errorf("--node %q: allowed is an IP number with a port, such as 127.0.0.1:7104", node)
	}
	// A transport of its own takes no proxy from the environment: what an operator sends goes to the node.
	client := &http.Client{Timeout: a.RequestTimeout, Transport: &http.Transport{}}
	return operator.NewClient(addr, a.Fleet, client), nil
}

// RequestContext returns the context of one request.
func (a RequestOptions) RequestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), a.RequestTimeout)
}

// FailRequest prints an error of a request that changes nothing, and returns its exit code.
func FailRequest(env Env, err error) int {
	fmt.Fprintln(env.Err, err)
	var rejected *operator.RejectedError
	if errors.As(err, &rejected) {
		return ExitFailure
	}
	return ExitUnavailable
}

// FailUsage prints an error of arguments, settings or records, and returns its exit code.
func FailUsage(env Env, err error) int {
	fmt.Fprintln(env.Err, err)
	return ExitUsage
}

// FollowRollout follows a version until it is in force everywhere, at most for limit, and prints each change
// of the progress: as a line of text, or of JSON.
func (r NodeOptions) FollowRollout(env Env, client *operator.Client, version record.Version, limit time.Duration, asJSON bool) int {
	clock := timer.New()
	status := func() (message.Status, error) {
		ctx, cancel := r.RequestContext()
		defer cancel()
		return client.Status(ctx)
	}
	last := ""
	report := func(p rollout.Progress) {
		if line := progressLine(p, asJSON); line != last {
			fmt.Fprintln(env.Out, line)
			last = line
		}
	}
	err := rollout.NewFollower(status, clock.Now, NewSleeper(clock)).Follow(version, rolloutPollInterval, limit, report)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitTimeout
	}
	return ExitOK
}

// NewSleeper returns a function that waits by a clock.
func NewSleeper(clock *timer.Service) func(time.Duration) {
	return func(d time.Duration) {
		done := make(chan struct{})
		defer clock.After(d, func(time.Time) { close(done) }).Close()
		<-done
	}
}
