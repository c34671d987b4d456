package command

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/bambooknot/bambooknot/operator"
)

const releaseLong = `Releases a request content that servers crashed with, on all nodes of the fleet. Run it on the VM of the node; quarantined
lists the contents.

Exit codes: 0 the node releases the content; 1 the node rejected the request; 2 invalid arguments; 4 no response, the content may
be released; 5 the node could not be reached.`

type releaseCommand struct {
	SidecarOptions
	Args struct {
		Content string `positional-arg-name:"CONTENT" required:"yes"`
	} `positional-args:"yes"`
}

func init() {
	Register("release", "Release a quarantined request", releaseLong, func() Runner { return &releaseCommand{} })
}

func (c *releaseCommand) Run(env Env, _ []string) int {
	client, err := c.QuarantineClient()
	if err != nil {
		return FailUsage(env, err)
	}
	ctx, cancel := c.RequestContext()
	defer cancel()
	err = client.Release(ctx, c.Args.Content)
	var rejected *operator.RejectedError
	switch {
	case err == nil:
		fmt.Fprintln(env.Out, "released", c.Args.Content)
		return ExitOK
	case operator.NotSent(err), errors.As(err, &rejected):
		return FailRequest(env, err)
	}
	fmt.Fprintf(env.Err, "the content may be released: %v\n", err)
	return ExitUnknown
}

// SidecarOptions are the options of commands that send requests to the metrics port of a sidecar.
type SidecarOptions struct {
	Node string `long:"node" value-name:"ADDR" required:"yes" description:"the sidecar's metrics port, an IP address with a port"`
	TimeoutOptions
}

// QuarantineClient returns a client of the sidecar. It fails only if the address is invalid.
func (o SidecarOptions) QuarantineClient() (*operator.QuarantineClient, error) {
	addr, err := parseNode(o.Node)
	if err != nil {
		return nil, err
	}
	return operator.NewQuarantineClient(addr, o.httpClient()), nil
}

// OrganisationClient returns a client of the sidecar. It fails only if the address is invalid.
func (o SidecarOptions) OrganisationClient() (*operator.OrganisationClient, error) {
	addr, err := parseNode(o.Node)
	if err != nil {
		return nil, err
	}
	return operator.NewOrganisationClient(addr, o.httpClient()), nil
}

func (o SidecarOptions) httpClient() *http.Client {
	return &http.Client{Timeout: o.RequestTimeout, Transport: &http.Transport{}}
}

// RolloutClient returns a client of the sidecar. It fails only if the address is invalid.
func (o SidecarOptions) RolloutClient() (*operator.RolloutClient, error) {
	addr, err := parseNode(o.Node)
	if err != nil {
		return nil, err
	}
	return operator.NewRolloutClient(addr, &http.Client{Timeout: o.RequestTimeout, Transport: &http.Transport{}}), nil
}
