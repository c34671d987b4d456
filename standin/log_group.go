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

// minMemberTTL is the shortest time-to-live that a member may name.
const minMemberTTL = time.Second

var (
	errMemberTTL   = errors.New("ttl_time is missing or too short")
	errGroupMember = errors.New("group or member is missing")
)

// groupPartition is the assignment of a topic's partition. The stand-in's topics have partition 0 only.
type groupPartition struct {
	topic                string
	owner                string // name of the member that owns the partition, empty if none
	ownedSinceGeneration uint64 // generation in which the owner was assigned
	committedOffset      uint64
}

type groupMember struct {
	name            string
	topics          []string
	ttl             time.Duration
	lastJoinAt      time.Time
	knownGeneration uint64 // generation named in the last join
}

// logGroup assigns topics to its members. It is guarded by the mutex of the Log.
type logGroup struct {
	generation uint64
	members    []*groupMember
	partitions []*groupPartition
}

// groupRequest is the body of a join, leave or commit request.
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

// serveGroup returns a handler that decodes a group request and calls handle with mu held.
func (l *Log) serveGroup(handle func(g *logGroup, req groupRequest, now time.Time) (status int, body any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req groupRequest
		err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&req)
		if err == nil && (req.Group == "" || req.Member == "") {
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
		g := l.groups[req.Group]
		if g == nil {
			g = &logGroup{}
			l.groups[req.Group] = g
		}
		g.removeExpired(now)
		status, body := handle(g, req, now)
		l.mu.Unlock()
		writeStatusJSON(w, status, body)
	}
}

func (*Log) join(g *logGroup, req groupRequest, now time.Time) (int, any) {
	ttl, err := time.ParseDuration(req.TTL)
	if err != nil || ttl < minMemberTTL {
		return http.StatusBadRequest, errorResponse{Reason: errMemberTTL.Error()}
	}
	m := g.member(req.Member)
	known := m != nil
	if !known {
		m = &groupMember{name: req.Member}
		g.members = append(g.members, m)
	}
	changed := !known || !slices.Equal(m.topics, req.Topics)
	m.topics, m.ttl, m.lastJoinAt, m.knownGeneration = slices.Clone(req.Topics), ttl, now, req.Generation
	if changed {
		g.startGeneration()
	}
	g.assign()
	return http.StatusOK, joinResponse{Generation: g.generation, Parts: g.partitionRows(req.Member)}
}

func (*Log) leave(g *logGroup, req groupRequest, _ time.Time) (int, any) {
	g.remove(func(m *groupMember) bool { return m.name == req.Member })
	return http.StatusOK, struct{}{}
}

func (*Log) commit(g *logGroup, req groupRequest, _ time.Time) (int, any) {
	p := g.partition(req.Topic)
	if p == nil || req.Part != 0 || p.owner != req.Member || req.Generation < p.ownedSinceGeneration {
		return http.StatusConflict, errorResponse{Reason: "not held"}
	}
	p.committedOffset = req.Offset
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
		for _, p := range g.partitions {
			owners.Owners = append(owners.Owners, []any{p.topic, 0, p.owner, p.committedOffset})
		}
	}
	l.mu.Unlock()
	writeStatusJSON(w, http.StatusOK, owners)
}

// Reassign revokes all partitions of a group and assigns them anew, as the platform's log service may at any time.
func (l *Log) Reassign(group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.groups[group]; g != nil {
		for _, p := range g.partitions {
			p.owner = ""
		}
		slices.Reverse(g.members) // assigns the partitions to other members where possible
		g.startGeneration()
		g.assign()
	}
}

func (g *logGroup) member(name string) *groupMember {
	i := slices.IndexFunc(g.members, func(m *groupMember) bool { return m.name == name })
	if i < 0 {
		return nil
	}
	return g.members[i]
}

func (g *logGroup) partition(topic string) *groupPartition {
	i := slices.IndexFunc(g.partitions, func(p *groupPartition) bool { return p.topic == topic })
	if i < 0 {
		return nil
	}
	return g.partitions[i]
}

func (g *logGroup) removeExpired(now time.Time) {
	g.remove(func(m *groupMember) bool { return now.Sub(m.lastJoinAt) > m.ttl })
}

// remove removes the members that match and reassigns their partitions.
func (g *logGroup) remove(match func(*groupMember) bool) {
	before := len(g.members)
	g.members = slices.DeleteFunc(g.members, match)
	if len(g.members) == before {
		return
	}
	for _, p := range g.partitions {
		if p.owner != "" && g.member(p.owner) == nil {
			p.owner = ""
		}
	}
	g.startGeneration()
	g.assign()
}

// startGeneration increments the generation and adds the partitions of topics that members have newly named.
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

// assign distributes the partitions evenly over the members. A partition moves only once its owner has joined with
// the current generation, so that the owner has learned of the move.
func (g *logGroup) assign() {
	for i, p := range g.partitions {
		target := g.targetOwner(i, p.topic)
		if target == p.owner {
			continue
		}
		if owner := g.member(p.owner); owner != nil && owner.knownGeneration < g.generation {
			continue
		}
		p.owner, p.ownedSinceGeneration = target, g.generation
	}
}

// targetOwner returns the name of the member that is to own the partition at an index, empty if there is none.
func (g *logGroup) targetOwner(index int, topic string) string {
	var candidates []string
	for _, m := range g.members {
		if slices.Contains(m.topics, topic) {
			candidates = append(candidates, m.name)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[index%len(candidates)]
}

// partitionRows lists the partitions of a member, except those that are to move to another member.
func (g *logGroup) partitionRows(name string) [][]any {
	parts := [][]any{}
	for i, p := range g.partitions {
		if p.owner == name && g.targetOwner(i, p.topic) == name {
			parts = append(parts, []any{p.topic, 0, p.committedOffset})
		}
	}
	return parts
}
