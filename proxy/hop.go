package proxy

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/routing"
)

// Headers between two nodes. Each packs its fields into one line, as bytes between regions are billed.
const (
	headerCall   = "Bn-Call"
	headerResult = "Bn-Result"
)

// Call is what the node beside a server has to know of a request.
type Call struct {
	attempt string
	service string // whose server may run it
	caller  string // service of the VM on which the request began
	kind    routing.Kind
	urgency int           // rank of the route, 0 being the most urgent
	left    time.Duration // until the request is of no use
	target  time.Duration // until its answer loses worth; negative when that has passed
}

// Attempt returns the ID of the request.
func (c Call) Attempt() string { return c.attempt }

const callFields = 7

func encodeCall(c Call) string {
	return strings.Join([]string{
		url.QueryEscape(c.attempt), url.QueryEscape(c.service), url.QueryEscape(c.caller), strconv.Itoa(int(c.kind)), strconv.Itoa(c.urgency),
		strconv.FormatInt(c.left.Milliseconds(), 10), strconv.FormatInt(c.target.Milliseconds(), 10),
	}, " ")
}

var errCall = errors.New("malformed call header")

func decodeCall(line string) (Call, error) {
	fields := strings.Split(line, " ")
	if len(fields) != callFields {
		return Call{}, errCall
	}
	attempt, err1 := url.QueryUnescape(fields[0])
	service, err2 := url.QueryUnescape(fields[1])
	caller, err3 := url.QueryUnescape(fields[2])
	kind, err4 := strconv.ParseUint(fields[3], 10, 8)
	urgency, err5 := strconv.Atoi(fields[4])
	left, err6 := strconv.ParseInt(fields[5], 10, 64)
	target, err7 := strconv.ParseInt(fields[6], 10, 64)
	if err := errors.Join(err1, err2, err3, err4, err5, err6, err7); err != nil {
		return Call{}, errors.Join(errCall, err)
	}
	return Call{
		attempt: attempt, service: service, caller: caller, kind: routing.Kind(kind), urgency: urgency,
		left: time.Duration(left) * time.Millisecond, target: time.Duration(target) * time.Millisecond,
	}, nil
}

// encodeResult writes what became of a call, but for the answer itself.
func encodeResult(attempt string, r Result) string {
	return strings.Join([]string{
		url.QueryEscape(attempt), strconv.Itoa(int(r.ending)), string(r.reason), strconv.FormatInt(r.retryAfter.Milliseconds(), 10),
		strconv.Itoa(r.load.Running()), strconv.Itoa(r.load.Queued()), strconv.FormatBool(r.arrived),
		strconv.FormatInt(r.waited.Milliseconds(), 10), strconv.FormatInt(r.ran.Milliseconds(), 10),
	}, " ")
}

const resultFields = 9

var errResult = errors.New("malformed result header")

func decodeResult(line string) (Result, error) {
	fields := strings.Split(line, " ")
	if len(fields) != resultFields {
		return Result{}, errResult
	}
	ending, err1 := strconv.ParseUint(fields[1], 10, 8)
	after, err2 := strconv.ParseInt(fields[3], 10, 64)
	running, err3 := strconv.Atoi(fields[4])
	queued, err4 := strconv.Atoi(fields[5])
	arrived, err5 := strconv.ParseBool(fields[6])
	waited, err6 := strconv.ParseInt(fields[7], 10, 64)
	ran, err7 := strconv.ParseInt(fields[8], 10, 64)
	if err := errors.Join(err1, err2, err3, err4, err5, err6, err7); err != nil {
		return Result{}, errors.Join(errResult, err)
	}
	return Result{
		ending: Outcome(ending), reason: Reason(fields[2]), retryAfter: time.Duration(after) * time.Millisecond,
		load: balance.NewLoad(running, queued), arrived: arrived,
		waited: time.Duration(waited) * time.Millisecond, ran: time.Duration(ran) * time.Millisecond,
	}, nil
}

// resultBelongs tells whether an answer of another node is that to an attempt.
func resultBelongs(h http.Header, attempt string) bool {
	id, _, _ := strings.Cut(h.Get(headerResult), " ")
	return id == url.QueryEscape(attempt)
}
