package query

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/timer"
)

const watchLong = `Follows a version until it, or a newer one, is in force on every node of every region, and prints
a line whenever the progress changes. With --publish-id it first waits for the outcome of that publish.

Exit codes: 0 in force everywhere; 2 bad arguments; 3 the publish was refused; 6 not in force, or no
outcome known, within the timeout.`

const outcomePeriod = 200 * time.Millisecond

type watchQuery struct {
	command.Remote
	PublishID string        `long:"publish-id" value-name:"UUID" description:"follow the version that this publish made"`
	Limit     time.Duration `long:"timeout" value-name:"DURATION" default:"1m" description:"how long to follow"`
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
	if (q.Args.Version == nil) == (q.PublishID == "") {
		return command.FailUsage(env, errors.New("allowed is either VERSION or --publish-id"))
	}
	if q.Args.Version != nil {
		return q.Follow(env, client, record.Version(*q.Args.Version), q.Limit, q.JSON)
	}
	id, err := uuid.Parse(q.PublishID)
	if err != nil {
		return command.FailUsage(env, fmt.Errorf("--publish-id: %w", err))
	}
	return q.followPublish(env, client, id)
}

// followPublish waits for the outcome, then follows the version for the time that is left.
func (q *watchQuery) followPublish(env command.Env, client *operator.Client, id record.PublishID) int {
	clock := timer.New()
	deadline := clock.Now().Add(q.Limit)
	outcome, err := q.awaitOutcome(client, id, clock, deadline)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return command.ExitTimeout
	}
	if !outcome.Accepted() {
		command.PrintOutcome(env, outcome)
		return command.ExitRefused
	}
	return q.Follow(env, client, outcome.Version(), deadline.Sub(clock.Now()), q.JSON)
}

func (q *watchQuery) awaitOutcome(client *operator.Client, id record.PublishID, clock *timer.Service, deadline time.Time) (record.Outcome, error) {
	pause := command.PauseOn(clock)
	for {
		outcome, ok, err := q.askOutcome(client, id)
		if ok {
			return outcome, nil
		}
		if clock.Now().Add(outcomePeriod).After(deadline) {
			return record.Outcome{}, errors.Join(fmt.Errorf("no outcome of %s known in time", id), err)
		}
		pause(outcomePeriod)
	}
}

func (q *watchQuery) askOutcome(client *operator.Client, id record.PublishID) (record.Outcome, bool, error) {
	ctx, cancel := q.Context()
	defer cancel()
	return client.Outcome(ctx, id)
}
