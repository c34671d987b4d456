package operator

import (
	"context"
	"io"
	"net/http"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/record"
)

func (h *Handler) bridge(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBody))
	if err != nil {
		h.scope.Counter(metric.OperatorMalformed).Inc(1)
		writeError(w, bodyErrorStatus(err), err.Error())
		return
	}
	gapEnd, err := DecodeBridge(data)
	if err != nil {
		h.scope.Counter(metric.OperatorMalformed).Inc(1)
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	receipt := h.callbacks.Bridge(r.Context(), gapEnd)
	answer, err := EncodeBridgeReceipt(receipt)
	writeJSON(w, bridgeStatus(receipt), answer, err)
}

func bridgeStatus(r message.BridgeReceipt) int {
	switch r.State() {
	case message.BridgeWritten:
		return http.StatusOK
	case message.BridgeRefused:
		return http.StatusConflict
	case message.BridgeNotAppended:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// Bridge tells the node to accept the loss of the entries from its head up to gapEnd. On an error for which
// NotSent is false and that is no *RejectedError, the gap may have been bridged.
func (c *Client) Bridge(ctx context.Context, gapEnd record.Offset) (message.BridgeReceipt, error) {
	body, err := EncodeBridge(gapEnd)
	if err != nil {
		return message.BridgeReceipt{}, err
	}
	data, err := c.do(ctx, http.MethodPost, "/bridge", body, http.StatusConflict, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
	if err != nil {
		return message.BridgeReceipt{}, err
	}
	r, err := DecodeBridgeReceipt(data)
	return r, c.wrap("operator.bridge", err)
}
