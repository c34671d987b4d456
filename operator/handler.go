// Package operator implements the operators' port of a node, the HTTP service that the command line uses to
// publish, query and drain, and the client of that service.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/burn"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/record"
)

// Headers that every request must carry.
const (
	// HeaderFleet holds the name of the fleet that the request is meant for.
	HeaderFleet = "Bambooknot-Fleet"
	// HeaderProtocol holds the protocol version of the client.
	HeaderProtocol = "Bambooknot-Protocol"
)

// Protocol is the version of the operators' protocol.
const Protocol = 1

// MaxRequestBody is the maximum size of a request body in bytes.
const MaxRequestBody = 4 << 20

// Callbacks are the functions of a node that the handler calls. Each must be safe for concurrent use.
type Callbacks struct {
	Publish func(context.Context, record.ChangeSet) message.Receipt
	Bridge  func(context.Context, record.Offset) message.BridgeReceipt
	Status  func() message.Status
	Drain   func()                                        // starts draining and returns at once
	Outcome func(record.PublishID) (record.Outcome, bool) // false if the outcome is unknown
	Burn    func() burn.Counts
	Records func() Records
}

// Handler serves the requests of operators. It is an http.Handler.
type Handler struct {
	fleet     string
	callbacks Callbacks
	scope     tally.Scope
	mux       *http.ServeMux
}

// NewHandler returns the handler of a node of the given fleet.
func NewHandler(fleet string, callbacks Callbacks, scope tally.Scope) *Handler {
	h := &Handler{fleet: fleet, callbacks: callbacks, scope: scope, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /publish", h.publish)
	h.mux.HandleFunc("POST /bridge", h.bridge)
	h.mux.HandleFunc("POST /drain", h.drain)
	h.mux.HandleFunc("GET /status", h.status)
	h.mux.HandleFunc("GET /outcome/{publish}", h.outcome)
	h.mux.HandleFunc("GET /burn", h.burn)
	h.mux.HandleFunc("GET /records", h.records)
	return h
}

// ServeHTTP implements http.Handler. Requests for another fleet or protocol are rejected without any action.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(HeaderFleet) != h.fleet {
		h.scope.Counter(metric.OperatorWrongFleet).Inc(1)
		writeError(w, http.StatusForbidden, "this node belongs to another fleet than "+strconv.Quote(r.Header.Get(HeaderFleet)))
		return
	}
	if r.Header.Get(HeaderProtocol) != strconv.Itoa(Protocol) {
		h.scope.Counter(metric.OperatorWrongProtocol).Inc(1)
		writeError(w, http.StatusUpgradeRequired, "this node speaks protocol "+strconv.Itoa(Protocol))
		return
	}
	h.scope.Counter(metric.OperatorRequests).Inc(1)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) publish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBody))
	if err != nil {
		h.scope.Counter(metric.OperatorMalformed).Inc(1)
		writeError(w, bodyErrorStatus(err), err.Error())
		return
	}
	change, err := DecodeChangeSet(data)
	if err != nil {
		h.scope.Counter(metric.OperatorMalformed).Inc(1)
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	receipt := h.callbacks.Publish(r.Context(), change)
	h.countReceipt(receipt)
	answer, err := EncodeReceipt(receipt)
	writeJSON(w, receiptStatus(receipt), answer, err)
}

func bodyErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func (h *Handler) countReceipt(r message.Receipt) {
	switch {
	case r.State() == message.ReceiptNotAppended:
		h.scope.Counter(metric.PublishNotAppended).Inc(1)
	case r.State() != message.ReceiptDecided:
		h.scope.Counter(metric.PublishUnknown).Inc(1)
	case r.Outcome().Accepted():
		h.scope.Counter(metric.PublishAccepted).Inc(1)
	default:
		h.scope.Counter(metric.PublishRefused).Inc(1)
	}
}

func receiptStatus(r message.Receipt) int {
	switch {
	case r.State() == message.ReceiptNotAppended:
		return http.StatusServiceUnavailable
	case r.State() != message.ReceiptDecided:
		return http.StatusGatewayTimeout
	case r.Outcome().Accepted():
		return http.StatusOK
	}
	return http.StatusUnprocessableEntity
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.callbacks.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	data, err := EncodeStatus(h.callbacks.Status())
	writeJSON(w, http.StatusOK, data, err)
}

func (h *Handler) outcome(w http.ResponseWriter, r *http.Request) {
	id, err := uuid.Parse(r.PathValue("publish"))
	if err != nil {
		h.scope.Counter(metric.OperatorMalformed).Inc(1)
		writeError(w, http.StatusBadRequest, "not a publish ID: "+err.Error())
		return
	}
	outcome, ok := h.callbacks.Outcome(id)
	if !ok {
		writeError(w, http.StatusNotFound, "this node knows no outcome of "+id.String())
		return
	}
	data, err := EncodeOutcome(outcome)
	writeJSON(w, http.StatusOK, data, err)
}

func (h *Handler) burn(w http.ResponseWriter, _ *http.Request) {
	data, err := burn.EncodeCounts(h.callbacks.Burn())
	writeJSON(w, http.StatusOK, data, err)
}

func (h *Handler) records(w http.ResponseWriter, _ *http.Request) {
	data, err := EncodeRecords(h.callbacks.Records())
	writeJSON(w, http.StatusOK, data, err)
}

func writeJSON(w http.ResponseWriter, status int, data []byte, err error) {
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, status int, text string) {
	data, _ := json.Marshal(wireError{Error: text})
	writeJSON(w, status, data, nil)
}

// decodeStrict decodes a single JSON value and rejects unknown keys.
func decodeStrict(data []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the value")
	}
	return nil
}
