package lab

import (
	"math/rand/v2"
	"time"
)

// runTimeSpread is the greatest deviation of a run time from the mean of its class, as a share of it.
const runTimeSpread = 0.3

// Server is a backend server: how many requests it runs at a time and how long each takes. Its queue is up to the packages
// under test.
type Server struct {
	slots    int
	slowdown float64 // factor of the run times
	shed     float64 // share of the requests that it refuses
	spells   []spell
}

// spell is a time in which a server is slower than usual.
type spell struct {
	start, end time.Time
	factor     float64 // of the run times
}

// NewServer returns a server with a number of slots whose run times are those of the classes times slowdown.
func NewServer(slots int, slowdown float64) *Server { return &Server{slots: slots, slowdown: slowdown} }

// AddSpell makes the server slower by a factor from start to end, like a server that has just started or one that fails.
func (s *Server) AddSpell(start, end time.Time, factor float64) {
	s.spells = append(s.spells, spell{start: start, end: end, factor: factor})
}

// SetShed sets the share of the requests that the server refuses although it could run them.
func (s *Server) SetShed(share float64) { s.shed = share }

// Sheds draws whether the server refuses a request.
func (s *Server) Sheds(rnd *rand.Rand) bool { return s.shed > 0 && rnd.Float64() < s.shed }

// RunTime draws the run time of a request of a class that starts at a time.
func (s *Server) RunTime(rnd *rand.Rand, now time.Time, c Class) time.Duration {
	seconds := c.RunTime.Seconds() * s.slowdown * (1 - runTimeSpread + 2*runTimeSpread*rnd.Float64())
	for _, p := range s.spells {
		if !now.Before(p.start) && now.Before(p.end) {
			seconds *= p.factor
		}
	}
	return time.Duration(seconds * float64(time.Second))
}
