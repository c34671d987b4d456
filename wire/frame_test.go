package wire_test

import (
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
	"github.com/bambooknot/bambooknot/quota"
	"github.com/bambooknot/bambooknot/rollout"
	"github.com/bambooknot/bambooknot/wire"
)

const fleetName = "shop"

var sender = member.NewKey(netip.MustParseAddrPort("10.0.0.1:7946"), 1700000000000000000)

func sampleMembers(n int) []member.Member {
	var all []member.Member
	for i := range n {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7946)
		m := member.New(member.NewKey(peer, member.Incarnation(1700000000000000000+i)), member.NewPlace("east", "east-1"), 2)
		all = append(all, m.WithRevision(uint64(i)).WithHealth(member.HealthSuspect).WithServer(member.NewServer("cart", member.ServerReady, 64)))
	}
	return all
}

// sampleCrashes returns reports with fields of the greatest encoded size.
func sampleCrashes(n int) []message.CrashReport {
	var all []message.CrashReport
	for i := range n {
		all = append(all, message.NewCrashReport(quarantine.NewRequest(quarantine.Content{255, byte(i)}, 1<<63), quarantine.Server(1<<63+uint64(i)), 24*time.Hour, i%2 == 0))
	}
	return all
}

// sampleUsages and sampleShares fill a message, with fields of the greatest encoded size.
func sampleUsages() []quota.Usage {
	var all []quota.Usage
	for i := range quota.MaxRows {
		all = append(all, quota.NewUsage(quota.ID(1<<63+uint64(i)), 1<<31, 1<<31, 1<<31, time.Hour))
	}
	return all
}

func sampleShares() []quota.Share {
	var all []quota.Share
	for i := range quota.MaxRows {
		all = append(all, quota.NewShare(quota.ID(1<<63+uint64(i)), 0.25, 1, 1<<24))
	}
	return all
}

// sampleDecision returns a decision with fields of the greatest encoded size.
func sampleDecision() rollout.Decision {
	name := strings.Repeat("n", message.MaxNameBytes)
	return rollout.NewDecision(rollout.DecisionFields{
		Service: name, Target: name, Base: name, Order: 1 << 63, Sequence: 1 << 62, Phase: rollout.PhaseRolledBack, Share: rollout.FullShare,
		Servers: 1 << 16, Halted: true, Age: 24 * time.Hour, Limit: time.Minute, Reason: strings.Repeat("r", 200),
	})
}

// sampleCounts returns counts with fields of the greatest encoded size.
func sampleCounts() rollout.Counts {
	var durations [rollout.Buckets]uint32
	for i := range durations {
		durations[i] = 1<<28 - 1
	}
	tally := rollout.NewTally(1<<28-1, durations)
	fields := rollout.CountsFields{Service: strings.Repeat("n", message.MaxNameBytes), Order: 1 << 63, Sequence: 1 << 62, InFlightBase: 1 << 20, InFlightTarget: 1 << 20, Guarded: true}
	for i := range message.MaxCountedRoutes {
		fields.Routes = append(fields.Routes, rollout.NewRouteCounts(strings.Repeat(strconv.Itoa(i), message.MaxNameBytes), tally, [rollout.Cohorts]rollout.Tally{tally, tally, tally}))
	}
	return rollout.NewCounts(fields)
}

func membershipMessages() []message.PeerMessage {
	contacts := []message.Contact{message.NewContact("west", 1500*time.Millisecond)}
	summary := message.NewSummary(message.NewDigest(7, 9, 1<<60), 1<<61, contacts).WithQuarantine(1 << 62).WithRollouts(1 << 63)
	return []message.PeerMessage{
		message.NewPing(1, summary, nil),
		message.NewPing(2, summary, sampleMembers(3)),
		message.NewAck(3, summary, sampleMembers(1)),
		message.NewPingReq(4, sender),
		message.NewPingReqAck(5, sender),
		message.NewClaims(sampleMembers(20)),
		message.NewSyncReq(message.SyncJoin, [message.SyncBuckets]uint32{1, 2, 3}, sampleMembers(1)),
		message.NewQuarantine(sampleCrashes(message.MaxQuarantineReports), nil),
		message.NewQuotaReport(1<<31, sampleUsages()),
		message.NewQuotaGrant(1<<31, true, sampleShares()),
		message.NewRolloutDecision(sampleDecision(), true),
		message.NewRolloutCounts(sampleCounts()),
		message.NewQuarantine(sampleCrashes(1), []message.TrialReport{message.NewTrialReport(quarantine.Content{1}, 2, 1, 3*time.Hour)}),
	}
}

func TestMembershipMessagesRoundTrip(t *testing.T) {
	for _, body := range membershipMessages() {
		frame, err := wire.Encode(fleetName, sender, body)
		qt.Assert(t, err, qt.IsNil)
		got, err := wire.Decode(fleetName, frame)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reflect.DeepEqual(got, message.NewEnvelope(sender, body)), qt.IsTrue, qt.Commentf("%T", body))
	}
}

func TestDecodeRefusesInvalidFrames(t *testing.T) {
	frame, err := wire.Encode(fleetName, sender, membershipMessages()[1])
	qt.Assert(t, err, qt.IsNil)
	withByte := func(offset int, b byte) []byte {
		f := append([]byte(nil), frame...)
		f[offset] = b
		return f
	}
	for _, tt := range []struct {
		name  string
		fleet string
		frame []byte
		want  error
	}{
		{"other fleet", "other", frame, wire.ErrFleet},
		{"other protocol", fleetName, withByte(8, wire.ProtocolVersion+1), wire.ErrProtocol},
		{"unknown message type", fleetName, withByte(9, 250), wire.ErrProtocol},
		{"too large for its message type", fleetName, append(append([]byte(nil), frame...), make([]byte, wire.MaxDatagram)...), wire.ErrSize},
		{"larger than any frame", fleetName, make([]byte, wire.MaxFrame+1), wire.ErrSize},
		{"truncated in the header", fleetName, frame[:12], wire.ErrMalformed},
		{"truncated in the address", fleetName, frame[:20], wire.ErrMalformed},
		{"truncated in the body", fleetName, frame[:len(frame)-2], wire.ErrMalformed},
		{"trailing bytes", fleetName, append(append([]byte(nil), frame...), 0), wire.ErrMalformed},
		{"empty", fleetName, nil, wire.ErrMalformed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := wire.Decode(tt.fleet, tt.frame)
			qt.Assert(t, err, qt.ErrorIs, tt.want)
			qt.Assert(t, wire.ErrorClass(err), qt.Not(qt.Equals), "other")
		})
	}
}

func TestEncodeRefusesOversizedFrame(t *testing.T) {
	_, err := wire.Encode(fleetName, sender, message.NewClaims(sampleMembers(80)))
	qt.Assert(t, err, qt.ErrorIs, wire.ErrSize)
}

func BenchmarkFrame(b *testing.B) {
	for name, body := range map[string]message.PeerMessage{"ping": membershipMessages()[0], "claims": membershipMessages()[5]} {
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
	for _, body := range membershipMessages() {
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
