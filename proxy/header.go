package proxy

import (
	"errors"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/routing"
)

// Headers of requests between nodes. Each packs its fields into one line, because traffic between regions is billed by
// the byte.
const (
	headerCall    = "Bn-Call"
	headerResult  = "Bn-Result"
	headerServer  = "Bn-Server"
	headerTrial   = "Bn-Trial"   // only in the trial of a quarantined request
	headerVersion = "Bn-Version" // only if the fleet moves traffic between versions
)

// Call is the metadata of a request that the node on the server's VM needs.
type Call struct {
	requestID    string // attempt ID that the caller sent
	service      string // only its servers may run the request
	caller       string // service on the VM of the caller
	kind         routing.Kind
	priority     int           // of the route; 0 is the most urgent
	organisation organisation  // that sent the request; the zero value if none did
	timeLeft     time.Duration // until the deadline of the request
	timeToTarget time.Duration // until the target latency is exceeded; negative afterwards
	nested       bool          // whether a server made the request while it was running another one
	trial        int           // number of the trial if the request is quarantined; not part of the encoded form
	version      string        // only a server of it may run the request, "" for any; not part of the encoded form
}

// RequestID returns the ID of the request: the attempt ID that the caller sent, which differs when the caller retries.
func (c Call) RequestID() string { return c.requestID }

// Numbers of fields of an encoded call. Only the calls of organisations have the last one, so that nodes that do not know
// it yet understand all others.
const (
	callFields             = 7
	callFieldsOrganisation = 8
)

func encodeCall(c Call) string {
	fields := []string{
		url.QueryEscape(c.requestID), url.QueryEscape(c.service), url.QueryEscape(c.caller), strconv.Itoa(int(c.kind)), strconv.Itoa(encodePriority(c)),
		strconv.FormatInt(c.timeLeft.Milliseconds(), 10), strconv.FormatInt(c.timeToTarget.Milliseconds(), 10),
	}
	if c.organisation != (organisation{}) {
		fields = append(fields, c.organisation.encode())
	}
	return strings.Join(fields, " ")
}

// encodePriority returns the priority of a request, or a negative number for a nested one. Nodes that do not distinguish
// nested requests take negative numbers for the most urgent priority.
func encodePriority(c Call) int {
	if c.nested {
		return -c.priority - 1
	}
	return c.priority
}

func decodePriority(encoded int) (priority int, nested bool) {
	if encoded < 0 {
		return -encoded - 1, true
	}
	return encoded, false
}

var errMalformedCall = errors.New("malformed call header")

func decodeCall(line string) (Call, error) {
	fields := strings.Split(line, " ")
	if len(fields) != callFields && len(fields) != callFieldsOrganisation {
		return Call{}, errMalformedCall
	}
	requestID, err1 := url.QueryUnescape(fields[0])
	service, err2 := url.QueryUnescape(fields[1])
	caller, err3 := url.QueryUnescape(fields[2])
	kind, err4 := strconv.ParseUint(fields[3], 10, 8)
	priority, err5 := strconv.Atoi(fields[4])
	timeLeft, err6 := strconv.ParseInt(fields[5], 10, 64)
	timeToTarget, err7 := strconv.ParseInt(fields[6], 10, 64)
	var sender organisation
	var err8 error
	if len(fields) == callFieldsOrganisation {
		sender, err8 = decodeOrganisation(fields[callFields])
	}
	if err := errors.Join(err1, err2, err3, err4, err5, err6, err7, err8); err != nil {
		return Call{}, errors.Join(errMalformedCall, err)
	}
	priority, nested := decodePriority(priority)
	return Call{
		requestID: requestID, service: service, caller: caller, kind: routing.Kind(kind), priority: priority, nested: nested,
		organisation: sender, timeLeft: time.Duration(timeLeft) * time.Millisecond, timeToTarget: time.Duration(timeToTarget) * time.Millisecond,
	}, nil
}

// encodeResult encodes a result without the response.
func encodeResult(requestID string, r Result) string {
	return strings.Join([]string{
		url.QueryEscape(requestID), strconv.Itoa(int(r.outcome)), string(r.reason), strconv.FormatInt(r.retryAfter.Milliseconds(), 10),
		strconv.Itoa(r.load.Running()), strconv.Itoa(r.load.Queued()), strconv.FormatBool(r.reachedServer),
		strconv.FormatInt(r.queueTime.Milliseconds(), 10), strconv.FormatInt(r.runTime.Milliseconds(), 10),
	}, " ")
}

const resultFields = 9

var errMalformedResult = errors.New("malformed result header")

func decodeResult(line string) (Result, error) {
	fields := strings.Split(line, " ")
	if len(fields) != resultFields {
		return Result{}, errMalformedResult
	}
	outcome, err1 := strconv.ParseUint(fields[1], 10, 8)
	retryAfter, err2 := strconv.ParseInt(fields[3], 10, 64)
	running, err3 := strconv.Atoi(fields[4])
	queued, err4 := strconv.Atoi(fields[5])
	reachedServer, err5 := strconv.ParseBool(fields[6])
	queueTime, err6 := strconv.ParseInt(fields[7], 10, 64)
	runTime, err7 := strconv.ParseInt(fields[8], 10, 64)
	if err := errors.Join(err1, err2, err3, err4, err5, err6, err7); err != nil {
		return Result{}, errors.Join(errMalformedResult, err)
	}
	return Result{
		outcome: Outcome(outcome), reason: Reason(fields[2]), retryAfter: time.Duration(retryAfter) * time.Millisecond,
		load: balance.NewLoad(running, queued), reachedServer: reachedServer,
		queueTime: time.Duration(queueTime) * time.Millisecond, runTime: time.Duration(runTime) * time.Millisecond,
	}, nil
}

const statementFields = 4

// noLimit stands for the limit of a server without one.
const noLimit = "-"

// encodeStatement encodes what a server stated, for a request to the node beside it or the response of that node.
func encodeStatement(s statement) string {
	limit := noLimit
	if s.limited {
		limit = strconv.FormatFloat(s.perSecond, 'g', -1, 64)
	}
	return strings.Join([]string{limit, strconv.FormatInt(s.age.Milliseconds(), 10), url.QueryEscape(s.leaving.id), strconv.FormatInt(s.leaving.started, 10)}, " ")
}

// decodeStatement returns an empty statement if the line is missing or malformed.
func decodeStatement(line string) statement {
	fields := strings.Split(line, " ")
	if len(fields) != statementFields {
		return statement{}
	}
	age, err1 := strconv.ParseInt(fields[1], 10, 64)
	id, err2 := url.QueryUnescape(fields[2])
	started, err3 := strconv.ParseInt(fields[3], 10, 64)
	if errors.Join(err1, err2, err3) != nil {
		return statement{}
	}
	s := statement{leaving: serverProcess{id: id, started: started}, age: time.Duration(age) * time.Millisecond}
	if fields[0] == noLimit {
		return s
	}
	perSecond, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return statement{}
	}
	s.limited, s.perSecond = true, perSecond
	return s
}

// resultMatch returns whether the response of another node belongs to the request.
func resultMatch(h http.Header, requestID string) exchange.Match {
	if id, _, _ := strings.Cut(h.Get(headerResult), " "); id == url.QueryEscape(requestID) {
		return exchange.MatchOwn
	}
	return exchange.MatchOther
}
