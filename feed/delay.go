package feed

import (
	"math"
	"math/bits"
	"time"
)

// startDelay returns how long a node without a document waits before it reads the store, by a random fraction from 0 to
// 1 and the size of the fleet. It spreads the reads when the whole fleet starts at once: nodes near the store read
// first, a few early and exponentially more later, so that most other nodes receive the document from one of them
// before they would read it across the link between the regions.
func startDelay(nearStore bool, fraction float64, fleetSize int, firstStart bool) time.Duration {
	leastSpread := minStartSpread
	if firstStart {
		leastSpread = firstStartSpread
	}
	perNode := nearStartSpreadPerNode
	if !nearStore {
		perNode = farStartSpreadPerNode
	}
	spread := max(leastSpread, time.Duration(fleetSize)*perNode)
	const doublings = 6 // in the first sixth of the spread about one node in 64 reads
	delay := time.Duration(float64(spread) * math.Log2(1+fraction*(1<<doublings-1)) / doublings)
	if !nearStore {
		delay += farStartDelay + time.Duration(fleetSize)*farStartDelayPerNode
	}
	return delay
}

// takeoverDelay returns how much longer than SilenceTimeout a node waits before it reads in place of the readers, by the
// number of nodes of its region that take over before it. The first nodes follow one by one and later ones in groups
// that double in size, so that the document crosses a narrow link only a few times.
func takeoverDelay(rank int) time.Duration {
	if rank < singleTakeoverRanks {
		return time.Duration(rank) * takeoverStep
	}
	return singleTakeoverRanks*takeoverStep + time.Duration(bits.Len(uint(rank/singleTakeoverRanks))-1)*takeoverDoublingStep
}

// retryDelay returns the mean delay after a number of consecutive failed reads. It grows with the rank, so that all
// nodes together send a bounded number of reads a second to a store that fails or is behind a congested link.
func retryDelay(failures, rank int) time.Duration {
	longest := maxRetryDelay * time.Duration(max(1, rank/ranksPerMaxRetryDelay))
	return min(minRetryDelay<<min(failures, maxRetryDoublings), longest)
}
