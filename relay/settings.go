package relay

import "time"

// Settings are the parameters of the distribution. To change some of them, start from Defaults. The zero value
// selects Defaults.
type Settings struct {
	Fanout                  int           // maximum number of children of a node in the tree
	HeartbeatInterval       time.Duration // interval of the heartbeats of a log reader
	LongPollTimeout         time.Duration // time for which the log may hold a read open
	MaxReadBackoff          time.Duration // longest pause after a failed read
	ReportTimeout           time.Duration // time to wait for the report on a push before the next candidate is tried
	MaxPushAttempts         int           // candidates tried per push and span
	SilenceTimeout          time.Duration // time without a heartbeat after which the standby (rank 1) reads the log
	SilenceTimeoutStep      time.Duration // added to SilenceTimeout per rank behind the standby
	FallbackTimeout         time.Duration // minimum time without a heartbeat after which a node of any rank reads the log
	FallbackJitter          time.Duration // random part added to FallbackTimeout
	StartJitter             time.Duration // random delay before the first read of a node that starts
	PullTimeout             time.Duration // time to wait for a pull reply; doubled per timeout for a node without entries
	PullDelay               time.Duration // time left to the push tree before a node that is behind pulls
	PullInterval            time.Duration // average interval of the pulls of a node that joins or receives no heartbeats
	TransferRate            float64       // states sent per second
	TransferBurst           float64       // states sent at once
	MaxWindowEntries        int           // recent entries kept for pull replies
	MaxWindowBytes          int           // total size of these entries
	MaxReplyBytes           int           // size of the entries in one pull reply
	MaxLogStatusAge         time.Duration // age beyond which a log status or the state of a serving peer is outdated
	MinUnconfirmedDelay     time.Duration // minimum time after the start before a node serves unconfirmed
	MinServingPeers         int           // serving peers that must reply to a node that joins while the log is unreachable
	MinServingDomains       int           // failure domains that these peers must span
	EntriesPerCheckpoint    int           // entries after which a checkpoint is written
	MaxCheckpointAge        time.Duration // age of the newest checkpoint after which one is written if there are new entries
	CheckpointRetryInterval time.Duration // minimum pause between two checkpoints or attempts
}

// Defaults returns settings for fleets of up to a few thousand nodes.
func Defaults() Settings {
	return Settings{
		Fanout: 8, HeartbeatInterval: 2 * time.Second, LongPollTimeout: 2 * time.Second, MaxReadBackoff: 2 * time.Second,
		ReportTimeout: 400 * time.Millisecond, MaxPushAttempts: 3,
		SilenceTimeout: 5 * time.Second, SilenceTimeoutStep: 1500 * time.Millisecond,
		FallbackTimeout: 10 * time.Second, FallbackJitter: 20 * time.Second, StartJitter: 2 * time.Second,
		PullTimeout: 500 * time.Millisecond, PullDelay: 250 * time.Millisecond, PullInterval: time.Second,
		TransferRate: 4, TransferBurst: 8, MaxWindowEntries: 256, MaxWindowBytes: 1 << 20, MaxReplyBytes: 128 << 10,
		MaxLogStatusAge: 10 * time.Second, MinUnconfirmedDelay: 6 * time.Second, MinServingPeers: 3, MinServingDomains: 2,
		EntriesPerCheckpoint: 200, MaxCheckpointAge: 6 * time.Hour, CheckpointRetryInterval: 10 * time.Second,
	}
}

// orDefault returns the settings if any is set, and the defaults otherwise.
func (s Settings) orDefault() Settings {
	if s == (Settings{}) {
		return Defaults()
	}
	return s
}
