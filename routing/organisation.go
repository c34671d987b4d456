package routing

import (
	"crypto/sha256"
	"errors"
)

// Errors of NewOrganisations.
var (
	ErrSharedKey         = errors.New("an API key belongs to two organisations")
	ErrEmptyKey          = errors.New("an API key is empty")
	ErrOrganisationName  = errors.New("an organisation has no name, or that of another one")
	ErrOrganisationQuota = errors.New("the rate or burst of an organisation is negative")
)

// OrganisationFields are the fields of a Organisation.
type OrganisationFields struct {
	Name          string
	Priority      int
	RatePerSecond float64
	Burst         float64
}

// Organisation is an organisation whose requests are counted together and identified by its API keys.
type Organisation struct {
	fields OrganisationFields
}

// NewOrganisation returns an organisation.
func NewOrganisation(fields OrganisationFields) Organisation { return Organisation{fields: fields} }

// Name returns the name, which backend servers receive.
func (t Organisation) Name() string { return t.fields.Name }

// Priority returns the priority of the organisation's requests, which precedes that of routes. 0 is the most urgent.
func (t Organisation) Priority() int { return t.fields.Priority }

// RatePerSecond returns the number of requests per second that all nodes together admit in the long run, 0 for no limit.
func (t Organisation) RatePerSecond() float64 { return t.fields.RatePerSecond }

// Burst returns the number of requests that all nodes together admit at once in addition to the rate.
func (t Organisation) Burst() float64 { return t.fields.Burst }

// Limited reports whether the organisation has a quota.
func (t Organisation) Limited() bool { return t.fields.RatePerSecond > 0 }

// keySum is the hash under which an API key is stored. Keys are hashed before they are compared, so that the time of a
// lookup does not depend on how much of a key a caller has guessed.
type keySum [sha256.Size]byte

// Organisations holds the organisations of a table by their API keys.
type Organisations struct {
	byName map[string]Organisation
	byKey  map[keySum]*Organisation // pointers, as an organisation has many keys
}

// NewOrganisations returns an empty set of organisations.
func NewOrganisations() *Organisations {
	return &Organisations{byName: make(map[string]Organisation), byKey: make(map[keySum]*Organisation)}
}

// Add adds an organisation with its API keys. The error is ErrSharedKey, ErrEmptyKey, ErrOrganisationName or ErrOrganisationQuota and names no
// key.
func (s *Organisations) Add(organisation Organisation, keys []string) error {
	if _, known := s.byName[organisation.Name()]; known || organisation.Name() == "" {
		return ErrOrganisationName
	}
	if organisation.RatePerSecond() < 0 || organisation.Burst() < 0 {
		return ErrOrganisationQuota
	}
	for _, key := range keys {
		sum := keySum(sha256.Sum256([]byte(key)))
		if key == "" {
			return ErrEmptyKey
		}
		if other, known := s.byKey[sum]; known && other.Name() != organisation.Name() {
			return ErrSharedKey
		}
		s.byKey[sum] = &organisation
	}
	s.byName[organisation.Name()] = organisation
	return nil
}

// ByKey returns the organisation that an API key belongs to.
func (s *Organisations) ByKey(key string) (Organisation, bool) {
	t, ok := s.byKey[keySum(sha256.Sum256([]byte(key)))]
	if !ok {
		return Organisation{}, false
	}
	return *t, true
}

// Len returns the number of organisations.
func (s *Organisations) Len() int { return len(s.byName) }

// Limited returns the organisations that have a quota, in no particular order.
func (s *Organisations) Limited() []Organisation {
	var limited []Organisation
	for _, o := range s.byName {
		if o.Limited() {
			limited = append(limited, o)
		}
	}
	return limited
}
