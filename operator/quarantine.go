package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/samber/oops"
)

// QuarantinePath is the path of the quarantined contents on a sidecar's metrics port, and ReleasePath the one to which the
// release of one of them is posted, with the content in ContentParameter.
const (
	QuarantinePath   = "/quarantine"
	ReleasePath      = "/quarantine/release"
	ContentParameter = "content"
)

// QuarantinedContent is a request content that servers crashed with.
type QuarantinedContent struct {
	content   string
	crashes   int
	trials    int
	nextTrial time.Duration
}

// NewQuarantinedContent returns the content with its hash in hexadecimal digits, the server processes that ended while
// they ran it, the trials made so far and the time until the next one.
func NewQuarantinedContent(content string, crashes, trials int, nextTrial time.Duration) QuarantinedContent {
	return QuarantinedContent{content: content, crashes: crashes, trials: trials, nextTrial: nextTrial}
}

// Content returns the hash of the content in hexadecimal digits.
func (c QuarantinedContent) Content() string { return c.content }

// Crashes returns the number of server processes that ended while they ran it.
func (c QuarantinedContent) Crashes() int { return c.crashes }

// Trials returns the number of trials made so far.
func (c QuarantinedContent) Trials() int { return c.trials }

// NextTrial returns the time until the next trial, zero if one is due.
func (c QuarantinedContent) NextTrial() time.Duration { return c.nextTrial }

type quarantinedContentJSON struct {
	Content          string  `json:"content"`
	Crashes          int     `json:"crashes"`
	Trials           int     `json:"trials"`
	NextTrialSeconds float64 `json:"next_trial_seconds"`
}

// WriteQuarantine writes quarantined contents as JSON.
func WriteQuarantine(w io.Writer, contents []QuarantinedContent) error {
	rows := make([]quarantinedContentJSON, 0, len(contents))
	for _, c := range contents {
		rows = append(rows, quarantinedContentJSON{Content: c.content, Crashes: c.crashes, Trials: c.trials, NextTrialSeconds: c.nextTrial.Seconds()})
	}
	return json.NewEncoder(w).Encode(rows)
}

// QuarantineClient asks one sidecar for the requests that servers crashed with.
type QuarantineClient struct{ metricsClient }

// metricsClient sends requests to the metrics port of one sidecar.
type metricsClient struct {
	step       string // in errors
	address    netip.AddrPort
	httpClient *http.Client
}

// NewQuarantineClient returns a client of the metrics port at the given address.
func NewQuarantineClient(address netip.AddrPort, client *http.Client) *QuarantineClient {
	return &QuarantineClient{metricsClient{step: "operator.quarantine", address: address, httpClient: client}}
}

// List returns the contents that are quarantined.
func (c *QuarantineClient) List(ctx context.Context) ([]QuarantinedContent, error) {
	resp, err := c.do(ctx, http.MethodGet, QuarantinePath)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var rows []quarantinedContentJSON
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBody)).Decode(&rows); err != nil {
		return nil, oops.In("operator.quarantine").With("peer", c.address).Wrap(err)
	}
	var contents []QuarantinedContent
	for _, r := range rows {
		contents = append(contents, NewQuarantinedContent(r.Content, r.Crashes, r.Trials, time.Duration(r.NextTrialSeconds*float64(time.Second))))
	}
	return contents, nil
}

// Release releases a content, given in hexadecimal digits, on all nodes.
func (c *QuarantineClient) Release(ctx context.Context, content string) error {
	resp, err := c.do(ctx, http.MethodPost, ReleasePath+"?"+url.Values{ContentParameter: {content}}.Encode())
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (c *metricsClient) do(ctx context.Context, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, nil)
	if err != nil {
		return nil, oops.In(c.step).With("peer", c.address).Wrap(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, oops.In(c.step).With("peer", c.address).Wrap(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText)) // what was read of the text is shown
		return nil, oops.In(c.step).With("peer", c.address).Wrap(&RejectedError{status: resp.StatusCode, message: string(text)})
	}
	return resp, nil
}

// maxErrorText is the maximum size of an error text that is shown, in bytes.
const maxErrorText = 512
