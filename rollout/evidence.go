package rollout

import (
	"math"
	"slices"
	"time"
)

// subsets is the number of sets of cohorts that are judged: all cohorts, and all but one each.
const subsets = Cohorts + 1

// evidence compares the target version with the base version on one route, or in total. For each way to be bad it sums the
// logarithms of the likelihood ratio between that and a good version.
type evidence struct {
	base      histogram // before the current slice
	target    [subsets]float64
	alarm     [subsets]ratios // against the best explanation of each slice, since the sum was last below 0
	sum       [subsets]explanations
	sinceMark [subsets]explanations
}

// ratios are sums of logarithms of likelihood ratios by way to be bad.
type ratios [hypothesisCount]float64

// explanations are ratios by each way to be good that lasts: a good version is explained by the same one all the time. The
// best explanation of each slice would suit a bad version too if slices are small.
type explanations [lastingExplanations]ratios

// slice holds the responses of one route in a span of time.
type slice struct {
	begunAt  time.Time
	requests uint64 // at the target version
	base     histogram
	target   [Cohorts]histogram
}

func (s *slice) add(base Tally, target [Cohorts]Tally) {
	s.base.add(base, 1)
	for i, t := range target {
		s.target[i].add(t, 1)
	}
}

// subset returns the responses of the target version but for one cohort, or of all cohorts for subset 0.
func (s *slice) subset(without int) histogram {
	var h histogram
	for cohort, part := range s.target {
		if cohort+1 == without {
			continue
		}
		for i, n := range part {
			h[i] += n
		}
	}
	return h
}

// add adds a slice. starting says that the servers of the target version may not be warm yet.
func (e *evidence) add(s *slice, starting bool) {
	base := newDistribution(s.base, e.base)
	bad, good := badDistributions(base), goodDistributions(base, starting)
	for subset := range subsets {
		h := s.subset(subset)
		n := h.total()
		if n == 0 {
			continue
		}
		e.target[subset] += n
		// What is known of the base version is an estimate too. Without requests to it at the same time nothing is proven.
		weight := s.base.total() / (s.base.total() + n)
		likelihoods := make([]float64, len(good))
		for i, g := range good {
			likelihoods[i] = h.logLikelihood(g)
		}
		best, lasting := slices.Max(likelihoods), slices.Max(likelihoods[:lastingExplanations])
		for i, b := range bad {
			likelihood := h.logLikelihood(b)
			e.alarm[subset][i] = max(0, e.alarm[subset][i]+weight*(likelihood-best))
			for j, g := range likelihoods[:lastingExplanations] {
				if starting {
					g = lasting // servers become warm one after the other
				}
				e.sum[subset][j][i] += weight * (likelihood - g)
				e.sinceMark[subset][j][i] += weight * (likelihood - g)
			}
		}
	}
	const memory = 0.9 // keeps the time before at the last ten slices
	for i, n := range s.base {
		e.base[i] = e.base[i]*memory + n
	}
}

// isBad reports whether the target version is bad in one of the first few ways: in total, and also without any one cohort.
// One faulty server among several is not a bad version.
func (e *evidence) isBad(ways int, threshold float64) bool {
	for i := range ways {
		if i == plainHypotheses {
			threshold *= sparseFraction
		}
		if e.alarm[0][i] >= threshold && e.othersAlarmed(i, threshold*othersFraction) {
			return true
		}
	}
	return false
}

// sparseFraction is the part of the threshold that is enough for ways to be bad that show in few responses: what is sent
// until the whole is reached would take too long.
const sparseFraction = 0.75

// othersFraction is the part of the threshold that the evidence without any one cohort has to reach.
const othersFraction = 0.65

func (e *evidence) othersAlarmed(way int, threshold float64) bool {
	for subset := 1; subset < subsets; subset++ {
		if e.target[subset] > 0 && e.alarm[subset][way] < threshold {
			return false
		}
	}
	return true
}

// goodness returns the strength of the evidence in a subset that the target version is good, as the logarithm of a
// likelihood ratio. It is 0 while the evidence against the version since it was last good is above suspicion.
func (e *evidence) goodness(sums *[subsets]explanations, subset int, suspicion float64) float64 {
	best := 0.0
	for _, explanation := range sums[subset] {
		best = max(best, explanation.weakest(&e.alarm[subset], suspicion))
	}
	return best
}

// bestExclusion returns the subset without the cohort that speaks most against the target version.
func (e *evidence) bestExclusion() int {
	best := 1
	for subset := 2; subset < subsets; subset++ {
		if e.goodness(&e.sum, subset, badThreshold) > e.goodness(&e.sum, best, badThreshold) {
			best = subset
		}
	}
	return best
}

// weakest returns the strength of the evidence against the most likely way to be bad.
func (r *ratios) weakest(alarm *ratios, suspicion float64) float64 {
	weakest := math.Inf(1)
	for i, sum := range r[:plainHypotheses] {
		if alarm[i] > suspicion {
			return 0
		}
		weakest = min(weakest, -sum)
	}
	return weakest
}
