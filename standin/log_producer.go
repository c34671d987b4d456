package standin

import (
	"errors"
	"net/http"
	"strconv"
)

// deduplicationWindow is the number of a producer's most recent appends whose repeats get the first response again.
const deduplicationWindow = 5

// producerSequence is the position of an append in the sequence of its producer.
type producerSequence struct {
	name      string
	epoch     uint64
	sequence  uint64
	epochOnly bool // the append is empty and only sets the epoch
}

// producerState is the state of one producer in a stream.
type producerState struct {
	epoch           uint64
	hasSequence     bool // an append of the epoch has been applied
	lastSequence    uint64
	recentResponses []appendResponse // responses to the latest appends, the last one to lastSequence
}

// producerStates holds the producers of one stream by name.
type producerStates map[string]*producerState

// parseProducer returns the producer sequence of an append request, or nil if it names no producer.
func parseProducer(r *http.Request) (*producerSequence, error) {
	name := r.FormValue("producer")
	if name == "" {
		return nil, nil
	}
	epoch, err1 := strconv.ParseUint(r.FormValue("epoch"), 10, 64)
	seq := &producerSequence{name: name, epoch: epoch, epochOnly: r.ContentLength == 0}
	var err2 error
	if text := r.FormValue("sequence"); text != "" || !seq.epochOnly {
		seq.sequence, err2 = strconv.ParseUint(text, 10, 64)
	}
	return seq, errors.Join(err1, err2)
}

// checkSequence reports whether an append is settled without being applied, and the response in that case: the append
// is fenced by a later epoch, out of sequence, a repeat, or only sets the epoch.
func (p producerStates) checkSequence(seq producerSequence) (status int, body any, settled bool) {
	state := p[seq.name]
	if state == nil {
		state = &producerState{epoch: seq.epoch}
		p[seq.name] = state
	}
	if seq.epoch < state.epoch {
		return http.StatusConflict, errorResponse{Reason: "fenced"}, true
	}
	if seq.epoch > state.epoch {
		*state = producerState{epoch: seq.epoch}
	}
	if seq.epochOnly {
		return http.StatusOK, appendResponse{}, true
	}
	if !state.hasSequence || seq.sequence == state.lastSequence+1 {
		return 0, nil, false
	}
	if back := state.lastSequence - seq.sequence; seq.sequence <= state.lastSequence && back < uint64(len(state.recentResponses)) {
		return http.StatusOK, state.recentResponses[uint64(len(state.recentResponses))-1-back], true
	}
	return http.StatusConflict, errorResponse{Reason: "seq", Sequence: state.lastSequence + 1}, true
}

// recordAppend records an applied append and its response.
func (p producerStates) recordAppend(seq producerSequence, response appendResponse) {
	state := p[seq.name]
	state.hasSequence, state.lastSequence = true, seq.sequence
	state.recentResponses = append(state.recentResponses, response)
	if len(state.recentResponses) > deduplicationWindow {
		state.recentResponses = state.recentResponses[1:]
	}
}
