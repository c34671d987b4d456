package operator

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

const (
	bridgeWritten = "written"
	bridgeRefused = "refused"
)

// EncodeBridge encodes a request to bridge the gap up to an offset as JSON.
func EncodeBridge(gapEnd record.Offset) ([]byte, error) {
	acceptLoss := uint64(gapEnd)
	return json.Marshal(wireBridge{AcceptLoss: &acceptLoss})
}

// DecodeBridge returns the offset of a request encoded by EncodeBridge.
func DecodeBridge(data []byte) (record.Offset, error) {
	var w wireBridge
	if err := decodeStrict(data, &w); err != nil {
		return 0, err
	}
	if w.AcceptLoss == nil {
		return 0, errors.New("accept_loss is missing")
	}
	return record.Offset(*w.AcceptLoss), nil
}

// EncodeBridgeReceipt encodes a receipt as JSON.
func EncodeBridgeReceipt(r message.BridgeReceipt) ([]byte, error) {
	w := wireBridgeReceipt{State: stateUnknown}
	switch r.State() {
	case message.BridgeWritten:
		w.State = bridgeWritten
	case message.BridgeRefused:
		w.State = bridgeRefused
	case message.BridgeNotAppended:
		w.State = stateNotAppended
	}
	if r.Err() != nil {
		w.Error = r.Err().Error()
	}
	return json.Marshal(w)
}

// DecodeBridgeReceipt decodes a receipt encoded by EncodeBridgeReceipt. Of its error, only the text is kept.
func DecodeBridgeReceipt(data []byte) (message.BridgeReceipt, error) {
	var w wireBridgeReceipt
	if err := json.Unmarshal(data, &w); err != nil {
		return message.BridgeReceipt{}, err
	}
	err := errorFromText(w.Error)
	switch w.State {
	case bridgeWritten:
		return message.NewBridgeReceipt(message.BridgeWritten, err), nil
	case bridgeRefused:
		return message.NewBridgeReceipt(message.BridgeRefused, err), nil
	case stateNotAppended:
		return message.NewBridgeReceipt(message.BridgeNotAppended, err), nil
	case stateUnknown:
		return message.NewBridgeReceipt(message.BridgeUnknown, err), nil
	}
	return message.BridgeReceipt{}, fmt.Errorf("unknown state %q of bridge receipt", w.State)
}
