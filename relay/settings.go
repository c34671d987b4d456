package relay

import "time"

// Settings of the distribution. Start from Defaults; the zero Settings stands for them.
type Settings struct {
	Fanout          int           // children of one node in the tree
	Beat            time.Duration // period of heartbeats of a log reader
	ReadWait        time.Duration // time for which the log may hold a read open
	ReadRetry       time.Duration // longest pause between failed reads
	ReportTimeout   time.Duration // time within which a push is answered
	PushTries       int           // receivers tried for one push and span
	Silence         time.Duration // time without a heartbeat after which the standby reads the log
	SilenceStep     time.Duration // further time per rank behind the standby
	SilenceLone     time.Duration // least time without a heartbeat after which any node reads the log
	SilenceJitter   time.Duration // random part added to SilenceLone
	StartJitter     time.Duration // random part of the wait before a new node reads the log
	PullTimeout     time.Duration // time within which a pull is answered; more for a node that holds nothing
	PullGrace       time.Duration // time that a push may take before a node behind pulls
	PullPeriod      time.Duration // period of pulls of a node that joins or hears no heartbeat
	StateRate       float64       // whole states sent per second
	StateBurst      float64       // whole states sent at once
	WindowEntries   int           // recent entries kept
	WindowBytes     int           // bytes of recent entries kept
	AnswerBytes     int           // bytes of entries in one answer
	StatementAge    time.Duration // age beyond which a statement says nothing about the present
	JoinWait        time.Duration // least time before a node serves without the log
	OfferPeers      int           // peers whose offers replace the log while it is down
	OfferDomains    int           // failure domains that these peers must be from
	CheckpointItems int           // entries after which a checkpoint is written
	CheckpointAge   time.Duration // age of the newest checkpoint after which one is written
	CheckpointRetry time.Duration // pause between attempts to write one
}

// Defaults returns the settings for fleets of up to some thousand nodes.
func Defaults() Settings {
	return Settings{
		Fanout: 8, Beat: 2 * time.Second, ReadWait: 2 * time.Second, ReadRetry: 2 * time.Second,
		ReportTimeout: 400 * time.Millisecond, PushTries: 3,
		Silence: 5 * time.Second, SilenceStep: 1500 * time.Millisecond,
		SilenceLone: 10 * time.Second, SilenceJitter: 20 * time.Second, StartJitter: 2 * time.Second,
		PullTimeout: 500 * time.Millisecond, PullGrace: 250 * time.Millisecond, PullPeriod: time.Second,
		StateRate: 4, StateBurst: 8, WindowEntries: 256, WindowBytes: 1 << 20, AnswerBytes: 128 << 10,
		StatementAge: 10 * time.Second, JoinWait: 6 * time.Second, OfferPeers: 3, OfferDomains: 2,
		CheckpointItems: 200, CheckpointAge: 6 * time.Hour, CheckpointRetry: 10 * time.Second,
	}
}

// orDefault returns the settings if any is set, and the defaults otherwise.
func (s Settings) orDefault() Settings {
	if s == (Settings{}) {
		return Defaults()
	}
	return s
}
