package standin

import (
	"errors"
	"net/http"
	"strconv"
)

// deduplicationWindow is the number of a producer's last appends of which a repeat gets the first answer again.
const deduplicationWindow = 5

// producerSequence is the place of an append among those of its producer.
type producerSequence struct {
	name     string
	epoch    uint64
	sequence uint64
	epochOnly   bool // an empty append, which only sets the epoch
}

// producerState is what a stream knows of one producer.
type producerState struct {
	epoch   uint64
	hasSequence bool // an append of the epoch was taken
	lastSequence    uint64
	recentResponses []appendResponse // of the last turns, ending with last
}

// producerStates of one stream, by name.
type producerStates map[string]*producerState

// parseProducer returns the producer's turn that a call names, or nil.
func parseProducer(r *http.Request) (*producerSequence, error) {
	name := r.FormValue("producer")
	if name == "" {
		return nil, nil
	}
	epoch, err1 := strconv.ParseUint(r.FormValue("epoch"), 10, 64)
	turn := &producerSequence{name: name, epoch: epoch, epochOnly: r.ContentLength == 0}
	var err2 error
	if text := r.FormValue("sequence"); text != "" || !turn.epochOnly {
		turn.sequence, err2 = strconv.ParseUint(text, 10, 64)
	}
	return turn, errors.Join(err1, err2)
}

// checkSequence tells whether an append is not to be applied, and what to answer then: it is fenced, out of turn, a repeat,
// or only sets the epoch.
func (p producerStates) checkSequence(t producerSequence) (status int, body any, settled bool) {
	held := p[t.name]
	if held == nil {
		held = &producerState{epoch: t.epoch}
		p[t.name] = held
	}
	if t.epoch < held.epoch {
		return http.StatusConflict, errorResponse{Reason: "fenced"}, true
	}
	if t.epoch > held.epoch {
		*held = producerState{epoch: t.epoch}
	}
	if t.epochOnly {
		return http.StatusOK, appendResponse{}, true
	}
	if !held.hasSequence || t.sequence == held.lastSequence+1 {
		return 0, nil, false
	}
	if back := held.lastSequence - t.sequence; t.sequence <= held.lastSequence && back < uint64(len(held.recentResponses)) {
		return http.StatusOK, held.recentResponses[uint64(len(held.recentResponses))-1-back], true
	}
	return http.StatusConflict, errorResponse{Reason: "seq", Sequence: held.lastSequence + 1}, true
}

// recordAppend remembers an append that was applied.
func (p producerStates) recordAppend(t producerSequence, done appendResponse) {
	held := p[t.name]
	held.hasSequence, held.lastSequence = true, t.sequence
	held.recentResponses = append(held.recentResponses, done)
	if len(held.recentResponses) > deduplicationWindow {
		held.recentResponses = held.recentResponses[1:]
	}
}
