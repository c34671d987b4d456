package codec

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/record"
)

// encMode is deterministic: equal values encode to equal bytes. decMode refuses unknown fields, duplicate keys and
// other unexpected input, so that binaries with different structs cannot decode the same entry differently.
var (
	encMode = mustEncMode(cbor.CoreDetEncOptions().EncMode())
	decMode = mustDecMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   8,
		MaxArrayElements:  1 << 18,
		MaxMapPairs:       64,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8RejectInvalid,
	}.DecMode())
)

func mustEncMode(m cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

func mustDecMode(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

type wireID struct {
	Kind uint8  `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
}

type wireRecord struct {
	Kind   uint8           `cbor:"1,keyasint"`
	Name   string          `cbor:"2,keyasint"`
	Schema uint16          `cbor:"3,keyasint"`
	Body   cbor.RawMessage `cbor:"4,keyasint"`
}

type wireChange struct {
	Operator string       `cbor:"1,keyasint"`
	Base     uint64       `cbor:"2,keyasint,omitempty"`
	Level    uint16       `cbor:"3,keyasint,omitempty"`
	Puts     []wireRecord `cbor:"4,keyasint,omitempty"`
	Removes  []wireID     `cbor:"5,keyasint,omitempty"`
}

type wireService struct {
	Slots int `cbor:"1,keyasint,omitempty"`
}

type wireResource struct {
	Rate  float64 `cbor:"1,keyasint"`
	Burst int     `cbor:"2,keyasint,omitempty"`
}

type wireRoute1 struct {
	Path       string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Idempotent bool   `cbor:"3,keyasint,omitempty"`
}

type wireRoute2 struct {
	Path       string   `cbor:"1,keyasint"`
	Service    string   `cbor:"2,keyasint"`
	Idempotent bool     `cbor:"3,keyasint,omitempty"`
	Timeout    int64    `cbor:"4,keyasint"` // nanoseconds
	Resources  []string `cbor:"5,keyasint,omitempty"`
	Target     float64  `cbor:"6,keyasint,omitempty"`
	Latency    int64    `cbor:"7,keyasint,omitempty"` // nanoseconds
}

func toWireID(id record.ID) wireID { return wireID{Kind: uint8(id.Kind()), Name: id.Name()} }

func (w wireID) id() record.ID { return record.NewID(record.Kind(w.Kind), w.Name) }

func toWireIDs(ids []record.ID) []wireID {
	wires := make([]wireID, 0, len(ids))
	for _, id := range ids {
		wires = append(wires, toWireID(id))
	}
	return wires
}
