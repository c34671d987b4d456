package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// RolloutsPath is the path of the roll-outs on a sidecar's metrics port, and HaltPath the one to which the halt of one of
// them is posted, with the service in ServiceParameter.
const (
	RolloutsPath     = "/rollouts"
	HaltPath         = "/rollouts/halt"
	ServiceParameter = "service"
)

// RolloutFields are the state of the roll-out of a service as one sidecar knows it.
type RolloutFields struct {
	Service        string
	Target         string
	Base           string
	Phase          string
	Share          float64 // of the requests that go to the target version, as decided
	Servers        int     // of the target version in use, 0 for all
	Halted         bool
	Stopped        bool // by the node's own guard
	Guards         int  // nodes whose guard has stopped the target version, at the node that decides
	Sequence       uint64
	Age            time.Duration // of the order
	Limit          time.Duration
	Verdict        string
	BaseRequests   uint64
	TargetRequests uint64
	Decider        string // address of the node that decides
	Reason         string
}

type rolloutJSON struct {
	Service        string  `json:"service"`
	Target         string  `json:"target_version"`
	Base           string  `json:"base_version"`
	Phase          string  `json:"phase"`
	Share          float64 `json:"share"`
	Servers        int     `json:"servers"`
	Halted         bool    `json:"halted"`
	Stopped        bool    `json:"stopped"`
	Guards         int     `json:"guards"`
	Sequence       uint64  `json:"sequence"`
	AgeSeconds     float64 `json:"age_seconds"`
	LimitSeconds   float64 `json:"limit_seconds"`
	Verdict        string  `json:"verdict"`
	BaseRequests   uint64  `json:"base_requests"`
	TargetRequests uint64  `json:"target_requests"`
	Decider        string  `json:"decider"`
	Reason         string  `json:"reason"`
}

// WriteRollouts writes roll-outs as JSON.
func WriteRollouts(w io.Writer, rollouts []RolloutFields) error {
	rows := make([]rolloutJSON, 0, len(rollouts))
	for _, r := range rollouts {
		rows = append(rows, rolloutJSON{
			Service: r.Service, Target: r.Target, Base: r.Base, Phase: r.Phase, Share: r.Share, Servers: r.Servers, Halted: r.Halted, Stopped: r.Stopped, Guards: r.Guards,
			Sequence: r.Sequence, AgeSeconds: r.Age.Seconds(), LimitSeconds: r.Limit.Seconds(), Verdict: r.Verdict, BaseRequests: r.BaseRequests,
			TargetRequests: r.TargetRequests, Decider: r.Decider, Reason: r.Reason,
		})
	}
	return json.NewEncoder(w).Encode(rows)
}

// RolloutClient asks one sidecar for the roll-outs of service versions.
type RolloutClient struct {
	port metricsPort
}

// NewRolloutClient returns a client of the metrics port at the given address.
func NewRolloutClient(address netip.AddrPort, client *http.Client) *RolloutClient {
	return &RolloutClient{port: metricsPort{step: "operator.rollouts", address: address, httpClient: client}}
}

// List returns the last roll-out of each service.
func (c *RolloutClient) List(ctx context.Context) ([]RolloutFields, error) {
	var rows []rolloutJSON
	if err := c.port.get(ctx, RolloutsPath, &rows); err != nil {
		return nil, err
	}
	var all []RolloutFields
	for _, r := range rows {
		all = append(all, RolloutFields{
			Service: r.Service, Target: r.Target, Base: r.Base, Phase: r.Phase, Share: r.Share, Servers: r.Servers, Halted: r.Halted, Stopped: r.Stopped, Guards: r.Guards,
			Sequence: r.Sequence, Age: seconds(r.AgeSeconds), Limit: seconds(r.LimitSeconds), Verdict: r.Verdict, BaseRequests: r.BaseRequests,
			TargetRequests: r.TargetRequests, Decider: r.Decider, Reason: r.Reason,
		})
	}
	return all, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Halt halts the roll-out of a service on all nodes.
func (c *RolloutClient) Halt(ctx context.Context, service string) error {
	return c.port.post(ctx, HaltPath+"?"+url.Values{ServiceParameter: {service}}.Encode())
}
