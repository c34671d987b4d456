package feed

import "time"

// answerLimit is a token bucket of the documents that a node sends in answer to requests. On a link of limited rate, it counts
// bytes, so that the documents leave room for other traffic and a node that does not get one soon asks another.
type answerLimit struct {
	bytesPerSecond float64 // of the link; 0 for no limit
	tokens         float64 // bytes, or documents without a limit
}

// newAnswerLimit returns a full bucket for a link that carries linkBytesPerSecond, 0 for no limit.
func newAnswerLimit(linkBytesPerSecond float64) answerLimit {
	l := answerLimit{bytesPerSecond: linkBytesPerSecond}
	l.tokens = l.burst()
	return l
}

func (l *answerLimit) burst() float64 {
	if l.bytesPerSecond == 0 {
		return documentBurst
	}
	return l.bytesPerSecond * answerLinkTime.Seconds()
}

func (l *answerLimit) refill(elapsed time.Duration) {
	rate := l.bytesPerSecond * answerLinkShare
	if l.bytesPerSecond == 0 {
		rate = documentsPerSecond
	}
	l.tokens = min(l.tokens+elapsed.Seconds()*rate, l.burst())
}

// take reports whether a document of a size in bytes may be sent, and if so counts it. One that exceeds the burst is sent when
// the bucket is full.
func (l *answerLimit) take(size int) bool {
	needed := 1.0
	if l.bytesPerSecond > 0 {
		needed = min(float64(size), l.burst())
	}
	if l.tokens < needed {
		return false
	}
	if l.bytesPerSecond > 0 {
		needed = float64(size)
	}
	l.tokens -= needed
	return true
}
