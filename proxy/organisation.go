package proxy

import (
	"errors"
	"net/url"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/platform"
)

// organisation is what nodes tell each other of the organisation that sent a request.
type organisation struct {
	name     string
	priority int // of its requests; 0 is the most urgent
}

// Reasons of the refusal of requests without a valid API key.
const (
	reasonNoKey      = "no_key"
	reasonUnknownKey = "unknown_key"
)

// authenticate determines the organisation that sent a request, by its API key and the organisations of its table. It
// fails with a reason if the request needs a key and has none that is valid. The key itself is removed, as servers must not
// receive it.
func (q *request) authenticate() (reason string, ok bool) {
	organisations := q.snapshot.Table().Organisations()
	if organisations == nil {
		return "", true
	}
	key := platform.APIKey(q.original.Header())
	platform.RemoveAPIKey(q.original.Header())
	if q.route.AuthExempt() {
		return "", true
	}
	if key == "" {
		return reasonNoKey, false
	}
	found, known := organisations.ByKey(key)
	if !known {
		return reasonUnknownKey, false
	}
	q.sender, q.organisation = found, organisation{name: found.Name(), priority: found.Priority()}
	q.identity.organisation = found.Name()
	q.nested = false // backend servers send no keys
	return "", true
}

// encode returns the form that a request between nodes carries: the priority and the name.
func (o organisation) encode() string {
	return strconv.Itoa(o.priority) + ":" + url.QueryEscape(o.name)
}

var errMalformedOrganisation = errors.New("malformed organisation")

func decodeOrganisation(text string) (organisation, error) {
	number, escaped, ok := strings.Cut(text, ":")
	priority, err := strconv.Atoi(number)
	if !ok || err != nil {
		return organisation{}, errMalformedOrganisation
	}
	name, err := url.QueryUnescape(escaped)
	if err != nil {
		return organisation{}, errMalformedOrganisation
	}
	return organisation{name: name, priority: priority}, nil
}

// log adds the name to a log line, if there is one.
func (o organisation) log(event *zerolog.Event) *zerolog.Event {
	if o.name == "" {
		return event
	}
	return event.Str("organisation", o.name)
}
