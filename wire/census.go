package wire

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

type countRow struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Nodes   uint32
}

type laggardRow struct {
	_       struct{} `cbor:",toarray"`
	Node    keyWire
	Version uint64
}

type censusWire struct {
	_        struct{} `cbor:",toarray"`
	Region   string
	Counts   []countRow
	Laggards []laggardRow
}

func toCensus(c message.Census) (censusWire, error) {
	w := censusWire{Region: string(c.Region())}
	for _, n := range c.Counts() {
		w.Counts = append(w.Counts, countRow{Version: uint64(n.Version()), Nodes: uint32(max(n.Nodes(), 0))})
	}
	for _, l := range c.Laggards() {
		key, err := toKey(l.Node())
		if err != nil {
			return w, err
		}
		w.Laggards = append(w.Laggards, laggardRow{Node: key, Version: uint64(l.Version())})
	}
	return w, nil
}

func (w censusWire) census() (message.Census, error) {
	if len(w.Region) > message.MaxNameBytes || len(w.Counts) > maxCensusRows || len(w.Laggards) > maxCensusRows {
		return message.Census{}, errFieldRange
	}
	var counts []message.VersionCount
	for _, r := range w.Counts {
		counts = append(counts, message.NewVersionCount(record.Version(r.Version), int(r.Nodes)))
	}
	var laggards []message.Laggard
	for _, r := range w.Laggards {
		key, err := r.Node.key()
		if err != nil {
			return message.Census{}, err
		}
		laggards = append(laggards, message.NewLaggard(key, record.Version(r.Version)))
	}
	return message.NewCensus(member.Region(w.Region), counts, laggards, time.Time{}), nil
}
