package call

import (
	"context"
	"net/http"

	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/member"
)

const keyHint = "; take one from " + KeysPath + "?path=... on this port"

// serveKeyed forwards a call to the node process that its key names.
func (i *Ingress) serveKeyed(ctx context.Context, q *request, good *bool) *failure {
	owner, f := i.keyOwner(q)
	if f != nil {
		return i.askSuccessors(ctx, q, *f, good)
	}
	i.recordFirstAttempt(q)
	a := i.forwardKeyed(ctx, q, owner.Key())
	unreachable := a.notSent
	if a.resp == nil && i.mayResend(ctx, q, a) {
		again := i.forwardKeyed(ctx, q, owner.Key())
		unreachable = again.notSent
		a = combineAttempts(a, again)
	}
	if a.resp != nil {
		i.relayResponse(q, owner.Key(), a.resp, good)
		return nil
	}
	if a.notSent && !q.firstAttempt {
		a.failure = unknown(ReasonOwnerGone, "the node that the key names can't be reached, and an earlier attempt may have run")
	}
	if !unreachable {
		return &a.failure
	}
	return i.askSuccessors(ctx, q, a.failure, good)
}

// forwardKeyed makes one attempt. If that fails, it reports the failure to the load balancer;
// relayResponse reports the end of successful attempts.
func (i *Ingress) forwardKeyed(ctx context.Context, q *request, owner member.Key) attempt {
	i.recordStart(owner)
	a := i.forward(ctx, q, owner)
	if a.resp == nil {
		i.recordEnd(owner, i.balanceResult(ctx, q, a.failure))
	}
	return a
}

// mayResend reports whether a call to which the owner did not respond may be sent to it again, and charges
// it to the retry budget. The owner's ledger ensures that the call runs at most once.
func (i *Ingress) mayResend(ctx context.Context, q *request, a attempt) bool {
	if ctx.Err() != nil || !q.body.repeatable() || q.noRetry {
		return false
	}
	if !a.notSent && a.failure.reason != ReasonBroken {
		return false
	}
	return i.takeRetry(q.route.Service())
}

// combineAttempts returns the second attempt, marked as not sent only if neither attempt was sent. If the
// second could not be sent but the first was, the failure is that of the first.
func combineAttempts(first, second attempt) attempt {
	second.notSent = second.notSent && first.notSent
	if second.failure.reason == ReasonUnreachable && !second.notSent {
		second.failure = first.failure
	}
	return second
}

func (i *Ingress) recordStart(key member.Key) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.balance.RecordStart(key)
}

// keyOwner returns the node process that the call's key names.
func (i *Ingress) keyOwner(q *request) (member.Member, *failure) {
	text := q.r.Header.Get(HeaderKey)
	if text == "" {
		f := bad(http.StatusPreconditionRequired, ReasonKeyMissing, "the route "+q.route.Name()+" needs a request key"+keyHint)
		return member.Member{}, &f
	}
	key, err := ledger.ParseKey(i.settings.Fleet, text)
	if err != nil {
		f := bad(http.StatusBadRequest, ReasonKeyBad, err.Error()+keyHint)
		return member.Member{}, &f
	}
	owner, ok := i.memberByTag(q, key.Owner())
	if !ok {
		f := i.ownerGoneFailure(q)
		return member.Member{}, &f
	}
	if service := owner.Server().Service(); service != "" && service != q.route.Service() {
		f := bad(http.StatusBadRequest, ReasonKeyService, "the key was issued for the service "+service)
		return member.Member{}, &f
	}
	return owner, nil
}

// ownerGoneFailure returns the failure for an owner that is no longer in the view. Nothing was sent this
// time, but an earlier attempt may have run.
func (i *Ingress) ownerGoneFailure(q *request) failure {
	if q.firstAttempt {
		return notRun(ReasonOwnerGone, "the node that the key names is gone; take a new key")
	}
	return unknown(ReasonOwnerGone, "the node that the key names is gone, and an earlier attempt may have run")
}

func (i *Ingress) memberByTag(q *request, tag ledger.Tag) (member.Member, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.owners.lookup(q.snapshot.View(), tag)
}

// ambiguous reports whether more than one member has the tag.
func (i *Ingress) ambiguous(q *request, tag ledger.Tag) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.owners.table(q.snapshot.View()).duplicates[tag]
}

// ownerIndex looks up members of a view by the tags in request keys. It also keeps the index of the previous
// view, which requests in flight may still use.
type ownerIndex struct {
	recent [2]ownerTable
}

// ownerTable indexes the members of one view by tag. duplicates holds the tags of more than one member.
type ownerTable struct {
	view       *member.View
	byTag      map[ledger.Tag]member.Member
	duplicates map[ledger.Tag]bool
}

// lookup returns the member with that tag, and false if there is none or more than one.
func (x *ownerIndex) lookup(view *member.View, tag ledger.Tag) (member.Member, bool) {
	return x.table(view).member(tag)
}

func (x *ownerIndex) table(view *member.View) *ownerTable {
	for n := range x.recent {
		if x.recent[n].view == view {
			return &x.recent[n]
		}
	}
	x.recent[1] = x.recent[0]
	x.recent[0] = newOwnerTable(view)
	return &x.recent[0]
}

func newOwnerTable(view *member.View) ownerTable {
	t := ownerTable{view: view, byTag: make(map[ledger.Tag]member.Member, len(view.Members())), duplicates: make(map[ledger.Tag]bool)}
	for _, m := range view.Members() {
		tag := ledger.TagOf(m.Key())
		if _, taken := t.byTag[tag]; taken {
			t.duplicates[tag] = true
		}
		t.byTag[tag] = m
	}
	return t
}

func (t *ownerTable) member(tag ledger.Tag) (member.Member, bool) {
	m, ok := t.byTag[tag]
	return m, ok && !t.duplicates[tag]
}
