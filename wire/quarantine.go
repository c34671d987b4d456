package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
)

// codeQuarantine is the code of message.Quarantine.
const codeQuarantine Code = 48

// maxTrials bounds the number of a trial on the wire.
const maxTrials = 1 << 30

// maxReportAge bounds the age of a report on the wire.
const maxReportAge = 30 * 24 * time.Hour

func quarantineCodecs() []codec {
	return []codec{{code: codeQuarantine, sample: message.Quarantine{}, maxSize: MaxDatagram, encode: encodeQuarantine, decode: decodeQuarantine}}
}

type quarantineWire struct {
	Crashes []crashRow `cbor:"1,keyasint,omitempty"`
	Trials  []trialRow `cbor:"2,keyasint,omitempty"`
}

type crashRow struct {
	_         struct{} `cbor:",toarray"`
	Content   []byte
	Caller    uint64
	Server    uint64
	AgeMillis uint32
	Refuted   bool
}

type trialRow struct {
	_         struct{} `cbor:",toarray"`
	Content   []byte
	Number    uint32
	Passed    uint32
	AgeMillis uint32
}

func encodeQuarantine(body message.PeerMessage) ([]byte, error) {
	q := body.(message.Quarantine)
	var w quarantineWire
	for _, c := range q.Crashes() {
		content := c.Request().Content()
		w.Crashes = append(w.Crashes, crashRow{Content: content[:], Caller: uint64(c.Request().Caller()), Server: uint64(c.Server()), AgeMillis: ageMillis(c.Age()), Refuted: c.Refuted()})
	}
	for _, t := range q.Trials() {
		content := t.Content()
		w.Trials = append(w.Trials, trialRow{Content: content[:], Number: uint32(t.Number()), Passed: uint32(t.Passed()), AgeMillis: ageMillis(t.Age())})
	}
	return cbor.Marshal(w)
}

func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(age, 0), maxReportAge).Milliseconds())
}

func decodeQuarantine(data []byte) (message.PeerMessage, error) {
	var w quarantineWire
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	var crashes []message.CrashReport
	for _, row := range w.Crashes {
		content, age, err := reportFields(row.Content, row.AgeMillis)
		if err != nil {
			return nil, err
		}
		request := quarantine.NewRequest(content, quarantine.Caller(row.Caller))
		crashes = append(crashes, message.NewCrashReport(request, quarantine.Server(row.Server), age, row.Refuted))
	}
	var trials []message.TrialReport
	for _, row := range w.Trials {
		content, age, err := reportFields(row.Content, row.AgeMillis)
		if err != nil || row.Number == 0 || row.Passed > row.Number || row.Number > maxTrials {
			return nil, errFieldRange
		}
		trials = append(trials, message.NewTrialReport(content, int(row.Number), int(row.Passed), age))
	}
	return message.NewQuarantine(crashes, trials), nil
}

func reportFields(data []byte, millis uint32) (content quarantine.Content, age time.Duration, err error) {
	age = time.Duration(millis) * time.Millisecond
	if len(data) != quarantine.ContentBytes || age > maxReportAge {
		return content, 0, errFieldRange
	}
	copy(content[:], data)
	return content, age, nil
}
