package operator_test

import (
	"bytes"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
)

// FuzzDecodeAnswers checks that a decoded and encoded response is unchanged by a further round trip.
func FuzzDecodeAnswers(f *testing.F) {
	status, err := operator.EncodeStatus(sampleStatus())
	qt.Assert(f, err, qt.IsNil)
	f.Add(status)
	receipt, err := operator.EncodeReceipt(message.NewDecidedReceipt(record.Accepted(publishID, 8)))
	qt.Assert(f, err, qt.IsNil)
	f.Add(receipt)
	f.Add([]byte(`{"publish_id":"00000000-0000-0000-0000-000000000001","version":3,"faults":[{"reason":"conflict","detail":"x"}]}`))
	f.Add([]byte(`{"version":3,"records":[{"service":{"schema":1,"name":"s"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for name, roundTrip := range responseRoundTrips {
			first, err := roundTrip(data)
			if err != nil {
				continue
			}
			second, err := roundTrip(first)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s: %s", name, first))
			qt.Assert(t, bytes.Equal(first, second), qt.IsTrue, qt.Commentf("%s: %s\n%s", name, first, second))
		}
	})
}

// responseRoundTrips decode a response and encode it again.
var responseRoundTrips = map[string]func([]byte) ([]byte, error){
	"status": func(data []byte) ([]byte, error) {
		s, err := operator.DecodeStatus(data)
		if err != nil {
			return nil, err
		}
		return operator.EncodeStatus(s)
	},
	"receipt": func(data []byte) ([]byte, error) {
		r, err := operator.DecodeReceipt(data)
		if err != nil {
			return nil, err
		}
		return operator.EncodeReceipt(r)
	},
	"outcome": func(data []byte) ([]byte, error) {
		o, err := operator.DecodeOutcome(data)
		if err != nil {
			return nil, err
		}
		return operator.EncodeOutcome(o)
	},
	"records": func(data []byte) ([]byte, error) {
		r, err := operator.DecodeRecords(data)
		if err != nil {
			return nil, err
		}
		return operator.EncodeRecords(r)
	},
}

// TestGeneratedRecordsAreValid checks that the round trip tests use records that the fleet would accept.
func TestGeneratedRecordsAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, r := range changeSets.Draw(t, "change").Puts() {
			if faults := catalog.CheckRecord(r); len(faults) > 0 {
				t.Fatalf("%s: %s: %s", r.ID(), faults[0].Field(), faults[0].Detail())
			}
		}
	})
}

// BenchmarkStatus measures encoding the status of a fleet of 580 nodes, which watch polls 5 times a second.
func BenchmarkStatus(b *testing.B) {
	f := message.StatusFields{Self: member.New(key, member.NewPlace("jadran", "split"), record.Schema2)}
	for i := range 580 {
		k := member.NewKey(netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(1000+i)), 1)
		f.Members = append(f.Members, member.New(k, member.NewPlace("jadran", "split"), record.Schema2).WithServer(member.NewServer("narudzbe", member.ServerReady, 18)))
	}
	status := message.NewStatus(f)
	b.ReportAllocs()
	for b.Loop() {
		data, err := operator.EncodeStatus(status)
		qt.Assert(b, err, qt.IsNil)
		b.SetBytes(int64(len(data)))
	}
}
