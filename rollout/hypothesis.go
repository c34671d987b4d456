package rollout

import "math"

const (
	categories = Buckets + 1 // of responses: failed, or by bucket of the duration
	failed     = Buckets     // category of failed responses

	// hypothesisCount is the number of ways to be bad that a Judge compares the counts with.
	hypothesisCount = 14
	// plainHypotheses is the number of these, the first ones, that a good version has to be told from. The others are bad
	// in fewer responses, such as when servers come under load now and then, and would need too many requests for that.
	plainHypotheses = 10
	// failingHypotheses is the number of these, the first ones, that are about failures.
	failingHypotheses = 4

	// lastingExplanations is the number of ways to be good, the first ones, that may last.
	lastingExplanations = 3

	// outlierShare is the share of durations of which nothing is assumed, so that single odd ones prove nothing.
	outlierShare = 0.03
	// minFailureRate is the failure rate that is assumed of a good version at least.
	minFailureRate = 0.01
	// badShift is the number of buckets by which responses of a bad version come later: 8 times the duration.
	badShift = 3
)

// distribution holds the probability of each category of responses.
type distribution [categories]float64

// histogram holds numbers of responses by category.
type histogram [categories]float64

func (h *histogram) add(t Tally, weight float64) {
	for i, n := range t.durations {
		h[i] += float64(n) * weight
	}
	h[failed] += float64(t.failures) * weight
}

func (h histogram) total() float64 {
	n := 0.0
	for _, c := range h {
		n += c
	}
	return n
}

// newDistribution returns the distribution of the base version's responses, from what was counted over the same time and
// the weaker evidence of the time before.
func newDistribution(now, before histogram) distribution {
	const weightBefore = 12 // requests for which the time before stands
	if total := before.total(); total > 0 {
		for i := range now {
			now[i] += before[i] * min(1, weightBefore/total)
		}
	}
	var d distribution
	answered := now.total() - now[failed]
	failureRate := max(minFailureRate, (now[failed]+0.2)/(now.total()+1))
	for i := range Buckets {
		share := 1.0 / Buckets
		if answered > 0 {
			share = (1-outlierShare)*now[i]/answered + outlierShare/Buckets
		}
		d[i] = share * (1 - failureRate)
	}
	d[failed] = failureRate
	return d
}

// slowed returns the distribution with a fraction of the durations later by some buckets.
func (d distribution) slowed(fraction float64, buckets int) distribution {
	var out distribution
	out[failed] = d[failed]
	for i := range Buckets {
		out[i] += (1 - fraction) * d[i]
		out[min(i+buckets, Buckets-1)] += fraction * d[i]
	}
	return out
}

// failing returns the distribution with a further fraction of the responses failed.
func (d distribution) failing(fraction float64) distribution {
	for i := range Buckets {
		d[i] *= 1 - fraction
	}
	d[failed] = d[failed] + fraction*(1-d[failed])
	return d
}

func (d distribution) logarithms() distribution {
	for i, p := range d {
		d[i] = math.Log(p)
	}
	return d
}

// badDistributions returns the logarithms of the distributions of bad versions, for servers that are warm and for cold
// ones, which take twice as long: a fraction of the responses fails, or comes 8 times later.
func badDistributions(base distribution) [hypothesisCount]distribution {
	var all [hypothesisCount]distribution
	for i, d := range [...]distribution{base, base.slowed(1, 1)} {
		all[i] = d.failing(0.4).logarithms()
		all[i+2] = d.failing(0.8).logarithms()
		for j, fraction := range [...]float64{0.4, 0.7, 1} {
			all[failingHypotheses+2*j+i] = d.slowed(fraction, badShift).logarithms()
		}
		all[plainHypotheses+i] = d.failing(0.04).logarithms()
		all[plainHypotheses+2+i] = d.slowed(0.04, badShift).logarithms()
	}
	return all
}

// goodDistributions returns the logarithms of the distributions of good versions: as fast as the base version, or up to
// twice as slow in part or as a whole. While servers start they may be slower still, as requests queue up there.
func goodDistributions(base distribution, starting bool) []distribution {
	all := []distribution{base.logarithms(), base.slowed(0.5, 1).logarithms(), base.slowed(1, 1).logarithms()}
	if starting {
		all = append(all, base.slowed(0.5, 2).logarithms(), base.slowed(1, 2).logarithms())
	}
	return all
}

func (h histogram) logLikelihood(logarithms distribution) float64 {
	sum := 0.0
	for i, n := range h {
		if n > 0 {
			sum += n * logarithms[i]
		}
	}
	return sum
}
