package relay

import "time"

// Settings of the distribution. Start from Defaults; the zero Settings stands for them.
type Settings struct {
	Fanout                  int           // children of one node in the tree
	HeartbeatInterval       time.Duration // period of heartbeats of a log reader
	LongPollTimeout         time.Duration // time for which the log may hold a read open
	MaxReadBackoff          time.Duration // longest pause between failed reads
	ReportTimeout           time.Duration // time within which a push is answered
	MaxPushAttempts         int           // receivers tried for one push and span
	SilenceTimeout          time.Duration // time without a heartbeat after which the standby reads the log
	SilenceTimeoutStep      time.Duration // further time per rank behind the standby
	FallbackTimeout         time.Duration // least time without a heartbeat after which any node reads the log
	FallbackJitter          time.Duration // random part added to SilenceLone
	StartJitter             time.Duration // random part of the wait before a new node reads the log
	PullTimeout             time.Duration // time within which a pull is answered; more for a node that holds nothing
	PullDelay               time.Duration // time that a push may take before a node behind pulls
	PullInterval            time.Duration // period of pulls of a node that joins or hears no heartbeat
	TransferRate            float64       // whole states sent per second
	TransferBurst           float64       // whole states sent at once
	MaxWindowEntries        int           // recent entries kept
	MaxWindowBytes          int           // bytes of recent entries kept
	MaxReplyBytes           int           // bytes of entries in one answer
	MaxLogStatusAge         time.Duration // age beyond which a statement says nothing about the present
	MinUnconfirmedDelay     time.Duration // least time before a node serves without the log
	MinServingPeers         int           // peers whose offers replace the log while it is down
	MinServingDomains       int           // failure domains that these peers must be from
	EntriesPerCheckpoint    int           // entries after which a checkpoint is written
	MaxCheckpointAge        time.Duration // age of the newest checkpoint after which one is written
	CheckpointRetryInterval time.Duration // pause between attempts to write one
}

// Defaults returns the settings for fleets of up to some thousand nodes.
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
