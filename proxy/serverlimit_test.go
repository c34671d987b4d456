package proxy

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

func stating(values ...string) http.Header { return http.Header{"Server-Limit": values} }

func TestServerLimitFollowsTheNewestRequest(t *testing.T) {
	c := qt.New(t)
	var changes []limitChange
	l := &serverLimit{onChange: func(change limitChange) { changes = append(changes, change) }}
	first, second, third := l.send(), l.send(), l.send()
	l.observe(second, "r2", stating("8"))
	l.observe(first, "r1", http.Header{})
	perSecond, limited := l.current()
	c.Assert(limited, qt.IsTrue, qt.Commentf("a delayed response ended the limit"))
	c.Assert(perSecond, qt.Equals, 8.0)
	l.observe(third, "r3", http.Header{})
	l.observe(first, "r1", stating("8"))
	_, limited = l.current()
	c.Assert(limited, qt.IsFalse, qt.Commentf("a delayed response brought the limit back"))
	c.Assert(changes, qt.HasLen, 2)
	c.Assert(changes[1], qt.Equals, limitChange{requestID: "r3", before: 8})

	number := l.send()
	l.reset()
	l.observe(number, "r4", stating("5"))
	_, limited = l.current()
	c.Assert(limited, qt.IsFalse, qt.Commentf("the response of a previous process of the server counted"))
}

func TestInvalidServerLimitIsIgnored(t *testing.T) {
	c := qt.New(t)
	invalid := 0
	l := &serverLimit{onChange: func(limitChange) {}, onInvalid: func(error) { invalid++ }}
	l.observe(l.send(), "r", stating("5.6"))
	for _, h := range []http.Header{stating("many"), stating("-1"), stating("Inf"), stating("NaN"), stating(""), stating("1", "2")} {
		l.observe(l.send(), "r", h)
		perSecond, limited := l.current()
		c.Check(limited, qt.IsTrue, qt.Commentf("%v", h))
		c.Check(perSecond, qt.Equals, 5.6, qt.Commentf("%v", h))
	}
	c.Assert(invalid, qt.Equals, 1, qt.Commentf("one line for a series of invalid limits"))
}
