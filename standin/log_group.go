package standin

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
)

// minMemberTTL is the least time after which a silent member of a group loses its partitions.
const minMemberTTL = time.Second

var (
	errMemberTTL   = errors.New("ttl_time is missing or too short")
	errGroupMember = errors.New("group or member is missing")
)

// groupPartition is one partition of a topic. The stand-in's topics have partition 0 only.
type groupPartition struct {
	topic     string
	owner     string // member that holds it, or empty
	ownedSinceGeneration     uint64 // generation in which the owner got it
	committedOffset uint64
}

type groupMember struct {
	name       string
	topics     []string
	ttl        time.Duration
	lastJoinAt      time.Time
	knownGeneration uint64 // the last one that it has named
}

// logGroup shares topics among its members. The mutex of the Log guards it.
type logGroup struct {
	generation uint64
	members    []*groupMember
	partitions     []*groupPartition
}

// groupRequest is the body of a call on a group.
type groupRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        string   `json:"ttl_time"`
	Generation uint64   `json:"generation"`
	Topic      string   `json:"topic"`
	Part       int      `json:"part"`
	Offset     uint64   `json:"offset"`
}

type joinResponse struct {
	Generation uint64  `json:"generation"`
	Parts      [][]any `json:"parts"` // rows of topic, partition, committed offset
}

type ownersResponse struct {
	Owners [][]any `json:"owners"` // rows of topic, partition, member, committed offset
}

func (l *Log) routeGroups() {
	l.mux.HandleFunc("POST /v1/log-join", l.serveGroup(l.join))
	l.mux.HandleFunc("POST /v1/log-leave", l.serveGroup(l.leave))
	l.mux.HandleFunc("POST /v1/log-commit", l.serveGroup(l.commit))
	l.mux.HandleFunc("GET /v1/log-owners", l.serveOwners)
}

// serveGroup returns the handler of a call, which do carries out while it holds mu.
func (l *Log) serveGroup(do func(g *logGroup, call groupRequest, now time.Time) (status int, body any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call groupRequest
		err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&call)
		if err == nil && (call.Group == "" || call.Member == "") {
			err = errGroupMember
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		if !l.applyFaults(w, r) {
			return
		}
		now := l.timer.Now()
		l.mu.Lock()
		g := l.groups[call.Group]
		if g == nil {
			g = &logGroup{}
			l.groups[call.Group] = g
		}
		g.removeExpired(now)
		status, body := do(g, call, now)
		l.mu.Unlock()
		writeStatusJSON(w, status, body)
	}
}

func (*Log) join(g *logGroup, call groupRequest, now time.Time) (int, any) {
	ttl, err := time.ParseDuration(call.TTL)
	if err != nil || ttl < minMemberTTL {
		return http.StatusBadRequest, errorResponse{Reason: errMemberTTL.Error()}
	}
	m := g.member(call.Member)
	known := m != nil
	if !known {
		m = &groupMember{name: call.Member}
		g.members = append(g.members, m)
	}
	changed := !known || !slices.Equal(m.topics, call.Topics)
	m.topics, m.ttl, m.lastJoinAt, m.knownGeneration = slices.Clone(call.Topics), ttl, now, call.Generation
	if changed {
		g.startGeneration()
	}
	g.assign()
	return http.StatusOK, joinResponse{Generation: g.generation, Parts: g.partitionRows(call.Member)}
}

func (*Log) leave(g *logGroup, call groupRequest, _ time.Time) (int, any) {
	g.remove(func(m *groupMember) bool { return m.name == call.Member })
	return http.StatusOK, struct{}{}
}

func (*Log) commit(g *logGroup, call groupRequest, _ time.Time) (int, any) {
	s := g.partition(call.Topic)
	if s == nil || call.Part != 0 || s.owner != call.Member || call.Generation < s.ownedSinceGeneration {
		return http.StatusConflict, errorResponse{Reason: "not held"}
	}
	s.committedOffset = call.Offset
	return http.StatusOK, struct{}{}
}

func (l *Log) serveOwners(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	owners := ownersResponse{Owners: [][]any{}}
	l.mu.Lock()
	if g := l.groups[r.FormValue("group")]; g != nil {
		g.removeExpired(l.timer.Now())
		for _, s := range g.partitions {
			owners.Owners = append(owners.Owners, []any{s.topic, 0, s.owner, s.committedOffset})
		}
	}
	l.mu.Unlock()
	writeStatusJSON(w, http.StatusOK, owners)
}

// Reassign takes all partitions of a group from their owners, as the platform does at times.
func (l *Log) Reassign(group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.groups[group]; g != nil {
		for _, s := range g.partitions {
			s.owner = ""
		}
		slices.Reverse(g.members) // others come first now
		g.startGeneration()
		g.assign()
	}
}

func (g *logGroup) member(name string) *groupMember {
	at := slices.IndexFunc(g.members, func(m *groupMember) bool { return m.name == name })
	if at < 0 {
		return nil
	}
	return g.members[at]
}

func (g *logGroup) partition(topic string) *groupPartition {
	at := slices.IndexFunc(g.partitions, func(s *groupPartition) bool { return s.topic == topic })
	if at < 0 {
		return nil
	}
	return g.partitions[at]
}

func (g *logGroup) removeExpired(now time.Time) {
	g.remove(func(m *groupMember) bool { return now.Sub(m.lastJoinAt) > m.ttl })
}

// remove drops members, whose partitions become free at once.
func (g *logGroup) remove(gone func(*groupMember) bool) {
	before := len(g.members)
	g.members = slices.DeleteFunc(g.members, gone)
	if len(g.members) == before {
		return
	}
	for _, s := range g.partitions {
		if s.owner != "" && g.member(s.owner) == nil {
			s.owner = ""
		}
	}
	g.startGeneration()
	g.assign()
}

// startGeneration begins a generation and lists the topics of its members.
func (g *logGroup) startGeneration() {
	g.generation++
	for _, m := range g.members {
		for _, topic := range m.topics {
			if g.partition(topic) == nil {
				g.partitions = append(g.partitions, &groupPartition{topic: topic})
			}
		}
	}
	slices.SortFunc(g.partitions, func(a, b *groupPartition) int { return cmp.Compare(a.topic, b.topic) })
}

// assign gives partitions to members, evenly. One that moves stays with its owner until that owner names this
// generation.
func (g *logGroup) assign() {
	for i, s := range g.partitions {
		to := g.targetOwner(i, s.topic)
		if to == s.owner {
			continue
		}
		if owner := g.member(s.owner); owner != nil && owner.knownGeneration < g.generation {
			continue
		}
		s.owner, s.ownedSinceGeneration = to, g.generation
	}
}

// targetOwner returns the member that should hold the partition at a place in the order, or none.
func (g *logGroup) targetOwner(place int, topic string) string {
	var takers []string
	for _, m := range g.members {
		if slices.Contains(m.topics, topic) {
			takers = append(takers, m.name)
		}
	}
	if len(takers) == 0 {
		return ""
	}
	return takers[place%len(takers)]
}

// partitionRows lists what a member holds. A partition that is to move is no longer listed.
func (g *logGroup) partitionRows(name string) [][]any {
	parts := [][]any{}
	for i, s := range g.partitions {
		if s.owner == name && g.targetOwner(i, s.topic) == name {
			parts = append(parts, []any{s.topic, 0, s.committedOffset})
		}
	}
	return parts
}
