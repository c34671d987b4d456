package wire

import (
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// claimsWire holds claims about members. Names of regions, failure domains and services are written once per frame
// and referred to by index, because most claims share them.
type claimsWire struct {
	_     struct{} `cbor:",toarray"`
	Names []string
	Rows  []claimRow
}

type claimRow struct {
	_            struct{} `cbor:",toarray"`
	Peer         []byte
	Incarnation  uint64
	Revision     uint64
	Region       uint16
	Domain       uint16
	Health       uint8
	Service      uint32 // index of the service; in the upper half the index of the version + 1, or 0 without a version
	State        uint8
	Slots        uint32
	NewestSchema uint16
}

func toClaims(members []member.Member) (*claimsWire, error) {
	if len(members) == 0 {
		return nil, nil
	}
	w := &claimsWire{Rows: make([]claimRow, 0, len(members))}
	for _, m := range members {
		row, err := w.row(m)
		if err != nil {
			return nil, err
		}
		w.Rows = append(w.Rows, row)
	}
	return w, nil
}

func (w *claimsWire) row(m member.Member) (claimRow, error) {
	peer, err := m.Key().Peer().MarshalBinary()
	if err != nil {
		return claimRow{}, err
	}
	region, domain, service, version := string(m.Place().Region()), string(m.Place().FailureDomain()), m.Server().Service(), m.Server().Version()
	if max(len(region), len(domain), len(service), len(version)) > message.MaxNameBytes {
		return claimRow{}, errFieldRange
	}
	return claimRow{
		Peer: peer, Incarnation: uint64(m.Key().Incarnation()), Revision: m.Revision(),
		Region: w.index(region), Domain: w.index(domain), Health: uint8(m.Health()),
		Service: w.serviceIndex(service, version), State: uint8(m.Server().State()),
		Slots: uint32(m.Server().Slots()), NewestSchema: uint16(m.NewestSchema()),
	}, nil
}

// versionShift is the position of the version in claimRow.Service.
const versionShift = 16

func (w *claimsWire) serviceIndex(service, version string) uint32 {
	index := uint32(w.index(service))
	if version != "" {
		index |= (uint32(w.index(version)) + 1) << versionShift
	}
	return index
}

func (w *claimsWire) index(name string) uint16 {
	for i, known := range w.Names {
		if known == name {
			return uint16(i)
		}
	}
	w.Names = append(w.Names, name)
	return uint16(len(w.Names) - 1)
}

func fromClaims(w *claimsWire) ([]member.Member, error) {
	if w == nil {
		return nil, nil
	}
	for _, name := range w.Names {
		if len(name) > message.MaxNameBytes {
			return nil, errFieldRange
		}
	}
	members := make([]member.Member, 0, len(w.Rows))
	for _, row := range w.Rows {
		m, err := w.member(row)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

func (w *claimsWire) member(row claimRow) (member.Member, error) {
	peer, err := parsePeer(row.Peer)
	if err != nil {
		return member.Member{}, err
	}
	serviceIndex, versionIndex := row.Service&(1<<versionShift-1), row.Service>>versionShift
	if int(max(uint32(row.Region), uint32(row.Domain), serviceIndex)) >= len(w.Names) || int(versionIndex) > len(w.Names) {
		return member.Member{}, errFieldRange
	}
	health, state := member.Health(row.Health), member.ServerState(row.State)
	if health < member.HealthAlive || health > member.HealthLeft || state > member.ServerDraining {
		return member.Member{}, errFieldRange
	}
	place := member.NewPlace(member.Region(w.Names[row.Region]), member.FailureDomain(w.Names[row.Domain]))
	key := member.NewKey(peer, member.Incarnation(row.Incarnation))
	server := member.NewServer(w.Names[serviceIndex], state, int(row.Slots))
	if versionIndex > 0 {
		server = server.WithVersion(w.Names[versionIndex-1])
	}
	return member.New(key, place, record.Schema(row.NewestSchema)).
		WithRevision(row.Revision).WithHealth(health).WithServer(server), nil
}
