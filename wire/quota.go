package wire

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quota"
)

// Codes of the messages about quotas of organisations.
const (
	codeQuotaReport Code = 49
	codeQuotaGrant  Code = 50
)

// maxUsageSpan bounds the span of a usage on the wire.
const maxUsageSpan = time.Hour

func quotaCodecs() []codec {
	return []codec{
		{code: codeQuotaReport, sample: message.QuotaReport{}, maxSize: MaxDatagram, encode: encodeQuotaReport, decode: decodeQuotaReport},
		{code: codeQuotaGrant, sample: message.QuotaGrant{}, maxSize: MaxDatagram, encode: encodeQuotaGrant, decode: decodeQuotaGrant},
	}
}

type quotaReportWire struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	Usages []usageRow
}

type usageRow struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Base       uint32
	Asked      uint32
	Admitted   uint32
	SpanMillis uint32
}

type quotaGrantWire struct {
	_       struct{} `cbor:",toarray"`
	Number  uint32
	Initial bool
	Shares  []shareRow
}

type shareRow struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Fraction float32
	Share    float32
	Rate     float32
}

func encodeQuotaReport(body message.PeerMessage) ([]byte, error) {
	r := body.(message.QuotaReport)
	w := quotaReportWire{Number: r.Number()}
	for _, u := range r.Usages() {
		span := min(max(u.Span(), 0), maxUsageSpan)
		w.Usages = append(w.Usages, usageRow{ID: uint64(u.ID()), Base: u.Base(), Asked: u.Asked(), Admitted: u.Admitted(), SpanMillis: uint32(span.Milliseconds())})
	}
	return cbor.Marshal(w)
}

func decodeQuotaReport(data []byte) (message.PeerMessage, error) {
	var w quotaReportWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	if len(w.Usages) == 0 || len(w.Usages) > quota.MaxRows {
		return nil, errFieldRange
	}
	var usages []quota.Usage
	for _, row := range w.Usages {
		span := time.Duration(row.SpanMillis) * time.Millisecond
		if row.Admitted > row.Asked || span > maxUsageSpan {
			return nil, errFieldRange
		}
		usages = append(usages, quota.NewUsage(quota.ID(row.ID), row.Base, row.Asked, row.Admitted, span))
	}
	return message.NewQuotaReport(w.Number, usages), nil
}

func encodeQuotaGrant(body message.PeerMessage) ([]byte, error) {
	g := body.(message.QuotaGrant)
	w := quotaGrantWire{Number: g.Number(), Initial: g.Initial()}
	for _, s := range g.Shares() {
		w.Shares = append(w.Shares, shareRow{ID: uint64(s.ID()), Fraction: float32(s.Fraction()), Share: float32(s.Share()), Rate: float32(s.Rate())})
	}
	return cbor.Marshal(w)
}

func decodeQuotaGrant(data []byte) (message.PeerMessage, error) {
	var w quotaGrantWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	if len(w.Shares) == 0 || len(w.Shares) > quota.MaxRows {
		return nil, errFieldRange
	}
	var shares []quota.Share
	for _, row := range w.Shares {
		fraction, share, rate := float64(row.Fraction), float64(row.Share), float64(row.Rate)
		if !isPart(fraction) || !isPart(share) || !(rate >= 0) || math.IsInf(rate, 0) {
			return nil, errFieldRange
		}
		shares = append(shares, quota.NewShare(quota.ID(row.ID), fraction, share, rate))
	}
	return message.NewQuotaGrant(w.Number, w.Initial, shares), nil
}

// isPart reports whether a number is between 0 and 1. It is false for NaN.
func isPart(f float64) bool { return f >= 0 && f <= 1 }
