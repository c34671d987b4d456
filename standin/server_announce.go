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

// AnnouncePeriod is the interval between the announcements of a server to its local node.
const AnnouncePeriod = time.Second

// announceTimeout bounds one announcement.
const announceTimeout = 800 * time.Millisecond

// Announcer periodically announces a server to its local node.
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

// NewAnnouncer announces a server that listens on address to its local node, immediately and then every
// AnnouncePeriod. node is the address on which the node accepts announcements. onError, if not nil, is called with the
// error of each failed announcement.
func NewAnnouncer(s *Server, address, node netip.AddrPort, timers *timer.Service, onError func(error)) *Announcer {
	a := &Announcer{
		server:  s,
		address: address,
		url:     "http://" + node.String() + "/server",
		client:  &http.Client{Timeout: announceTimeout},
	}
	if onError == nil {
		onError = func(error) {}
	}
	announce := func(time.Time) {
		if err := a.Announce(context.Background()); err != nil {
			onError(err)
		}
	}
	announce(timers.Now())
	a.sub = timers.Every(AnnouncePeriod, announce)
	return a
}

// Announce sends one announcement with the current state of the server.
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
