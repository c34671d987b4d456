package feed

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/routing"
)

// Settings configures a Machine. Zero durations and counts mean the defaults.
type Settings struct {
	// Self is the node itself.
	Self member.Member
	// Decode decodes a document. A document for which it returns an error is not applied.
	Decode func(data []byte) (*routing.Table, error)
	// LinkBytesPerSecond is what the link of the node's VM carries; 0 for no limit.
	LinkBytesPerSecond float64
	// FirstStart states that the whole fleet starts for the first time, so that no calls arrive for some seconds.
	FirstStart bool
	// Readers is the number of nodes in the store's region that read it regularly.
	Readers int
	// LongPollTimeout is how long the store may hold a read open while there is no new document.
	LongPollTimeout time.Duration
	// MinReadInterval is the shortest time between a read that returned a document and the next one, so that one read
	// covers several changes in quick succession. It also applies between reads while the node has no document.
	MinReadInterval time.Duration
	// SilenceTimeout is how long a node goes at least without notice of a successful read before it reads the store
	// itself. takeoverDelay adds to it by the node's rank.
	SilenceTimeout time.Duration
	// StartDelay is how long a node without a document waits at least for one from other nodes before it reads the
	// store. startDelay adds to it by the size of the fleet.
	StartDelay time.Duration
	// RequestDelay is how long a node that knows of a newer version waits for the tree before it requests it.
	RequestDelay time.Duration
	// RequestRetryInterval is the time between two requests for a newer version.
	RequestRetryInterval time.Duration
}

// Defaults of Settings. A change must be applied within 2.5 s even if the readers fail when it is published: the sum of
// the silence timeout, the takeover delay of the next node and one read stays below that.
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
	// takeoverStep is added to SilenceTimeout for each rank up to singleTakeoverRanks, so that few nodes read at once.
	takeoverStep        = 100 * time.Millisecond
	singleTakeoverRanks = 5
	// takeoverDoublingStep is added for each doubling of the rank beyond: reading a document over a congested link and
	// distributing it take less.
	takeoverDoublingStep = 300 * time.Millisecond
	// minStartSpread is the time over which the reads of a starting small fleet are spread; the nodes of such a fleet
	// discover each other within half a second.
	minStartSpread = 300 * time.Millisecond
	// firstStartSpread is the least spread while no calls are expected yet and the size of the fleet is not known either:
	// at 300 nodes, a spread of 0.3 s costs over 400 reads of the store.
	firstStartSpread = 2 * time.Second
	// nearStartSpreadPerNode and farStartSpreadPerNode are the spread for each node of a larger fleet, for nodes inside
	// and outside the store's region. Half of the nodes are outside, where one read of 100 kB occupies a link of
	// 30 Mbit/s for 27 ms.
	nearStartSpreadPerNode = 4 * time.Millisecond
	farStartSpreadPerNode  = 12 * time.Millisecond
	// earlyNearReaders and earlyFarReaders are the mean numbers of nodes of a whole fleet that restarts, inside and outside
	// the store's region, that read the document at once. They do so once the store has told them how many nodes there are.
	earlyNearReaders = 16
	earlyFarReaders  = 2
	// earlyFastReaders replaces earlyNearReaders for nodes with a fast link: they hold the document first and can send it to
	// many others.
	earlyFastReaders = 64
	// slowReadDelay is how much longer nodes with a slow link wait, for a node with a fast one to announce the document: reading
	// it from the store occupies a link of 10 Mbit/s for 0.3 s.
	slowReadDelay = 60 * time.Millisecond
	// fetchPatience is how long a starting node that has requested the document from a holder does not read the store.
	fetchPatience = 300 * time.Millisecond
	// fastLink is the rate in bytes a second from which a link is fast. It carries a compressed document of 25 kB, with 2,300
	// routes, to 16 nodes within 100 ms.
	fastLink = 4e6
	// earlyFetchers is the mean number of nodes of a whole fleet that restarts that request the document at once from a holder
	// that may be in another region. The others wait crossRegionFetchDelay for a holder in their own region.
	earlyFetchers         = 128
	crossRegionFetchDelay = 150 * time.Millisecond
	// startAnnouncements is the number of times that a holder announces its document to a node while the fleet restarts, at
	// successive ticks, as some processes start a moment later than others.
	startAnnouncements = 3
	// earlyRequesters is the mean number of nodes of a whole fleet that restarts that request the document from any node.
	// The others request it within their region.
	earlyRequesters = 16
	// maxParkedRequests bounds the requests that a node without a document answers once it has one.
	maxParkedRequests = 8
	// farStartDelay is how long nodes outside the store's region wait for those inside, which by then have read the
	// store and discovered them. farStartDelayPerNode extends it, as discovery takes longer in larger fleets.
	farStartDelay        = 700 * time.Millisecond
	farStartDelayPerNode = 4 * time.Millisecond
	// farStartDelayWithoutPeers is the least delay of such a node while it has no known peers and so can't estimate the
	// size of the fleet: the store takes 1.2 s to record the addresses of 300 nodes.
	farStartDelayWithoutPeers = 2 * time.Second
	// nearStoreLatency is the latency of a read below which the store is taken to be in the node's region. One way between
	// two regions takes 20 ms.
	nearStoreLatency = 30 * time.Millisecond
	// minRetryDelay is the mean delay after a failed read. It doubles with each further one up to maxRetryDelay.
	minRetryDelay     = 200 * time.Millisecond
	maxRetryDelay     = time.Second
	maxRetryDoublings = 8
	// ranksPerMaxRetryDelay is the number of ranks after which the longest delay grows by another maxRetryDelay, so that
	// a region of 300 nodes reads about 20 times a second.
	ranksPerMaxRetryDelay = 4
	// firstRequestRetryInterval is the time between two requests of a node without a document. It is short because calls
	// fail until the node has routes, and the peer may have no document either.
	firstRequestRetryInterval = 100 * time.Millisecond
	// fanout is the number of nodes to which one node forwards a round.
	fanout = 8
	// rootsPerDomain is the number of members of each failure domain to which a reader sends a round.
	rootsPerDomain = 2
	// maxWaitForPeers is how long after its start a node waits for a newer document than that of the store.
	maxWaitForPeers = 1500 * time.Millisecond
	// documentsPerSecond and documentBurst limit the documents sent in answer to requests over a link without a limit.
	documentsPerSecond = 32
	documentBurst      = 128
	// answerLinkTime is the time of the link that a burst of documents in answer to requests may take, and answerLinkShare the
	// share of the link that they may take on average.
	answerLinkTime  = 100 * time.Millisecond
	answerLinkShare = 0.5
	// maxHolders bounds the nodes that are remembered as holders of a newer document.
	maxHolders = 8
	// maxTrackedReaders limits the number of readers whose last round is remembered.
	maxTrackedReaders = 64
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
