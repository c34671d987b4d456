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
type QuarantineClient struct {
	port metricsPort
}

// NewQuarantineClient returns a client of the metrics port at the given address.
func NewQuarantineClient(address netip.AddrPort, client *http.Client) *QuarantineClient {
	return &QuarantineClient{port: metricsPort{step: "operator.quarantine", address: address, httpClient: client}}
}

// List returns the contents that are quarantined.
func (c *QuarantineClient) List(ctx context.Context) ([]QuarantinedContent, error) {
	var rows []quarantinedContentJSON
	if err := c.port.get(ctx, QuarantinePath, &rows); err != nil {
		return nil, err
	}
	var contents []QuarantinedContent
	for _, r := range rows {
		contents = append(contents, NewQuarantinedContent(r.Content, r.Crashes, r.Trials, time.Duration(r.NextTrialSeconds*float64(time.Second))))
	}
	return contents, nil
}

// Release releases a content, given in hexadecimal digits, on all nodes.
func (c *QuarantineClient) Release(ctx context.Context, content string) error {
	return c.port.post(ctx, ReleasePath+"?"+url.Values{ContentParameter: {content}}.Encode())
}

// metricsPort sends requests to the metrics port of one node. Errors carry the step.
type metricsPort struct {
	step       string
	address    netip.AddrPort
	httpClient *http.Client
}

// get decodes the JSON that a path serves.
func (p metricsPort) get(ctx context.Context, path string, into any) error {
	resp, err := p.do(ctx, http.MethodGet, path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBody)).Decode(into); err != nil {
		return oops.In(p.step).With("peer", p.address).Wrap(err)
	}
	return nil
}

func (p metricsPort) post(ctx context.Context, path string) error {
	resp, err := p.do(ctx, http.MethodPost, path)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (p metricsPort) do(ctx context.Context, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.address.String()+path, nil)
	if err != nil {
		return nil, oops.In(p.step).With("peer", p.address).Wrap(err)
	}
	resp, err := p.httpClient.Do(req)
	if err != nil {
		return nil, oops.In(p.step).With("peer", p.address).Wrap(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText)) // what was read of the text is shown
		return nil, oops.In(p.step).With("peer", p.address).Wrap(&RejectedError{status: resp.StatusCode, message: string(text)})
	}
	return resp, nil
}

// maxErrorText is the maximum size of an error text that is shown, in bytes.
const maxErrorText = 512
