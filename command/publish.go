package command

import (
	"cmp"
	"errors"
	"fmt"
	"os/user"
	"time"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/recordfile"
	"github.com/bambooknot/bambooknot/timer"
)

// retryDelay is the time between two attempts of one publish.
const retryDelay = 500 * time.Millisecond

const publishLong = `Publishes the records of a TOML file as one change set, accepted whole or refused whole.
The base version is that of --base, else that of the file, else the one that the node holds.
An unknown outcome is tried again under the same publish ID, which counts once. A publish ID that is
given may have been published before, so failures under it leave the outcome unknown.

Exit codes: 0 accepted; 2 faults in the arguments or the file, nothing was sent; 3 refused;
4 the outcome is not known, publish again with the --publish-id printed; 5 the node or the log
could not be reached, nothing was published; 6 accepted, but not in force everywhere in time;
1 any other failure, nothing was published.`

type publishCommand struct {
	NodeOptions
	Base        *uint64       `long:"base" value-name:"VERSION" description:"version that the change was prepared against"`
	PublishID   string        `long:"publish-id" value-name:"UUID" description:"identity of the publish, to try again what had an unknown outcome"`
	Operator    string        `long:"operator" value-name:"NAME" description:"who publishes; default is the file's operator, then the user's name"`
	Attempts    int           `long:"attempts" value-name:"N" default:"3" description:"how often a publish of unknown outcome is tried, at least once"`
	JSON        bool          `long:"json" description:"print the receipt, and with --wait the progress, as JSON"`
	Wait        bool          `long:"wait" description:"wait until the version is in force on every node"`
	WaitTimeout time.Duration `long:"timeout" value-name:"DURATION" default:"1m" description:"how long --wait waits"`
	Args        struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

func init() {
	Register("publish", "Publish a record file", publishLong, func() Runner { return &publishCommand{} })
}

func (c *publishCommand) Run(env Env, _ []string) int {
	client, err := c.Client()
	if err != nil {
		return FailUsage(env, err)
	}
	file, err := recordfile.Load(c.Args.File)
	if err != nil {
		return FailUsage(env, err)
	}
	id, idGiven, err := c.publishID(file)
	if err != nil {
		return FailUsage(env, err)
	}
	base, err := c.baseVersion(client, file)
	if err != nil && idGiven {
		return failUnknown(env, id, err)
	}
	if err != nil {
		return FailRequest(env, err)
	}
	change := file.ChangeSet(id, c.operatorName(file), base)
	receipt, err := c.publish(client, change, idGiven)
	code := c.report(env, change, receipt, err)
	if code != ExitOK || !c.Wait {
		return code
	}
	return c.FollowRollout(env, client, receipt.Outcome().Version(), c.WaitTimeout, c.JSON)
}

// publishID returns the publish ID, and whether it was given, so that it may have been used before.
func (c *publishCommand) publishID(file recordfile.File) (id record.PublishID, given bool, err error) {
	if c.PublishID != "" {
		id, err = uuid.Parse(c.PublishID)
		if err != nil || id == uuid.Nil {
			err = fmt.Errorf("--publish-id %q: allowed is a UUID other than the nil UUID", c.PublishID)
		}
		return id, true, err
	}
	if id, ok := file.PublishID(); ok {
		return id, true, nil
	}
	id, err = uuid.NewV7()
	return id, false, err
}

func (c *publishCommand) baseVersion(client *operator.Client, file recordfile.File) (record.Version, error) {
	if c.Base != nil {
		return record.Version(*c.Base), nil
	}
	if base, ok := file.Base(); ok {
		return base, nil
	}
	ctx, cancel := c.RequestContext()
	defer cancel()
	status, err := client.Status(ctx)
	return status.Digest().Version(), err
}

func (c *publishCommand) operatorName(file recordfile.File) string {
	if c.Operator != "" {
		return c.Operator
	}
	if file.Operator() != "" {
		return file.Operator()
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// publish publishes until the outcome is known or the attempts are used up.
func (c *publishCommand) publish(client *operator.Client, change record.ChangeSet, maybePublished bool) (message.Receipt, error) {
	wait := NewSleeper(timer.New())
	send := func() (message.Receipt, error) {
		ctx, cancel := c.RequestContext()
		defer cancel()
		return client.Publish(ctx, change)
	}
	return publishUntilKnown(c.Attempts, maybePublished, send, func() { wait(retryDelay) })
}

// publishUntilKnown sends a change set up to attempts times, at least once, with a pause in between. It
// stops when the outcome is known or when it is sure that nothing was published. Once an attempt may have
// taken effect, here or before if inDoubt says so, no later failure makes that sure.
func publishUntilKnown(attempts int, maybePublished bool, send func() (message.Receipt, error), pause func()) (message.Receipt, error) {
	var lastErr error
	for i := range max(attempts, 1) {
		if i > 0 {
			pause()
		}
		receipt, err := send()
		if err == nil && receipt.State() == message.ReceiptDecided {
			return receipt, nil
		}
		if !maybePublished && nothingPublished(receipt, err) {
			return receipt, err
		}
		maybePublished = true
		lastErr = cmp.Or(err, receipt.Err())
	}
	return message.NewUndecidedReceipt(message.ReceiptUnknown, lastErr), nil
}

func nothingPublished(r message.Receipt, err error) bool {
	var rejected *operator.RejectedError
	if err != nil {
		return operator.NotSent(err) || errors.As(err, &rejected)
	}
	return r.State() == message.ReceiptNotAppended
}

func (c *publishCommand) report(env Env, change record.ChangeSet, r message.Receipt, err error) int {
	if err != nil {
		return FailRequest(env, err)
	}
	if c.JSON {
		printReceiptJSON(env, r)
	}
	switch r.State() {
	case message.ReceiptDecided:
		return c.reportOutcome(env, r.Outcome())
	case message.ReceiptNotAppended:
		fmt.Fprintf(env.Err, "the log did not take the change set, nothing was published: %v\n", r.Err())
		return ExitUnavailable
	}
	fmt.Fprintf(env.Err, "the outcome is not known: %v\ntry again with --publish-id %s --base %d\n", r.Err(), change.PublishID(), change.Base())
	return ExitUnknown
}

func failUnknown(env Env, id record.PublishID, err error) int {
	fmt.Fprintf(env.Err, "the outcome of %s is not known, nothing was sent now: %v\n", id, err)
	return ExitUnknown
}

func (c *publishCommand) reportOutcome(env Env, o record.Outcome) int {
	if !c.JSON {
		PrintOutcome(env, o)
	}
	if !o.Accepted() {
		return ExitRefused
	}
	return ExitOK
}

func printReceiptJSON(env Env, r message.Receipt) {
	data, err := operator.EncodeReceipt(r)
	if err == nil {
		fmt.Fprintln(env.Out, string(data))
	}
}
