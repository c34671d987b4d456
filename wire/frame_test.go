package wire_test

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/wire"
)

const fleetName = "shop"

var sender = member.NewKey(netip.MustParseAddrPort("10.0.0.1:7946"), 1700000000000000000)

func sample(n int) []member.Member {
	var all []member.Member
	for i := range n {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7946)
		m := member.New(member.NewKey(peer, member.Incarnation(1700000000000000000+i)), member.NewPlace("east", "east-1"), 2)
		all = append(all, m.WithRevision(uint64(i)).WithHealth(member.HealthSuspect).WithServer(member.NewServer("cart", member.ServerReady, 64)))
	}
	return all
}

func messages() []message.PeerMessage {
	contacts := []message.Contact{message.NewContact("west", 1500*time.Millisecond)}
	summary := message.NewSummary(message.NewDigest(7, 9, 1<<60), 1<<61, contacts)
	return []message.PeerMessage{
		message.NewPing(1, summary, nil),
		message.NewPing(2, summary, sample(3)),
		message.NewAck(3, summary, sample(1)),
		message.NewPingReq(4, sender),
		message.NewPingReqAck(5, sender),
		message.NewClaims(sample(20)),
		message.NewSyncReq(message.SyncJoin, [message.SyncBuckets]uint32{1, 2, 3}, sample(1)),
	}
}

func TestRoundTrip(t *testing.T) {
	for _, body := range messages() {
		frame, err := wire.Encode(fleetName, sender, body)
		qt.Assert(t, err, qt.IsNil)
		got, err := wire.Decode(fleetName, frame)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reflect.DeepEqual(got, message.NewEnvelope(sender, body)), qt.IsTrue, qt.Commentf("%T", body))
	}
}

func TestDoors(t *testing.T) {
	frame, err := wire.Encode(fleetName, sender, messages()[1])
	qt.Assert(t, err, qt.IsNil)
	changed := func(at int, b byte) []byte {
		f := append([]byte(nil), frame...)
		f[at] = b
		return f
	}
	for _, tt := range []struct {
		name  string
		fleet string
		frame []byte
		want  error
	}{
		{"other fleet", "other", frame, wire.ErrFleet},
		{"other protocol", fleetName, changed(8, wire.Protocol+1), wire.ErrProtocol},
		{"unknown type", fleetName, changed(9, 250), wire.ErrProtocol},
		{"too large for its type", fleetName, append(append([]byte(nil), frame...), make([]byte, wire.MaxDatagram)...), wire.ErrSize},
		{"too large at all", fleetName, make([]byte, wire.MaxFrame+1), wire.ErrSize},
		{"short", fleetName, frame[:12], wire.ErrMalformed},
		{"ends in the address", fleetName, frame[:20], wire.ErrMalformed},
		{"ends in the body", fleetName, frame[:len(frame)-2], wire.ErrMalformed},
		{"bytes after the body", fleetName, append(append([]byte(nil), frame...), 0), wire.ErrMalformed},
		{"empty", fleetName, nil, wire.ErrMalformed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := wire.Decode(tt.fleet, tt.frame)
			qt.Assert(t, err, qt.ErrorIs, tt.want)
			qt.Assert(t, wire.ErrorClass(err), qt.Not(qt.Equals), "other")
		})
	}
}

func TestEncodeRefusesOversize(t *testing.T) {
	_, err := wire.Encode(fleetName, sender, message.NewClaims(sample(80)))
	qt.Assert(t, err, qt.ErrorIs, wire.ErrSize)
}

func BenchmarkFrame(b *testing.B) {
	for name, body := range map[string]message.PeerMessage{"ping": messages()[0], "claims": messages()[5]} {
		b.Run(name, func(b *testing.B) {
			frame, err := wire.Encode(fleetName, sender, body)
			qt.Assert(b, err, qt.IsNil)
			b.ReportMetric(float64(len(frame)), "B")
			b.ReportAllocs()
			for range b.N {
				frame, _ = wire.Encode(fleetName, sender, body)
				_, _ = wire.Decode(fleetName, frame)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, body := range messages() {
		frame, err := wire.Encode(fleetName, sender, body)
		qt.Assert(f, err, qt.IsNil)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		env, err := wire.Decode(fleetName, frame)
		if err != nil {
			qt.Assert(t, wire.ErrorClass(err), qt.Not(qt.Equals), "other")
			return
		}
		_, err = wire.Encode(fleetName, env.Sender(), env.Body())
		if err != nil {
			qt.Assert(t, err, qt.ErrorIs, wire.ErrSize)
		}
	})
}
