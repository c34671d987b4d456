package admission

// Flow names calls that share a part of the capacity, those of one organisation. Calls without an organisation are one flow.
//
// The calls of a level are queued fairly (start-time fair queueing): each call has a tag, the number of the round in which
// it gets a slot. A flow has one call in each round, so that a flow with many calls delays the others by one call in each
// round, however many it has. Within a round, and within a flow, calls are ordered by priority and arrival. With a single
// flow that is the order of the whole level. Priority does not go before the round within a level: a flow with many urgent
// calls would take the share of the others.
//
// It answers the load of one organisation out of many that sends several times its usual number of requests while the
// servers are overloaded.
type Flow string

// credit is the number of rounds by which a flow may make up for rounds without a call. Without credit, organisations that
// ask for 0.8 of their fair share got 0.83 of that in simulations, with 4 rounds 0.94, and with 32 not more.
const credit = 4

// level is the state of the calls of one level of Priority while some are queued.
type level struct {
	floor  uint64         // tag of the next call of a flow that has had none for some rounds
	flows  map[Flow]*flow // that have queued calls or had a call in the last rounds
	active int            // number of flows that have queued calls
}

// flow is the state of a flow in a level.
type flow struct {
	next    uint64 // least tag of its next call
	queued  int
	scan    uint64 // number of the last scan that passed one of its calls
	counted int    // calls passed by that scan
}

// start returns the tag of the first queued call of a flow.
func (l *level) start(f *flow) uint64 { return max(l.floor, f.next) }

// shared reports whether calls of several flows are queued.
func (l *level) shared() bool { return l.active > 1 }

// sharedWith reports whether calls of several flows are queued once a call of the given one is.
func (l *level) sharedWith(f *flow) bool { return l.shared() || l.active == 1 && f.queued == 0 }

// add counts a queued call of a flow.
func (l *level) add(f *flow) {
	if f.queued == 0 {
		l.active++
	}
	f.queued++
}

// remove counts that a call of a flow has left the queue.
func (l *level) remove(f *flow) {
	f.queued--
	if f.queued == 0 {
		l.active--
	}
}

// serve records that the first call of a flow gets a slot. Flows without queued calls are forgotten as soon as they would
// get the same tag without being known.
func (l *level) serve(f *flow) {
	tag := l.start(f)
	if tag > l.floor+credit {
		l.floor = tag - credit
		for name, other := range l.flows {
			if other.queued == 0 && other.next <= l.floor {
				delete(l.flows, name)
			}
		}
	}
	f.next = tag + 1
}

// flowOf returns the state of a flow of the level of a priority.
func (q *Queue) flowOf(priority Priority, name Flow) (*level, *flow) {
	l := q.levels[priority.level()]
	if l == nil {
		l = &level{flows: make(map[Flow]*flow)}
		q.levels[priority.level()] = l
	}
	f := l.flows[name]
	if f == nil {
		f = &flow{}
		l.flows[name] = f
	}
	return l, f
}

// place is where a call is in the order in which calls get slots.
type place struct {
	index int    // in Queue.calls
	tag   uint64 // among the calls of its level
}

// before reports whether a call gets its slot before another one of the same level.
func (p place) before(other place) bool {
	if p.tag != other.tag {
		return p.tag < other.tag
	}
	return p.index < other.index
}

// scan calls visit with the places of the queued calls of a level. It stops when visit returns false.
func (q *Queue) scan(wanted uint8, visit func(p place) bool) {
	l := q.levels[wanted]
	if l == nil {
		return
	}
	q.scans++
	for i, c := range q.calls {
		if c.priority.level() != wanted {
			continue
		}
		if c.flow.scan != q.scans {
			c.flow.scan, c.flow.counted = q.scans, 0
		}
		p := place{index: i, tag: l.start(c.flow) + uint64(c.flow.counted)}
		c.flow.counted++
		if !visit(p) {
			return
		}
	}
}

// newPlace returns the place of a new call at an index of the queue, and the number of calls that get slots before it.
func (q *Queue) newPlace(l *level, f *flow, priority Priority, index int) (p place, ahead int) {
	p = place{index: index, tag: l.start(f)}
	if !l.sharedWith(f) {
		return p, index
	}
	wanted := priority.level()
	for _, c := range q.calls[:index] {
		if c.flow == f {
			p.tag++
		}
		if c.priority.level() > wanted {
			ahead++
		}
	}
	q.scan(wanted, func(other place) bool {
		if q.calls[other.index].flow == f && other.index < index || q.calls[other.index].flow != f && other.before(p) {
			ahead++
		}
		return true
	})
	return p, ahead
}

// first returns the index of the call that gets the next slot. The queue must not be empty.
func (q *Queue) first() int {
	highest := q.calls[0].priority.level()
	if !q.levels[highest].shared() {
		return 0
	}
	best := place{index: len(q.calls), tag: ^uint64(0)}
	q.scan(highest, func(p place) bool {
		if p.before(best) {
			best = p
		}
		return p.tag > q.levels[highest].floor // nothing precedes the first call with this tag
	})
	return best.index
}

// last returns the place of the call that gets a slot after all others. The queue must not be empty.
func (q *Queue) last() place {
	var last place
	q.scan(q.calls[len(q.calls)-1].priority.level(), func(p place) bool {
		if !p.before(last) {
			last = p
		}
		return true
	})
	return last
}
