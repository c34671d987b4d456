package operator

import "time"

type wireChangeSet struct {
	PublishID string       `json:"publish_id"`
	Operator  string       `json:"operator,omitempty"`
	Base      uint64       `json:"base"`
	Level     uint16       `json:"level,omitempty"`
	Puts      []wireRecord `json:"puts,omitempty"`
	Removes   []wireID     `json:"removes,omitempty"`
}

type wireID struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// wireRecord holds a single record; exactly one field is set.
type wireRecord struct {
	Service  *wireService  `json:"service,omitempty"`
	Resource *wireResource `json:"resource,omitempty"`
	Route    *wireRoute    `json:"route,omitempty"`
}

type wireService struct {
	Schema uint16 `json:"schema"`
	Name   string `json:"name"`
	Slots  int    `json:"slots,omitempty"`
}

type wireResource struct {
	Schema uint16  `json:"schema"`
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`
	Burst  int     `json:"burst"`
}

type wireRoute struct {
	Schema     uint16         `json:"schema"`
	Name       string         `json:"name"`
	Path       string         `json:"path"`
	Service    string         `json:"service"`
	Idempotent bool           `json:"idempotent"`
	Timeout    string         `json:"timeout,omitempty"`
	Resources  []string       `json:"resources,omitempty"`
	Objective  *wireObjective `json:"objective,omitempty"`
}

type wireObjective struct {
	Target  float64 `json:"target"`
	Latency string  `json:"latency"`
}

type wireReceipt struct {
	State   string       `json:"state"`
	Outcome *wireOutcome `json:"outcome,omitempty"`
	Error   string       `json:"error,omitempty"`
}

type wireOutcome struct {
	PublishID string      `json:"publish_id"`
	Accepted  bool        `json:"accepted"`
	Version   uint64      `json:"version"`
	Faults    []wireFault `json:"faults,omitempty"`
}

type wireFault struct {
	Reason string  `json:"reason"`
	Record *wireID `json:"record,omitempty"`
	Field  string  `json:"field,omitempty"`
	Detail string  `json:"detail"`
}

type wireRecords struct {
	Version uint64       `json:"version"`
	Level   uint16       `json:"level"`
	Records []wireRecord `json:"records"`
}

type wireStatus struct {
	Stage        string       `json:"stage"`
	Self         wireMember   `json:"self"`
	Digest       wireDigest   `json:"digest"`
	Level        uint16       `json:"level"`
	LogErr       string       `json:"log_fault,omitempty"`
	LogSeenAt    time.Time    `json:"log_seen,omitzero"`
	Roles        []string     `json:"roles"`
	Members      []wireMember `json:"members"`
	Census       []wireCensus `json:"census"`
	MissingLevel uint16       `json:"need_level,omitempty"`

	Unconfirmed bool `json:"unconfirmed,omitempty"`
	Conflicts   int  `json:"unequal,omitempty"`

	Gap *wireGap `json:"gap,omitempty"`
}

type wireGap struct {
	Start uint64 `json:"head"`
	End   uint64 `json:"first"`
}

type wireBridge struct {
	AcceptLoss *uint64 `json:"accept_loss"`
}

type wireBridgeReceipt struct {
	State string `json:"state"`
	Error string `json:"error,omitempty"`
}

type wireKey struct {
	Peer        string `json:"peer"`
	Incarnation uint64 `json:"incarnation,string"`
}

type wireMember struct {
	wireKey
	Revision      uint64      `json:"revision,string"`
	Region        string      `json:"region"`
	FailureDomain string      `json:"failure_domain"`
	Health        string      `json:"health"`
	Server        *wireServer `json:"server,omitempty"`
	NewestSchema  uint16      `json:"newest_schema"`
}

type wireServer struct {
	Service string `json:"service"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
}

type wireDigest struct {
	Version uint64 `json:"version"`
	Head    uint64 `json:"head"`
	Chain   uint64 `json:"chain,string"`
}

type wireCensus struct {
	Region   string        `json:"region"`
	TakenAt  time.Time     `json:"at"`
	Counts   []wireCount   `json:"counts"`
	Laggards []wireLaggard `json:"laggards,omitempty"`
}

type wireCount struct {
	Version uint64 `json:"version"`
	Nodes   int    `json:"nodes"`
}

type wireLaggard struct {
	wireKey
	Version uint64 `json:"version"`
}

type wireError struct {
	Error string `json:"error"`
}
