package metric

// Counters of the operators' port.
const (
	// OperatorRequests counts requests that were let in.
	OperatorRequests = "operator_requests"
	// OperatorWrongFleet counts requests that named another fleet, or none.
	OperatorWrongFleet = "operator_wrong_fleet"
	// OperatorWrongProtocol counts requests of another protocol version.
	OperatorWrongProtocol = "operator_wrong_protocol"
	// OperatorMalformed counts requests whose body could not be decoded or was too large.
	OperatorMalformed = "operator_malformed"
	// PublishAccepted counts change sets published here that were accepted.
	PublishAccepted = "publish_accepted"
	// PublishRefused counts change sets published here that were refused.
	PublishRefused = "publish_refused"
	// PublishNotAppended counts change sets published here that the log did not take.
	PublishNotAppended = "publish_not_appended"
	// PublishUnknown counts change sets published here whose outcome was unknown at the answer.
	PublishUnknown = "publish_unknown"
)

// Gauges of a node's own state and of its view of the fleet. Fleet sets them.
const (
	// ConfigVersion is the configuration version in force on the node.
	ConfigVersion = "config_version"
	// ConfigHead is the first log offset that the node has not folded.
	ConfigHead = "config_head"
	// ConfigNeedSchema is the schema that the node's binary lacks to go on folding, 0 if none.
	ConfigNeedSchema = "config_need_schema"
	// ConfigUnequal counts contents that the node refused because they contradict what it has folded.
	ConfigUnequal = "config_unequal"
	// ConfigUnconfirmed is 1 while the node serves what its peers offered without having heard where the
	// log ends, else 0.
	ConfigUnconfirmed = "config_unconfirmed"
	// LogFault is 1 if the log could not be read last, 0 if it could.
	LogFault = "log_fault"
	// LogSilence is the time in seconds since the log, or a peer that reads it, was heard of.
	LogSilence = "log_silence_seconds"
	// NodeServing is 1 while the node takes calls, else 0.
	NodeServing = "node_serving"
	// FleetNodes counts the members known, by tag health.
	FleetNodes = "fleet_nodes"
	// FleetBehind counts nodes that hold an older version than the newest one counted, by tag region.
	FleetBehind = "fleet_behind"
	// FleetCensusAge is the age in seconds of the census, by tag region.
	FleetCensusAge = "fleet_census_age_seconds"
)

// Counters of service-level burn, by tags service and route.
const (
	// ObjectiveCalls counts calls on routes that have an objective.
	ObjectiveCalls = "objective_calls"
	// ObjectiveBadCalls counts those that ended in an error or took longer than the objective allows.
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
