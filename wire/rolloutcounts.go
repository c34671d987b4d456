package wire

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/rollout"
)

// maxCount is the greatest count on the wire. Three routes with the longest names and the greatest counts fit into a
// datagram.
const maxCount = 1<<28 - 1

type countsWire struct {
	Service        string     `cbor:"1,keyasint"`
	Order          uint64     `cbor:"2,keyasint"`
	Sequence       uint64     `cbor:"3,keyasint"`
	Routes         []routeRow `cbor:"4,keyasint,omitempty"`
	InFlightBase   uint32     `cbor:"5,keyasint,omitempty"`
	InFlightTarget uint32     `cbor:"6,keyasint,omitempty"`
	Guarded        bool       `cbor:"7,keyasint,omitempty"`
}

// routeRow holds the tallies of a route: that of the base version and those of the cohorts of the target version.
type routeRow struct {
	_       struct{} `cbor:",toarray"`
	Route   string
	Tallies []byte
}

func encodeRolloutCounts(body message.PeerMessage) ([]byte, error) {
	c := body.(message.RolloutCounts).Counts()
	if len(c.Service()) > message.MaxNameBytes || len(c.Routes()) > message.MaxCountedRoutes {
		return nil, errFieldRange
	}
	w := countsWire{
		Service: c.Service(), Order: c.Order(), Sequence: c.Sequence(),
		InFlightBase: uint32(c.InFlightBase()), InFlightTarget: uint32(c.InFlightTarget()), Guarded: c.Guarded(),
	}
	for _, r := range c.Routes() {
		if len(r.Route()) > message.MaxNameBytes {
			return nil, errFieldRange
		}
		tallies := appendTally(nil, r.Base())
		for _, t := range r.Target() {
			tallies = appendTally(tallies, t)
		}
		w.Routes = append(w.Routes, routeRow{Route: r.Route(), Tallies: tallies})
	}
	return cbor.Marshal(w)
}

// appendTally appends a set of the fields that are not 0, one bit each, and then these: the failures and the buckets of
// durations. Most buckets are empty.
func appendTally(data []byte, t rollout.Tally) []byte {
	durations := t.Durations()
	fields := append([]uint32{t.Failures()}, durations[:]...)
	set := uint64(0)
	var values []byte
	for i, n := range fields {
		if n > 0 {
			set |= 1 << i
			values = binary.AppendUvarint(values, uint64(min(n, maxCount)))
		}
	}
	return append(binary.AppendUvarint(data, set), values...)
}

func decodeRolloutCounts(data []byte) (message.PeerMessage, error) {
	var w countsWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	if w.Service == "" || len(w.Service) > message.MaxNameBytes || len(w.Routes) > message.MaxCountedRoutes || max(w.InFlightBase, w.InFlightTarget) > maxCount {
		return nil, errFieldRange
	}
	fields := rollout.CountsFields{
		Service: w.Service, Order: w.Order, Sequence: w.Sequence, InFlightBase: int(w.InFlightBase), InFlightTarget: int(w.InFlightTarget), Guarded: w.Guarded,
	}
	for _, row := range w.Routes {
		r, err := row.counts()
		if err != nil {
			return nil, err
		}
		fields.Routes = append(fields.Routes, r)
	}
	return message.NewRolloutCounts(rollout.NewCounts(fields)), nil
}

func (r routeRow) counts() (rollout.RouteCounts, error) {
	if len(r.Route) > message.MaxNameBytes {
		return rollout.RouteCounts{}, errFieldRange
	}
	base, rest, err := takeTally(r.Tallies)
	var target [rollout.Cohorts]rollout.Tally
	for i := range target {
		if err == nil {
			target[i], rest, err = takeTally(rest)
		}
	}
	if err != nil || len(rest) > 0 {
		return rollout.RouteCounts{}, errFieldRange
	}
	return rollout.NewRouteCounts(r.Route, base, target), nil
}

// takeTally decodes the tally at the start of data and returns the rest.
func takeTally(data []byte) (t rollout.Tally, rest []byte, err error) {
	set, data, err := takeUvarint(data)
	if err != nil || set >= 1<<(rollout.Buckets+1) {
		return t, nil, errFieldRange
	}
	var fields [rollout.Buckets + 1]uint32
	for i := range fields {
		if set&(1<<i) == 0 {
			continue
		}
		var n uint64
		if n, data, err = takeUvarint(data); err != nil || n == 0 || n > maxCount {
			return t, nil, errFieldRange
		}
		fields[i] = uint32(n)
	}
	return rollout.NewTally(fields[0], [rollout.Buckets]uint32(fields[1:])), data, nil
}

func takeUvarint(data []byte) (n uint64, rest []byte, err error) {
	n, size := binary.Uvarint(data)
	if size <= 0 {
		return 0, nil, errFieldRange
	}
	return n, data[size:], nil
}
