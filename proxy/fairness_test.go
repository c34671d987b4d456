package proxy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/admission"
)

// fairWindow is the time in which each organisation must get its fair share.
const fairWindow = 5 * time.Second

// loadSenders are the organisations that send the requests of a loadSimulation. A nil value stands for none.
type loadSenders struct {
	shares                 []float64 // of all requests, by organisation; the first one is loud
	unfair                 bool      // baseline: all are one flow
	start                  time.Time
	asked                  map[int][]float64 // by window and organisation
	answered               map[int][]float64
	refusals, lateRefusals float64 // by servers
}

// atOnce is the longest time after which a refusal does not count as late.
const atOnce = 50 * time.Millisecond

func (l *loadSenders) refuse(after time.Duration) {
	if l == nil {
		return
	}
	l.refusals++
	if after > atOnce {
		l.lateRefusals++
	}
}

func (l *loadSenders) draw(rnd *rand.Rand) int {
	if l == nil {
		return 0
	}
	remaining := rnd.Float64()
	for i, share := range l.shares {
		if remaining -= share; remaining < 0 {
			return i
		}
	}
	return len(l.shares) - 1
}

func (l *loadSenders) flow(q *loadRequest) admission.Flow {
	if l == nil || l.unfair {
		return ""
	}
	return admission.Flow(strconv.Itoa(q.sender))
}

func (l *loadSenders) window(q *loadRequest) int { return int(q.startedAt.Sub(l.start) / fairWindow) }

func (l *loadSenders) request(q *loadRequest, start time.Time) {
	if l == nil {
		return
	}
	l.start = start
	if l.asked[l.window(q)] == nil {
		l.asked[l.window(q)], l.answered[l.window(q)] = make([]float64, len(l.shares)), make([]float64, len(l.shares))
	}
	l.asked[l.window(q)][q.sender]++
}

func (l *loadSenders) answer(q *loadRequest) {
	if l != nil {
		l.answered[l.window(q)][q.sender]++
	}
}

// fairShare returns what each organisation may ask for and get in full, by max-min fairness of the requests that were
// answered.
func fairShare(asked, answered []float64) float64 {
	sorted, left := slices.Sorted(slices.Values(asked)), 0.0
	for _, n := range answered {
		left += n
	}
	for i, n := range sorted {
		if share := left / float64(len(sorted)-i); n > share {
			return share
		}
		left -= n
	}
	return sorted[len(sorted)-1]
}

// leastShares returns the least share of its requests that an organisation got in any window, of those that asked for no
// more than part of their fair share, and the least share of the fair share that the loud one got.
func (l *loadSenders) leastShares(part float64) (quiet, loud float64) {
	quiet, loud = 1, 1
	for window, asked := range l.asked {
		fair := fairShare(asked, l.answered[window])
		for i, n := range asked {
			if n > 0 && n <= part*fair {
				quiet = min(quiet, l.answered[window][i]/n)
			}
		}
		loud = min(loud, l.answered[window][0]/fair)
	}
	return quiet, loud
}

// newLoadSenders returns 85 organisations of which the first, whose usual share of all requests is given, sends a multiple
// of its usual number. The usual shares of the others differ up to eight times.
func newLoadSenders(usual, times float64, unfair bool) *loadSenders {
	l := &loadSenders{shares: make([]float64, 85), unfair: unfair, asked: make(map[int][]float64), answered: make(map[int][]float64)}
	sum, total := 0.0, 1+usual*(times-1)
	for i := 1; i < len(l.shares); i++ {
		l.shares[i] = 1 / float64(1+i%8)
		sum += l.shares[i]
	}
	for i := range l.shares {
		l.shares[i] *= (1 - usual) / sum / total
	}
	l.shares[0] = usual * times / total
	return l
}

// TestLoudOrganisation guards against an organisation that takes the share of others, against one that gets nothing because
// it asks for too much, against requests that are refused only after a wait, and against urgent requests that come last.
// With one flow, the first is seen. At 1.8 times the capacity most organisations ask for more than their fair
// share, and those that ask for nearly all of it get less than 0.9, as the requests at one server vary.
func TestLoudOrganisation(t *testing.T) {
	t.Parallel()
	for _, load := range []struct{ usual, times, factor, part float64 }{
		{1.0 / 3, 3, 1.2, 1}, {1.0 / 3, 7.5, 1.8, 1}, {1.0 / 85, 7.5, 1.2, 1}, {1.0 / 85, 7.5, 1.8, 0.8},
	} {
		fair, unfair := newLoadSimulation(false, 1), newLoadSimulation(false, 1)
		fair.senders, unfair.senders = newLoadSenders(load.usual, load.times, false), newLoadSenders(load.usual, load.times, true)
		inTime := fair.run(load.factor)
		unfair.run(load.factor)
		quiet, loud := fair.senders.leastShares(load.part)
		baseline, _ := unfair.senders.leastShares(load.part)
		late := fair.senders.lateRefusals / fair.senders.refusals
		comment := qt.Commentf("%.2f: quiet %.3f, loud %.3f, late refusals %.3f, in time %.3f; one flow: quiet %.3f, late refusals %.3f", load, quiet, loud, late, inTime, baseline, unfair.senders.lateRefusals/unfair.senders.refusals)
		t.Log(comment.String())
		qt.Check(t, quiet >= 0.9 && baseline < 0.9, qt.IsTrue, comment)
		qt.Check(t, loud >= 0.9, qt.IsTrue, comment)
		qt.Check(t, late <= 0.25, qt.IsTrue, comment)
		qt.Check(t, inTime[0] >= 0.8 && inTime[0] >= inTime[1] && inTime[1] >= inTime[2], qt.IsTrue, comment)
	}
}
