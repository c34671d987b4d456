package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/platform"
)

// serverLimit tracks the requests per second that the backend server on the VM accepts, as stated in its responses. A
// response without a limit ends it. Of two responses, the one to the request that was sent later decides, as the other may
// have been delayed. It is safe for concurrent use.
type serverLimit struct {
	onChange  func(limitChange) // must not block
	onInvalid func(err error)   // called for the first of several invalid limits

	mu        sync.Mutex
	lastSent  uint64 // number of the request sent last
	decidedBy uint64 // number of the request whose response decided the limit; 0 before the first
	limited   bool
	perSecond float64
	invalid   bool // whether the last response had an invalid limit
}

// limitChange is a change of the limit of a server.
type limitChange struct {
	requestID string // whose response stated it
	limited   bool
	perSecond float64
	before    float64       // 0 if the server had no limit
	age       time.Duration // since the response that stated it
	byCaller  bool          // whether the node of a caller passed the limit on
}

// send returns the number of a request that is about to be sent.
func (l *serverLimit) send() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSent++
	return l.lastSent
}

// observe updates the limit from the headers of a response. number is that of the request, as returned by send.
func (l *serverLimit) observe(number uint64, requestID string, h http.Header) {
	perSecond, limited, err := platform.ServerLimit(h)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !l.invalid {
			l.invalid = true
			l.onInvalid(err)
		}
		return
	}
	l.invalid = false
	if number < l.decidedBy {
		return
	}
	l.decidedBy = number
	if limited == l.limited && perSecond == l.perSecond {
		return
	}
	change := limitChange{requestID: requestID, limited: limited, perSecond: perSecond, before: l.perSecond}
	l.limited, l.perSecond = limited, perSecond
	l.onChange(change)
}

// adopt sets a limit that the node of a caller passed on with a request, if no response of the server has decided it yet.
// A node that has been restarted would otherwise use the server without a limit until the first response.
func (l *serverLimit) adopt(s statement, requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.limited || l.decidedBy > 0 || l.limited {
		return
	}
	l.limited, l.perSecond = true, s.perSecond
	l.onChange(limitChange{requestID: requestID, limited: true, perSecond: s.perSecond, age: s.age, byCaller: true})
}

// current returns the limit of the server in requests per second, and whether it has one.
func (l *serverLimit) current() (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond, l.limited
}

// reset forgets the limit, for a server process that has been replaced by another one. Responses to requests sent before
// have no effect any more.
func (l *serverLimit) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSent++
	change := limitChange{before: l.perSecond}
	wasLimited := l.limited
	l.decidedBy, l.limited, l.perSecond, l.invalid = l.lastSent, false, 0, false
	if wasLimited {
		l.onChange(change)
	}
}
