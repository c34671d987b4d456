package feed

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/routing"
)

// Settings of a Machine. Zero durations and counts stand for the defaults.
type Settings struct {
	// Self is the node itself.
	Self member.Member
	// Decode reads a document. A document that it refuses changes nothing.
	Decode func(data []byte) (*routing.Table, error)
	// Readers is the number of nodes near the store that read it.
	Readers int
	// LongPollTimeout is how long the store may hold a read open.
	LongPollTimeout time.Duration
	// MinReadInterval is the least time between two reads that brought a document, so that quick successions
	// are read at once.
	MinReadInterval time.Duration
	// SilenceTimeout is how long a node goes without news of a successful read before it reads by itself.
	SilenceTimeout time.Duration
	// StartDelay is how long a node that holds nothing waits for other nodes before it reads.
	StartDelay time.Duration
	// RequestDelay is how long a node that heard of a newer version waits for it to come down the tree.
	RequestDelay time.Duration
	// RequestRetryInterval is the time between two requests for a newer version.
	RequestRetryInterval time.Duration
}

// Defaults of Settings. A change has to be in force within 2.5 s also if its readers die with it: silence, the
// wait of the next node's rank and one read stay below.
const (
	DefaultReaders              = 2
	DefaultLongPollTimeout      = 700 * time.Millisecond
	DefaultMinReadInterval      = 250 * time.Millisecond
	DefaultSilenceTimeout       = 1100 * time.Millisecond
	DefaultStartDelay           = 100 * time.Millisecond
	DefaultRequestDelay         = 150 * time.Millisecond
	DefaultRequestRetryInterval = 400 * time.Millisecond
)

const (
	// silenceStep is added to Silence for each of the first singleRanks nodes of the region, so that few read at once.
	silenceStep = 100 * time.Millisecond
	singleRanks = 5
	// groupStep is added for each doubling of the rank beyond: a read over a crowded link and the spreading of what it
	// brought take less.
	groupStep = 300 * time.Millisecond
	// minStartSpan is the time over which starting nodes of a small fleet read the store; it meets in half a second.
	minStartSpan = 300 * time.Millisecond
	// nearStartSpan and farStartSpan grow it with each node of a greater one, near the store and far from it, where a read
	// of 100 kB takes 27 ms of a link of 30 Mbit/s and half of the nodes are.
	nearStartSpan = 4 * time.Millisecond
	farStartSpan  = 12 * time.Millisecond
	// farStartWait is how long nodes far from the store wait for those near it, which by then have read it and met them.
	// Fleets take the longer to meet the greater they are.
	farStartWait        = 700 * time.Millisecond
	farStartWaitPerNode = 4 * time.Millisecond
	// farAloneWait is how long such a node waits that knows nobody, and so can't tell how many start with it: the store
	// takes the addresses of 300 nodes in 1.2 s.
	farAloneWait = 2 * time.Second
	// nearStore is the time of a read that tells that the store stands in the node's region. Between two
	// regions one way takes 20 ms.
	nearStore = 30 * time.Millisecond
	// firstRetry is the pause after a failed read, doubled by each further one up to maxRetry.
	firstRetry        = 200 * time.Millisecond
	maxRetry          = time.Second
	maxRetryDoublings = 8
	// retryRanks is the number of better placed nodes for each of which the longest pause grows by maxRetry, so that
	// a region of 300 nodes reads some 20 times a second.
	retryRanks = 4
	// firstWantRetry is the time between two requests of a node that holds no routes. Callers fail until it does, and a
	// node that has none itself answers nothing.
	firstWantRetry = 150 * time.Millisecond
	// fanout is the number of nodes to which one node passes news on.
	fanout = 8
	// roots is the number of members of another failure domain that a reader tells.
	roots = 2
	// documentsPerSecond bounds the documents sent in answer to requests.
	documentsPerSecond = 32
	// maxOrigins bounds the readers whose rounds are remembered.
	maxOrigins = 64
)

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.LongPollTimeout, DefaultLongPollTimeout},
		{&s.MinReadInterval, DefaultMinReadInterval},
		{&s.SilenceTimeout, DefaultSilenceTimeout},
		{&s.StartDelay, DefaultStartDelay},
		{&s.RequestDelay, DefaultRequestDelay},
		{&s.RequestRetryInterval, DefaultRequestRetryInterval},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if s.Readers == 0 {
		s.Readers = DefaultReaders
	}
	return s
}
