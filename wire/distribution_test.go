package wire

import (
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

var (
	distributionKey    = member.NewKey(netip.MustParseAddrPort("10.1.2.3:7000"), 99)
	distributionSender = member.NewKey(netip.MustParseAddrPort("[fd00::1]:7001"), 5)
)

func distributionMessages() []message.PeerMessage {
	digest := message.NewDigest(7, 9, 0xfeedfacecafebeef)
	items := []record.Entry{record.NewEntry(8, []byte("one")), record.NewEntry(9, []byte{})}
	empty := message.NewEntries(9, 0xfeedfacecafebeef, nil, digest, message.NewUnknownLogStatus(true).WithGapEnd(12))
	full := message.NewEntries(8, 3, items, digest, message.NewLogStatus(10, 1500*time.Millisecond, true))
	census := message.NewCensus("east", []message.VersionCount{message.NewVersionCount(7, 579), message.NewVersionCount(6, 1)},
		[]message.Laggard{message.NewLaggard(distributionKey, 6)}, time.Time{})
	return []message.PeerMessage{
		message.NewPush(distributionKey, 4, message.NewSpan(0, ^uint64(0)), full, []message.Census{census}),
		message.NewPush(member.Key{}, 4, message.NewSpan(17, 1<<60), empty, nil),
		message.NewReport(distributionKey, 4, digest, census),
		message.NewReport(member.Key{}, 4, digest, message.Census{}),
		message.NewPull(1<<63, digest),
		message.NewPullReply(1, true, full),
		message.NewPullReply(1, false, empty).WithBusy(),
		message.NewPullReply(1, true, empty).WithCheckpoint([]byte("state")),
		message.NewPullReply(1, false, empty).WithPeers([]netip.AddrPort{distributionKey.Peer(), distributionSender.Peer()}),
	}
}

func TestDistributionMessagesRoundTrip(t *testing.T) {
	for _, body := range distributionMessages() {
		frame, err := Encode("f", distributionSender, body)
		quicktest.Assert(t, err, quicktest.IsNil)
		env, err := Decode("f", frame)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, env.Sender(), quicktest.Equals, distributionSender)
		again, err := Encode("f", distributionSender, env.Body())
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, again, quicktest.DeepEquals, frame)
	}
}

func TestPushRoundTripKeepsFields(t *testing.T) {
	frame, err := Encode("f", distributionSender, distributionMessages()[0])
	quicktest.Assert(t, err, quicktest.IsNil)
	env, err := Decode("f", frame)
	quicktest.Assert(t, err, quicktest.IsNil)
	push := env.Body().(message.Push)
	quicktest.Check(t, push.Span(), quicktest.Equals, message.NewSpan(0, ^uint64(0)))
	quicktest.Check(t, push.Entries().Items()[1].Offset(), quicktest.Equals, record.Offset(9))
	quicktest.Check(t, string(push.Entries().Items()[0].Data()), quicktest.Equals, "one")
	quicktest.Check(t, push.Entries().LogStatus(), quicktest.Equals, message.NewLogStatus(10, 1500*time.Millisecond, true))
	quicktest.Check(t, push.Census()[0].Counts()[0].Nodes(), quicktest.Equals, 579)
}

func TestDecodeRefusesTruncatedDistributionFrames(t *testing.T) {
	for _, body := range distributionMessages() {
		frame, err := Encode("f", distributionSender, body)
		quicktest.Assert(t, err, quicktest.IsNil)
		for end := range frame {
			_, err := Decode("f", frame[:end])
			quicktest.Check(t, err, quicktest.IsNotNil)
		}
	}
}

func FuzzDistribution(f *testing.F) {
	for _, body := range distributionMessages() {
		frame, err := Encode("f", distributionSender, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		env, err := Decode("f", frame)
		if err != nil {
			return
		}
		again, err := Encode("f", env.Sender(), env.Body())
		if err != nil {
			t.Fatalf("a decoded %T cannot be encoded: %v", env.Body(), err)
		}
		if _, err := Decode("f", again); err != nil {
			t.Fatalf("an encoded %T cannot be decoded: %v", env.Body(), err)
		}
	})
}
