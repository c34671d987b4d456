package node

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

// TestEntriesOfTwoErasAreNotMixed has the log lose an entry that was read and give its offset to another one.
func TestEntriesOfTwoErasAreNotMixed(t *testing.T) {
	c := qt.New(t)
	log := standin.NewLog(standin.DefaultLogSettings(), timer.New())
	defer log.Close()
	server := httptest.NewServer(log)
	defer server.Close()
	client := platform.NewLog(netip.MustParseAddrPort(server.Listener.Addr().String()), server.Client())
	events := make(chan message.Event, 1)
	l := newLogClient(client, time.Second, time.Second, func(e message.Event) { events <- e })
	defer l.Close()
	read := func(stream message.Stream, from record.Offset) message.LogPage {
		l.read(message.NewReadLog(stream, from, 0))
		return (<-events).(message.LogPage)
	}
	for _, stream := range []message.Stream{message.StreamConfig, message.StreamRendezvous} {
		_, err := client.Append(t.Context(), stream, []byte("kept"))
		c.Assert(err, qt.IsNil)
	}
	older := log.Copy()
	_, err := client.Append(t.Context(), message.StreamConfig, []byte("lost"))
	c.Assert(err, qt.IsNil)
	c.Assert(read(message.StreamConfig, 0).Entries(), qt.HasLen, 2)

	c.Assert(log.Restore(older), qt.IsNil)
	for _, text := range []string{"other", "next"} {
		_, err = client.Append(t.Context(), message.StreamConfig, []byte(text))
		c.Assert(err, qt.IsNil)
	}
	page := read(message.StreamConfig, 2)
	c.Assert(page.Err(), qt.ErrorMatches, ".*returned from a copy.*")
	c.Assert(page.Entries(), qt.HasLen, 0)
	c.Assert(read(message.StreamRendezvous, 0).Entries(), qt.HasLen, 1, qt.Commentf("membership handles eras itself"))
}
