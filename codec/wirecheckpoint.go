package codec

import (
	"fmt"

	"github.com/bambooknot/bambooknot/record"
)

type wireStamp struct {
	Version   uint64           `cbor:"1,keyasint"`
	PublishID record.PublishID `cbor:"2,keyasint"`
}

type wireStampedRecord struct {
	Record wireRecord `cbor:"1,keyasint"`
	Stamp  wireStamp  `cbor:"2,keyasint"`
}

type wireTombstone struct {
	ID    wireID    `cbor:"1,keyasint"`
	Stamp wireStamp `cbor:"2,keyasint"`
}

type wireFault struct {
	Reason uint8  `cbor:"1,keyasint"`
	Record wireID `cbor:"2,keyasint"`
	Field  string `cbor:"3,keyasint,omitempty"`
	Detail string `cbor:"4,keyasint,omitempty"`
}

type wireOutcome struct {
	Offset    uint64           `cbor:"1,keyasint"`
	PublishID record.PublishID `cbor:"2,keyasint"`
	Version   uint64           `cbor:"3,keyasint"`
	Faults    []wireFault      `cbor:"4,keyasint,omitempty"`
}

type wireCheckpoint struct {
	Head       uint64              `cbor:"1,keyasint"`
	Chain      uint64              `cbor:"2,keyasint"`
	Version    uint64              `cbor:"3,keyasint"`
	LevelStamp wireStamp           `cbor:"4,keyasint"`
	Horizon    uint64              `cbor:"5,keyasint"`
	Records    []wireStampedRecord `cbor:"6,keyasint,omitempty"`
	Tombstones []wireTombstone     `cbor:"7,keyasint,omitempty"`
	Outcomes   []wireOutcome       `cbor:"8,keyasint,omitempty"`
	Pinned     []wireOutcome       `cbor:"9,keyasint,omitempty"`
}

func toWireStamp(s Stamp) wireStamp {
	return wireStamp{Version: uint64(s.Version), PublishID: s.PublishID}
}

func (w wireStamp) stamp() Stamp {
	return Stamp{Version: record.Version(w.Version), PublishID: w.PublishID}
}

func toWireCheckpoint(c Checkpoint) (wireCheckpoint, error) {
	w := wireCheckpoint{
		Head: uint64(c.Head), Chain: c.Chain, Version: uint64(c.Version),
		LevelStamp: toWireStamp(c.LevelStamp), Horizon: uint64(c.Horizon),
	}
	for _, s := range c.Records {
		r, err := toWireRecord(s.Record)
		if err != nil {
			return wireCheckpoint{}, fmt.Errorf("%s: %w", s.Record.ID(), err)
		}
		w.Records = append(w.Records, wireStampedRecord{Record: r, Stamp: toWireStamp(s.Stamp)})
	}
	for _, t := range c.Tombstones {
		w.Tombstones = append(w.Tombstones, wireTombstone{ID: toWireID(t.ID), Stamp: toWireStamp(t.Stamp)})
	}
	for _, r := range c.Outcomes {
		w.Outcomes = append(w.Outcomes, toWireOutcome(r))
	}
	for _, r := range c.Pinned {
		w.Pinned = append(w.Pinned, toWireOutcome(r))
	}
	return w, nil
}

func toWireOutcome(r EntryOutcome) wireOutcome {
	w := wireOutcome{Offset: uint64(r.Offset), PublishID: r.Outcome.PublishID(), Version: uint64(r.Outcome.Version())}
	for _, f := range r.Outcome.Faults() {
		w.Faults = append(w.Faults, wireFault{
			Reason: uint8(f.Reason()), Record: toWireID(f.Record()), Field: f.Field(), Detail: f.Detail(),
		})
	}
	return w
}

func (w wireOutcome) outcome() EntryOutcome {
	version := record.Version(w.Version)
	if len(w.Faults) == 0 {
		return EntryOutcome{Offset: record.Offset(w.Offset), Outcome: record.Accepted(w.PublishID, version)}
	}
	faults := make([]record.Fault, 0, len(w.Faults))
	for _, f := range w.Faults {
		faults = append(faults, record.NewFault(record.Reason(f.Reason), f.Record.id(), f.Field, f.Detail))
	}
	return EntryOutcome{Offset: record.Offset(w.Offset), Outcome: record.Refused(w.PublishID, version, faults)}
}

func (w wireCheckpoint) checkpoint(level record.Schema) (Checkpoint, error) {
	c := Checkpoint{
		Head: record.Offset(w.Head), Chain: w.Chain, Version: record.Version(w.Version), Level: level,
		LevelStamp: w.LevelStamp.stamp(), Horizon: record.Version(w.Horizon),
	}
	for _, s := range w.Records {
		r, err := s.Record.decode(level)
		if err != nil {
			return Checkpoint{}, fmt.Errorf("%s: %w", s.Record.id(), err)
		}
		c.Records = append(c.Records, StampedRecord{Record: r, Stamp: s.Stamp.stamp()})
	}
	for _, t := range w.Tombstones {
		c.Tombstones = append(c.Tombstones, Tombstone{ID: t.ID.id(), Stamp: t.Stamp.stamp()})
	}
	for _, r := range w.Outcomes {
		c.Outcomes = append(c.Outcomes, r.outcome())
	}
	for _, r := range w.Pinned {
		c.Pinned = append(c.Pinned, r.outcome())
	}
	return c, nil
}
