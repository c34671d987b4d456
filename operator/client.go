package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/samber/oops"

	"github.com/bambooknot/bambooknot/burn"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

const maxResponseBody = 64 << 20 // bytes

// Client sends requests to the operators' port of one node.
type Client struct {
	address    netip.AddrPort
	fleet      string
	httpClient *http.Client
}

// NewClient returns a client of the operators' port at the given address.
func NewClient(address netip.AddrPort, fleet string, client *http.Client) *Client {
	return &Client{address: address, fleet: fleet, httpClient: client}
}

// RejectedError reports that the node rejected a request and took no action.
type RejectedError struct {
	status  int
	message string
}

// Status returns the HTTP status.
func (e *RejectedError) Status() int { return e.status }

// Error returns the HTTP status and the error text of the node.
func (e *RejectedError) Error() string { return fmt.Sprintf("HTTP %d: %s", e.status, e.message) }

// NotSent reports whether a request failed because no connection was made, so that the node took no action.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// Publish publishes a change set and returns the receipt. On an error for which NotSent is false and that is
// no *RejectedError, the change set may have been published.
func (c *Client) Publish(ctx context.Context, change record.ChangeSet) (message.Receipt, error) {
	body, err := EncodeChangeSet(change)
	if err != nil {
		return message.Receipt{}, err
	}
	data, err := c.do(ctx, http.MethodPost, "/publish", body, http.StatusUnprocessableEntity, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
	if err != nil {
		return message.Receipt{}, err
	}
	r, err := DecodeReceipt(data)
	return r, c.wrap("operator.publish", err)
}

// Status returns the status of the node.
func (c *Client) Status(ctx context.Context) (message.Status, error) {
	data, err := c.StatusJSON(ctx)
	if err != nil {
		return message.Status{}, err
	}
	s, err := DecodeStatus(data)
	return s, c.wrap("operator.status", err)
}

// StatusJSON returns the status of the node as undecoded JSON.
func (c *Client) StatusJSON(ctx context.Context) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/status", nil)
}

// Drain tells the node to drain.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.do(ctx, http.MethodPost, "/drain", nil, http.StatusAccepted)
	return err
}

// Outcome returns the outcome of a publish, or false if it is unknown to the node.
func (c *Client) Outcome(ctx context.Context, id record.PublishID) (record.Outcome, bool, error) {
	data, err := c.do(ctx, http.MethodGet, "/outcome/"+id.String(), nil)
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejected.status == http.StatusNotFound {
		return record.Outcome{}, false, nil
	}
	if err != nil {
		return record.Outcome{}, false, err
	}
	o, err := DecodeOutcome(data)
	return o, err == nil, c.wrap("operator.outcome", err)
}

// Burn returns the node's counts of calls against service-level objectives.
func (c *Client) Burn(ctx context.Context) (burn.Counts, error) {
	data, err := c.do(ctx, http.MethodGet, "/burn", nil)
	if err != nil {
		return burn.Counts{}, err
	}
	counts, err := burn.DecodeCounts(data)
	return counts, c.wrap("operator.burn", err)
}

// Records returns the node's configuration.
func (c *Client) Records(ctx context.Context) (Records, error) {
	data, err := c.do(ctx, http.MethodGet, "/records", nil)
	if err != nil {
		return Records{}, err
	}
	r, err := DecodeRecords(data)
	return r, c.wrap("operator.records", err)
}

// do sends a request and returns the body of a response whose status is 200 or one of expected.
func (c *Client) do(ctx context.Context, method, path string, body []byte, expected ...int) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, c.wrap("operator.request", err)
	}
	req.Header.Set(HeaderFleet, c.fleet)
	req.Header.Set(HeaderProtocol, strconv.Itoa(Protocol))
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, c.wrap("operator.request", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err != nil {
		return nil, c.wrap("operator.answer", err)
	}
	for _, status := range append(expected, http.StatusOK) {
		if resp.StatusCode == status {
			return data, nil
		}
	}
	return nil, c.wrap("operator.answer", &RejectedError{status: resp.StatusCode, message: errorText(data)})
}

func errorText(data []byte) string {
	var w wireError
	if err := json.Unmarshal(data, &w); err != nil || w.Error == "" { // such as the plain text of http.ServeMux
		return string(data[:min(len(data), 200)])
	}
	return w.Error
}

func (c *Client) wrap(domain string, err error) error {
	if err == nil {
		return nil
	}
	return oops.In(domain).With("peer", c.address.String()).Wrapf(err, "node %s", c.address)
}
