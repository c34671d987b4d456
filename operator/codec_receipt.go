package operator

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

const (
	stateDecided     = "decided"
	stateNotAppended = "not-appended"
	stateUnknown     = "unknown"
)

// EncodeReceipt encodes a receipt as JSON.
func EncodeReceipt(r message.Receipt) ([]byte, error) {
	w := wireReceipt{State: stateUnknown}
	switch r.State() {
	case message.ReceiptDecided:
		w.State = stateDecided
		w.Outcome = toWireOutcome(r.Outcome())
	case message.ReceiptNotAppended:
		w.State = stateNotAppended
	}
	if r.Err() != nil {
		w.Error = r.Err().Error()
	}
	return json.Marshal(w)
}

// DecodeReceipt decodes a receipt encoded by EncodeReceipt. Of its error, only the text is kept.
func DecodeReceipt(data []byte) (message.Receipt, error) {
	var w wireReceipt
	if err := json.Unmarshal(data, &w); err != nil {
		return message.Receipt{}, err
	}
	switch {
	case w.State == stateDecided && w.Outcome != nil:
		o, err := fromWireOutcome(w.Outcome)
		return message.NewDecidedReceipt(o), err
	case w.State == stateNotAppended:
		return message.NewUndecidedReceipt(message.ReceiptNotAppended, errorFromText(w.Error)), nil
	case w.State == stateUnknown:
		return message.NewUndecidedReceipt(message.ReceiptUnknown, errorFromText(w.Error)), nil
	}
	return message.Receipt{}, fmt.Errorf("invalid publish receipt with state %q", w.State)
}

func errorFromText(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}

// EncodeOutcome encodes an outcome as JSON.
func EncodeOutcome(o record.Outcome) ([]byte, error) { return json.Marshal(toWireOutcome(o)) }

// DecodeOutcome decodes an outcome encoded by EncodeOutcome.
func DecodeOutcome(data []byte) (record.Outcome, error) {
	var w wireOutcome
	if err := json.Unmarshal(data, &w); err != nil {
		return record.Outcome{}, err
	}
	return fromWireOutcome(&w)
}

func toWireOutcome(o record.Outcome) *wireOutcome {
	w := &wireOutcome{PublishID: o.PublishID().String(), Accepted: o.Accepted(), Version: uint64(o.Version())}
	for _, f := range o.Faults() {
		wf := wireFault{Reason: f.Reason().String(), Field: f.Field(), Detail: f.Detail()}
		if f.Record() != (record.ID{}) {
			id := toWireID(f.Record())
			wf.Record = &id
		}
		w.Faults = append(w.Faults, wf)
	}
	return w
}

func fromWireOutcome(w *wireOutcome) (record.Outcome, error) {
	publish, err := uuid.Parse(w.PublishID)
	if err != nil {
		return record.Outcome{}, err
	}
	if w.Accepted {
		return record.Accepted(publish, record.Version(w.Version)), nil
	}
	if len(w.Faults) == 0 {
		return record.Outcome{}, errors.New("refused outcome has no faults")
	}
	faults := make([]record.Fault, 0, len(w.Faults))
	for _, wf := range w.Faults {
		faults = append(faults, fromWireFault(wf))
	}
	return record.Refused(publish, record.Version(w.Version), faults), nil
}

func fromWireFault(w wireFault) record.Fault {
	var id record.ID
	if w.Record != nil {
		kind, _ := record.ParseKind(w.Record.Kind)
		id = record.NewID(kind, w.Record.Name)
	}
	return record.NewFault(parseReason(w.Reason), id, w.Field, w.Detail)
}

// parseReason returns the reason with the given name, or the zero reason for an unknown name, such as one sent
// by a newer node.
func parseReason(name string) record.Reason {
	for r := record.ReasonConflict; r <= record.ReasonMalformed; r++ {
		if r.String() == name {
			return r
		}
	}
	return 0
}
