package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/operator"
)

// Remote are the options of every command that speaks to a node.
type Remote struct {
	Node    string        `long:"node" value-name:"ADDR" default:"127.0.0.1:7104" description:"operators' port of the node, an IP number with a port"`
	Fleet   string        `long:"fleet" value-name:"NAME" env:"BAMBOOKNOT_FLEET" default:"bambooknot" description:"name of the fleet that the node must belong to"`
	Timeout time.Duration `long:"request-timeout" value-name:"DURATION" default:"10s" description:"time that one request to the node may take"`
}

// Client returns a client of the node. The error is one of usage.
func (r Remote) Client() (*operator.Client, error) { return r.ClientOf(r.Node) }

// ClientOf returns a client of another node under the same options.
func (r Remote) ClientOf(node string) (*operator.Client, error) {
	addr, err := netip.ParseAddrPort(node)
	if err != nil || addr.Port() == 0 {
		return nil, fmt.Errorf("--node %q: allowed is an IP number with a port, such as 127.0.0.1:7104", node)
	}
	return operator.NewClient(addr, r.Fleet, &http.Client{Timeout: r.Timeout}), nil
}

// Context returns the context of one request.
func (r Remote) Context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), r.Timeout)
}

// Fail prints an error of a request that changes nothing, and returns its exit code.
func Fail(env Env, err error) int {
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
