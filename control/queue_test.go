package control

import "time"

// event is an event of a network, due at a time. Events due at the same time run in order of seq.
type event struct {
	dueAt time.Time
	seq   uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].dueAt.Equal(q[j].dueAt) {
		return q[i].seq < q[j].seq
	}
	return q[i].dueAt.Before(q[j].dueAt)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
