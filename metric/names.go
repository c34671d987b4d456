package metric

// Counters of the operators' HTTP interface.
const (
	// OperatorRequests counts requests accepted for this fleet and protocol version.
	OperatorRequests = "operator_requests"
	// OperatorWrongFleet counts requests that named another fleet, or none.
	OperatorWrongFleet = "operator_wrong_fleet"
	// OperatorWrongProtocol counts requests of another protocol version.
	OperatorWrongProtocol = "operator_wrong_protocol"
	// OperatorMalformed counts requests whose body could not be decoded or was too large.
	OperatorMalformed = "operator_malformed"
	// PublishAccepted counts change sets published through this node that were accepted.
	PublishAccepted = "publish_accepted"
	// PublishRefused counts change sets published through this node that were refused.
	PublishRefused = "publish_refused"
	// PublishNotAppended counts change sets published through this node that were not appended to the log.
	PublishNotAppended = "publish_not_appended"
	// PublishUnknown counts change sets published through this node whose outcome was unknown when it responded.
	PublishUnknown = "publish_unknown"
)

// Gauges of a node's own state and of its view of the fleet, set by StatusGauges.
const (
	// ConfigVersion is the configuration version in force on the node.
	ConfigVersion = "config_version"
	// ConfigHead is the first log offset that the node has not applied.
	ConfigHead = "config_head"
	// ConfigNeedSchema is the schema that the node's binary would have to support to apply the next entry, 0 if none.
	ConfigNeedSchema = "config_need_schema"
	// ConfigUnequal is the number of digests, entries and states rejected because they contradict the state that
	// the node has applied.
	ConfigUnequal = "config_unequal"
	// ConfigUnconfirmed is 1 while the node serves a configuration received from peers without knowing the end
	// of the log, else 0.
	ConfigUnconfirmed = "config_unconfirmed"
	// LogFault is 1 if the last read of the log failed, else 0.
	LogFault = "log_fault"
	// LogSilence is the time in seconds since the last report from the log or from a peer that reads it.
	LogSilence = "log_silence_seconds"
	// NodeServing is 1 while the node accepts calls, else 0.
	NodeServing = "node_serving"
	// FleetNodes is the number of known members, by tag health.
	FleetNodes = "fleet_nodes"
	// FleetBehind is the number of nodes that hold an older version than the newest in any census, by tag region.
	FleetBehind = "fleet_behind"
	// FleetCensusAge is the age in seconds of the census, by tag region.
	FleetCensusAge = "fleet_census_age_seconds"
)

// Counters of calls against service-level objectives, by tags service and route.
const (
	// ObjectiveCalls counts calls on routes that have an objective.
	ObjectiveCalls = "objective_calls"
	// ObjectiveBadCalls counts calls that ended in an error or took longer than the objective allows.
	ObjectiveBadCalls = "objective_bad_calls"
	// ObjectiveDropped counts calls that were not counted because too many routes have objectives.
	ObjectiveDropped = "objective_dropped"
)

// Tags of metrics.
const (
	TagHealth  = "health"
	TagRegion  = "region"
	TagRoute   = "route"
	TagService = "service"
)
