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

// retryDelay is the delay between two attempts of a publish.
const retryDelay = 500 * time.Millisecond

const publishLong = `Publishes the records of a TOML file as one change set, which is accepted or refused as a whole.
The base version is that of --base, else that of the file, else the current version of the node.
A publish of unknown outcome is retried under the same publish ID, which takes effect only once. A publish ID given
by --publish-id or the file may have been published before, so failures under it leave the outcome unknown.

Exit codes: 0 accepted; 2 faults in the arguments or the file, nothing was sent; 3 refused;
4 the outcome is not known, publish again with the printed --publish-id; 5 the node or the log
could not be reached, nothing was published; 6 accepted, but not in force everywhere in time;
1 any other failure, nothing was published.`

type publishCommand struct {
	NodeOptions
	Base        *uint64       `long:"base" value-name:"VERSION" description:"version that the change was prepared against"`
	PublishID   string        `long:"publish-id" value-name:"UUID" description:"publish ID, to retry a publish of unknown outcome"`
	Operator    string        `long:"operator" value-name:"NAME" description:"name of the operator; default is the operator of the file, then the name of the user"`
	Attempts    int           `long:"attempts" value-name:"N" default:"3" description:"number of attempts for a publish of unknown outcome, at least one"`
	JSON        bool          `long:"json" description:"print the receipt, and with --wait the progress, as JSON"`
	Wait        bool          `long:"wait" description:"wait until the version is in force on every node"`
	WaitTimeout time.Duration `long:"timeout" value-name:"DURATION" default:"1m" description:"longest time that --wait waits"`
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
	return c.FollowProgress(env, client, receipt.Outcome().Version(), c.WaitTimeout, c.JSON)
}

// publishID returns the publish ID of the flag or the file, else a new one. A given ID may have been published
// before.
func (c *publishCommand) publishID(file recordfile.File) (id record.PublishID, given bool, err error) {
	if c.PublishID != "" {
		id, err = uuid.Parse(c.PublishID)
		if err != nil || id == uuid.Nil {
			err = fmt.Errorf("--publish-id %q: must be a UUID other than the nil UUID", c.PublishID)
		}
		return id, true, err
	}
	if id, ok := file.PublishID(); ok {
		return id, true, nil
	}
	id, err = uuid.NewV7()
	return id, false, err
}

// baseVersion returns the base version of the flag or the file, else the current version of the node.
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

// operatorName returns the operator of the flag or the file, else the name of the system user.
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

// publish sends the change set until the outcome is known or the attempts are used up.
func (c *publishCommand) publish(client *operator.Client, change record.ChangeSet, maybePublished bool) (message.Receipt, error) {
	wait := NewSleeper(timer.New())
	send := func() (message.Receipt, error) {
		ctx, cancel := c.RequestContext()
		defer cancel()
		return client.Publish(ctx, change)
	}
	return publishUntilKnown(c.Attempts, maybePublished, send, func() { wait(retryDelay) })
}

// publishUntilKnown makes up to attempts attempts to send a change set, at least one, with pauses in between. It
// stops when the outcome is known or nothing can have been published. maybePublished means that an earlier publish
// may have taken effect. Once an attempt may have taken effect, a later failure leaves the outcome unknown.
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

// nothingPublished reports whether the result of an attempt rules out that it published anything.
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
		fmt.Fprintf(env.Err, "the log did not accept the change set, nothing was published: %v\n", r.Err())
		return ExitUnavailable
	}
	fmt.Fprintf(env.Err, "the outcome is not known: %v\ntry again with --publish-id %s --base %d\n", r.Err(), change.PublishID(), change.Base())
	return ExitUnknown
}

// failUnknown prints an error that occurred before sending a change set whose publish ID may have been published
// before, and returns the exit code.
func failUnknown(env Env, id record.PublishID, err error) int {
	fmt.Fprintf(env.Err, "the outcome of publish %s is not known, nothing was sent this time: %v\n", id, err)
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
