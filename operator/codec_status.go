package operator

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// EncodeStatus encodes a status as JSON.
func EncodeStatus(s message.Status) ([]byte, error) {
	w := wireStatus{
		Stage: string(s.Stage()), Self: toWireMember(s.Self()), Digest: toWireDigest(s.Digest()),
		Level: uint16(s.Level()), LogSeenAt: s.LogSeenAt(), MissingLevel: uint16(s.MissingLevel()),
		Roles: append([]string{}, s.Roles()...), Members: []wireMember{}, Census: []wireCensus{},
		Unconfirmed: s.Unconfirmed(), Conflicts: s.Conflicts(),
	}
	if s.Gap().Exists() {
		w.Gap = &wireGap{Start: uint64(s.Gap().Start()), End: uint64(s.Gap().End())}
	}
	if s.LogErr() != nil {
		w.LogErr = s.LogErr().Error()
	}
	for _, m := range s.Members() {
		w.Members = append(w.Members, toWireMember(m))
	}
	for _, c := range s.Census() {
		w.Census = append(w.Census, toWireCensus(c))
	}
	return json.Marshal(w)
}

// DecodeStatus decodes a status encoded by EncodeStatus. Of the log's error, only the text is kept.
func DecodeStatus(data []byte) (message.Status, error) {
	var w wireStatus
	if err := json.Unmarshal(data, &w); err != nil {
		return message.Status{}, err
	}
	self, err := fromWireMember(w.Self)
	if err != nil {
		return message.Status{}, err
	}
	f := message.StatusFields{
		Stage: message.Stage(w.Stage), Self: self, Level: record.Schema(w.Level),
		Digest: message.NewDigest(record.Version(w.Digest.Version), record.Offset(w.Digest.Head), w.Digest.Chain),
		LogErr: errorFromText(w.LogErr), LogSeenAt: w.LogSeenAt, Roles: w.Roles, MissingLevel: record.Schema(w.MissingLevel),
		Unconfirmed: w.Unconfirmed, Conflicts: w.Conflicts,
	}
	if w.Gap != nil {
		f.Gap = message.NewGap(record.Offset(w.Gap.Start), record.Offset(w.Gap.End))
	}
	for _, wm := range w.Members {
		m, err := fromWireMember(wm)
		if err != nil {
			return message.Status{}, err
		}
		f.Members = append(f.Members, m)
	}
	for _, wc := range w.Census {
		c, err := fromWireCensus(wc)
		if err != nil {
			return message.Status{}, err
		}
		f.Census = append(f.Census, c)
	}
	return message.NewStatus(f), nil
}

func toWireKey(k member.Key) wireKey {
	return wireKey{Peer: k.Peer().String(), Incarnation: uint64(k.Incarnation())}
}

func fromWireKey(w wireKey) (member.Key, error) {
	peer, err := netip.ParseAddrPort(w.Peer)
	if err != nil {
		return member.Key{}, err
	}
	return member.NewKey(peer, member.Incarnation(w.Incarnation)), nil
}

func toWireDigest(d message.Digest) wireDigest {
	return wireDigest{Version: uint64(d.Version()), Head: uint64(d.Head()), Chain: d.Chain()}
}

func toWireMember(m member.Member) wireMember {
	w := wireMember{
		wireKey: toWireKey(m.Key()), Revision: m.Revision(), Health: m.Health().String(),
		Region: string(m.Place().Region()), FailureDomain: string(m.Place().FailureDomain()), NewestSchema: uint16(m.NewestSchema()),
	}
	if s := m.Server(); s != (member.Server{}) {
		w.Server = &wireServer{Service: s.Service(), State: s.State().String(), Slots: s.Slots()}
	}
	return w
}

func fromWireMember(w wireMember) (member.Member, error) {
	key, err := fromWireKey(w.wireKey)
	if err != nil {
		return member.Member{}, err
	}
	health, ok := parseHealth(w.Health)
	if !ok {
		return member.Member{}, fmt.Errorf("member %s: unknown health %q", w.Peer, w.Health)
	}
	place := member.NewPlace(member.Region(w.Region), member.FailureDomain(w.FailureDomain))
	m := member.New(key, place, record.Schema(w.NewestSchema)).WithRevision(w.Revision).WithHealth(health)
	if w.Server == nil {
		return m, nil
	}
	state, ok := parseServerState(w.Server.State)
	if !ok {
		return member.Member{}, fmt.Errorf("member %s: unknown server state %q", w.Peer, w.Server.State)
	}
	return m.WithServer(member.NewServer(w.Server.Service, state, w.Server.Slots)), nil
}

func parseHealth(name string) (member.Health, bool) {
	for h := member.HealthAlive; h <= member.HealthLeft; h++ {
		if h.String() == name {
			return h, true
		}
	}
	return 0, name == member.Health(0).String()
}

func parseServerState(name string) (member.ServerState, bool) {
	for s := member.ServerNone; s <= member.ServerDraining; s++ {
		if s.String() == name {
			return s, true
		}
	}
	return 0, false
}

func toWireCensus(c message.Census) wireCensus {
	w := wireCensus{Region: string(c.Region()), TakenAt: c.TakenAt(), Counts: []wireCount{}}
	for _, count := range c.Counts() {
		w.Counts = append(w.Counts, wireCount{Version: uint64(count.Version()), Nodes: count.Nodes()})
	}
	for _, l := range c.Laggards() {
		w.Laggards = append(w.Laggards, wireLaggard{wireKey: toWireKey(l.Node()), Version: uint64(l.Version())})
	}
	return w
}

func fromWireCensus(w wireCensus) (message.Census, error) {
	var counts []message.VersionCount
	for _, wc := range w.Counts {
		counts = append(counts, message.NewVersionCount(record.Version(wc.Version), wc.Nodes))
	}
	var laggards []message.Laggard
	for _, wl := range w.Laggards {
		key, err := fromWireKey(wl.wireKey)
		if err != nil {
			return message.Census{}, err
		}
		laggards = append(laggards, message.NewLaggard(key, record.Version(wl.Version)))
	}
	return message.NewCensus(member.Region(w.Region), counts, laggards, w.TakenAt), nil
}
