package query

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/metric"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/timer"
)

const watchLong = `Follows a version until it, or a newer one, is in force on every node of every region, and prints
a line whenever the progress changes. With --publish-id it first waits for the outcome of that publish.
Without either it waits until the node knows a version and follows the newest one.

Exit codes: 0 in force everywhere; 2 bad arguments; 3 the publish was refused; 6 not in force, or no
outcome known, within the timeout.`

const pollInterval = 200 * time.Millisecond

type watchQuery struct {
	command.NodeOptions
	PublishID string        `long:"publish-id" value-name:"UUID" description:"follow the version created by this publish"`
	Timeout   time.Duration `long:"timeout" value-name:"DURATION" default:"1m" description:"how long to follow"`
	JSON      bool          `long:"json" description:"print each progress as one line of JSON"`
	Args      struct {
		Version *uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes"`
}

func init() {
	command.Register("watch", "Follow a version until it is in force everywhere", watchLong,
		func() command.Runner { return &watchQuery{} })
}

func (q *watchQuery) Run(env command.Env, _ []string) int {
	client, err := q.Client()
	if err != nil {
		return command.FailUsage(env, err)
	}
	if q.Args.Version != nil && q.PublishID != "" {
		return command.FailUsage(env, errors.New("VERSION and --publish-id are mutually exclusive"))
	}
	if q.Args.Version != nil {
		return q.FollowProgress(env, client, record.Version(*q.Args.Version), q.Timeout, q.JSON)
	}
	if q.PublishID == "" {
		return q.followNewest(env, client)
	}
	id, err := uuid.Parse(q.PublishID)
	if err != nil {
		return command.FailUsage(env, fmt.Errorf("--publish-id: %w", err))
	}
	return q.followPublish(env, client, id)
}

// followPublish waits for the outcome of a publish, then follows its version for the rest of the timeout.
func (q *watchQuery) followPublish(env command.Env, client *operator.Client, id record.PublishID) int {
	var outcome record.Outcome
	left, err := q.poll(func() (known bool, err error) {
		ctx, cancel := q.RequestContext()
		defer cancel()
		outcome, known, err = client.Outcome(ctx, id)
		return known, err
	})
	if err != nil {
		fmt.Fprintln(env.Err, fmt.Errorf("no outcome of %s known within the timeout: %w", id, err))
		return command.ExitTimeout
	}
	if !outcome.Accepted() {
		command.PrintOutcome(env, outcome)
		return command.ExitRefused
	}
	return q.FollowProgress(env, client, outcome.Version(), left, q.JSON)
}

// followNewest waits until the node knows a version, then follows the newest one for the rest of the timeout.
func (q *watchQuery) followNewest(env command.Env, client *operator.Client) int {
	var version record.Version
	left, err := q.poll(func() (known bool, err error) {
		ctx, cancel := q.RequestContext()
		defer cancel()
		status, err := client.Status(ctx)
		version = max(status.Digest().Version(), metric.NewestVersion(status.Census()))
		return version > 0, err
	})
	if err != nil {
		fmt.Fprintln(env.Err, fmt.Errorf("no version known within the timeout: %w", err))
		return command.ExitTimeout
	}
	return q.FollowProgress(env, client, version, left, q.JSON)
}

var errNoneKnown = errors.New("unknown to the node")

// poll calls check until it returns known, and returns the rest of the timeout. When the timeout expires, it returns
// the error of the last check.
func (q *watchQuery) poll(check func() (known bool, err error)) (time.Duration, error) {
	clock := timer.New()
	pause := command.NewSleeper(clock)
	deadline := clock.Now().Add(q.Timeout)
	for {
		known, err := check()
		if known {
			return deadline.Sub(clock.Now()), nil
		}
		if clock.Now().Add(pollInterval).After(deadline) {
			return 0, cmp.Or(err, errNoneKnown)
		}
		pause(pollInterval)
	}
}
