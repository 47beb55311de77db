package controller

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/chain"
	"nettlefold/internal/distribute"
	"nettlefold/internal/replicated"
)

const (
	// requestTimeout limits an operation or a read: callers try another machine after a second.
	requestTimeout = 900 * time.Millisecond
	// largeBodyBytes is the body size from which callers wait longer, and largeRequestTimeout the
	// limit for such operations.
	largeBodyBytes      = 64 << 10
	largeRequestTimeout = 1800 * time.Millisecond
	// retryInterval is the pause between the attempts of an operation or a read. Attempts fail, for
	// example, while no chain is in force or the head is busy.
	retryInterval = 20 * time.Millisecond
	// applyWaitTimeout limits how long an acknowledgement waits for the mixers to apply the
	// operation.
	applyWaitTimeout = 500 * time.Millisecond
)

// submit submits an operation to the head, which may be this replica, and retries until its caller
// gives up. Retrying is safe because an operation that was already committed is recognized.
func (c *Controller) submit(ctx context.Context, request *distribute.SubmitRequest) *distribute.SubmitReply {
	limit := requestTimeout
	if len(request.Operation.Body) >= largeBodyBytes {
		limit = largeRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reason := "no chain in force is known"
	for {
		reply, err := c.submitOnce(ctx, request)
		if err == nil {
			return reply
		}
		reason = err.Error()
		if request.Forwarded && errors.Is(err, chain.ErrNotHead) {
			return unknownOutcome("submit", reason)
		}
		select {
		case <-ctx.Done():
			return unknownOutcome("submit", reason)
		case <-time.After(retryInterval):
		}
	}
}

// submitOnce submits an operation here if this is the head, otherwise it forwards it to the head.
func (c *Controller) submitOnce(ctx context.Context, request *distribute.SubmitRequest) (*distribute.SubmitReply, error) {
	now := c.published.Load()
	head, known := now.view.Member(now.view.Head())
	if !known {
		return nil, chain.ErrNoChain
	}
	if head.ID == now.self {
		return c.submitAsHead(ctx, request)
	}
	if request.Forwarded {
		return nil, chain.ErrNotHead
	}
	forwarded := &distribute.SubmitRequest{Operation: request.Operation, Forwarded: true}
	reply := new(distribute.SubmitReply)
	if err := c.pool.Client(head.Addr).Call(ctx, distribute.KindSubmit, forwarded, reply); err != nil {
		return nil, err
	}
	if reply.Outcome == distribute.OutcomeUnknown {
		return nil, merry.New(reply.Reason)
	}
	return reply, nil
}

// submitAsHead proposes an operation to this replica and waits until it is committed and confirmed.
func (c *Controller) submitAsHead(ctx context.Context, request *distribute.SubmitRequest) (*distribute.SubmitReply, error) {
	var seq, fencingToken uint64
	var predecessorIdle time.Duration
	var instance replicaInstance
	var proposeErr error
	err := c.runInLoop(ctx, func() {
		instance = replicaInstance{c.replica.View().Epoch, c.incarnation}
		if !c.diskFailedAt.IsZero() {
			proposeErr = chain.ErrNoChain
			return
		}
		if proposeErr = contextError(ctx); proposeErr != nil {
			return // the caller gave up: a delayed operation must not follow newer ones
		}
		stateBefore := c.replica.State()
		var out chain.Output
		seq, out, proposeErr = c.replica.Propose(c.sinceStart(), &request.Operation)
		fencingToken = stateBefore.FencingTokenAfter(&request.Operation, seq)
		if proposeErr == nil && request.Operation.Kind == replicated.KindLease {
			predecessorIdle = c.leaseRenewals.RecordRenewal(c.sinceStart(), instance.epoch, request.Operation.LeaseName, request.Operation.Holder)
		}
		c.applyOutput(out)
	})
	if err != nil {
		return nil, err
	}
	var refusal *chain.RefusedError
	if errors.As(proposeErr, &refusal) {
		return c.rejectOperation(ctx, refusal, instance)
	}
	if proposeErr != nil {
		return nil, proposeErr
	}
	if err := c.waitCommitted(ctx, seq, instance); err != nil {
		return nil, err
	}
	if _, err := c.confirmView(ctx, instance); err != nil { // only the present head may acknowledge
		return nil, err
	}
	reply := &distribute.SubmitReply{Outcome: distribute.OutcomeCommitted, Seq: seq}
	if request.Operation.Kind == replicated.KindLease {
		reply.PredecessorIdleMS = predecessorIdle.Milliseconds()
		// The present state may already hold the token of another holder.
		reply.FencingToken = fencingToken
		return reply, nil
	}
	c.waitApplied(ctx, seq)
	return reply, nil
}

// contextError returns the error of a context that has ended. It also compares the deadline with
// the clock, because after a stall of the process the context may not have expired yet.
func contextError(ctx context.Context) error {
	if deadline, limited := ctx.Deadline(); limited && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// rejectOperation returns the reply to an operation that the state rejects. Unless the operation is
// outdated, it first confirms that the state is the newest.
func (c *Controller) rejectOperation(
	ctx context.Context, refusal *chain.RefusedError, instance replicaInstance,
) (*distribute.SubmitReply, error) {
	if refusal.Verdict == replicated.Outdated {
		return &distribute.SubmitReply{Outcome: distribute.OutcomeOutdated, Reason: refusal.Error()}, nil
	}
	if _, err := c.confirmView(ctx, instance); err != nil {
		return nil, err
	}
	reply := &distribute.SubmitReply{Outcome: distribute.OutcomeConflict, Reason: refusal.Error()}
	if refusal.Verdict == replicated.Invalid {
		reply.Outcome = distribute.OutcomeInvalid
	}
	return reply, nil
}

// waitCommitted waits until seq is committed by the replica instance that assigned it.
func (c *Controller) waitCommitted(ctx context.Context, seq uint64, instance replicaInstance) error {
	for {
		now := c.published.Load()
		if now.instance() != instance {
			return merry.New("the view or the replica changed while the operation was under way")
		}
		if now.state.Seq >= seq {
			return nil
		}
		select {
		case <-now.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitApplied waits up to applyWaitTimeout until all agents with live sessions have applied seq.
func (c *Controller) waitApplied(ctx context.Context, seq uint64) {
	ctx, cancel := context.WithTimeout(ctx, applyWaitTimeout)
	defer cancel()
	for {
		everywhere := false
		if c.runInLoop(ctx, func() { everywhere = c.replica.AppliedEverywhere(c.sinceStart(), seq) }) != nil || everywhere {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryInterval / 2):
		}
	}
}

// confirmView has a quorum confirm that the epoch of instance is still in force, and returns the
// state published after that.
func (c *Controller) confirmView(ctx context.Context, instance replicaInstance) (*replicated.State, error) {
	confirmed := make(chan struct{})
	var nonce uint64
	stale := false
	err := c.runInLoop(ctx, func() {
		stale = !c.diskFailedAt.IsZero() || c.replica.View().Epoch != instance.epoch || c.incarnation != instance.incarnation
		if stale {
			return
		}
		var out chain.Output
		nonce, out = c.replica.ConfirmEpoch(c.sinceStart())
		c.confirmationWaiters[nonce] = confirmed
		c.applyOutput(out)
	})
	if err != nil {
		return nil, err
	}
	if stale {
		return nil, merry.New("confirm the view: another is in force, or the disk failed")
	}
	defer c.enqueue(commandOther, func() { delete(c.confirmationWaiters, nonce) })
	select {
	case <-confirmed:
		now := c.published.Load()
		if now.incarnation != instance.incarnation {
			return nil, merry.New("confirm the view: the disk failed meanwhile")
		}
		return now.state, nil
	case <-ctx.Done():
		return nil, merry.Prepend(ctx.Err(), "confirm the view")
	}
}

// readAsTail answers a read if this replica is the tail.
func (c *Controller) readAsTail(ctx context.Context, request *distribute.ReadRequest) (*distribute.ReadReply, error) {
	now := c.published.Load()
	if now.view.Tail() != now.self {
		return nil, merry.New("this replica is not the tail of the chain")
	}
	state, err := c.confirmView(ctx, now.instance())
	if err != nil {
		return nil, err
	}
	if request.Zone != "" {
		return &distribute.ReadReply{Seq: state.Seq, ZoneSeq: state.ZoneSeq(request.Zone)}, nil
	}
	return &distribute.ReadReply{Seq: state.Seq, Config: state.Config, Leases: state.Leases}, nil
}

// read reads the newest state from the tail, and retries until its time limit.
func (c *Controller) read(ctx context.Context, request *distribute.ReadRequest) (*distribute.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		reply, err := c.readOnce(ctx, request)
		if err == nil {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryInterval):
		}
	}
}

// readOnce reads from the tail, which may be this replica.
func (c *Controller) readOnce(ctx context.Context, request *distribute.ReadRequest) (*distribute.ReadReply, error) {
	now := c.published.Load()
	tail, known := now.view.Member(now.view.Tail())
	if !known {
		return nil, chain.ErrNoChain
	}
	if tail.ID == now.self {
		return c.readAsTail(ctx, request)
	}
	reply := new(distribute.ReadReply)
	return reply, c.pool.Client(tail.Addr).Call(ctx, distribute.KindRead, request, reply)
}
