package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/bambooknot/bambooknot/timer"
)

// AnnouncePeriod is the time between two announcements of a server to its node.
const AnnouncePeriod = time.Second

// announceTimeout bounds one announcement.
const announceTimeout = 800 * time.Millisecond

// Announcer tells the node beside a server about the server, again and again.
type Announcer struct {
	server  *Server
	address netip.AddrPort
	url     string
	client  *http.Client
	sub     *timer.Subscription
}

type announcement struct {
	Service string `json:"service"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	Address string `json:"address"`
}

// NewAnnouncer announces a server, which listens at address, to the local address of a node at once
// and then every AnnouncePeriod. The function failed, if not nil, hears of announcements that failed.
func NewAnnouncer(s *Server, address, node netip.AddrPort, timers *timer.Service, failed func(error)) *Announcer {
	a := &Announcer{
		server:  s,
		address: address,
		url:     "http://" + node.String() + "/server",
		client:  &http.Client{Timeout: announceTimeout},
	}
	if failed == nil {
		failed = func(error) {}
	}
	tell := func(time.Time) {
		if err := a.Announce(context.Background()); err != nil {
			failed(err)
		}
	}
	tell(timers.Now())
	a.sub = timers.Every(AnnouncePeriod, tell)
	return a
}

// Announce tells the node the present state of the server.
func (a *Announcer) Announce(ctx context.Context) error {
	fault := oops.In("standin.announce").With("peer", a.url)
	body, err := json.Marshal(announcement{
		Service: a.server.settings.Service,
		State:   string(a.server.State()),
		Slots:   a.server.settings.Slots,
		Address: a.address.String(),
	})
	if err != nil {
		return fault.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, a.url, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return fault.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fault.Errorf("the node answered %s", resp.Status)
	}
	return nil
}

// Close stops the announcements.
func (a *Announcer) Close() { a.sub.Close() }
