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
	// callLimit bounds an operation or a read: callers turn elsewhere after a second.
	callLimit = 900 * time.Millisecond
	// largeBody is the size from which a caller waits for longer, and largeLimit how long it is then tried.
	largeBody  = 64 << 10
	largeLimit = 1800 * time.Millisecond
	// retryEvery is the pause after an attempt that met no chain or a busy one.
	retryEvery = 20 * time.Millisecond
	// appliedWait bounds how long an acknowledgement waits for the mixers to apply what it acknowledges.
	appliedWait = 500 * time.Millisecond
)

// submit has an operation taken: here if this is the head, else there. It tries for as long as its caller listens. Trying again is
// safe, as what was taken is known again.
func (c *Controller) submit(ctx context.Context, request *distribute.SubmitRequest) *distribute.SubmitReply {
	limit := callLimit
	if len(request.Operation.Body) >= largeBody {
		limit = largeLimit
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
			return unclear("submit", reason)
		}
		select {
		case <-ctx.Done():
			return unclear("submit", reason)
		case <-time.After(retryEvery):
		}
	}
}

func (c *Controller) submitOnce(ctx context.Context, request *distribute.SubmitRequest) (*distribute.SubmitReply, error) {
	now := c.public.Load()
	head, known := now.view.Member(now.view.Head())
	if !known {
		return nil, chain.ErrNoChain
	}
	if head.ID == now.self {
		return c.submitHere(ctx, request)
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

func (c *Controller) submitHere(ctx context.Context, request *distribute.SubmitRequest) (*distribute.SubmitReply, error) {
	var seq, fence uint64
	var quiet time.Duration
	var at service
	var refused error
	err := c.ask(ctx, func() {
		at = service{c.replica.View().Epoch, c.opened}
		if !c.broken.IsZero() {
			refused = chain.ErrNoChain
			return
		}
		if refused = over(ctx); refused != nil {
			return // its caller turned elsewhere: an old order must not come after newer ones
		}
		checked := c.replica.State()
		var out chain.Output
		seq, out, refused = c.replica.Propose(c.now(), &request.Operation)
		fence = checked.FencingTokenAfter(&request.Operation, seq)
		if refused == nil && request.Operation.Kind == replicated.KindLease {
			quiet = c.duties.RecordRenewal(c.now(), at.epoch, request.Operation.LeaseName, request.Operation.Holder)
		}
		c.perform(out)
	})
	if err != nil {
		return nil, err
	}
	var refusal *chain.RefusedError
	if errors.As(refused, &refusal) {
		return c.refuse(ctx, refusal, at)
	}
	if refused != nil {
		return nil, refused
	}
	if err := c.committed(ctx, seq, at); err != nil {
		return nil, err
	}
	if _, err := c.confirm(ctx, at); err != nil { // what was taken before is told only while this is the head in force
		return nil, err
	}
	reply := &distribute.SubmitReply{Outcome: distribute.OutcomeCommitted, Seq: seq}
	if request.Operation.Kind == replicated.KindLease {
		reply.PredecessorIdleMS = quiet.Milliseconds()
		reply.FencingToken = fence // not the state's by now: another holder may have it already
		return reply, nil
	}
	c.applied(ctx, seq)
	return reply, nil
}

// over tells whether a call's time is up, by the clock itself: in a process that stood still the context may not have noticed yet.
func over(ctx context.Context) error {
	if deadline, limited := ctx.Deadline(); limited && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// refuse answers that an operation cannot come into force, once it is sure that the state it was held against is the newest.
func (c *Controller) refuse(ctx context.Context, refusal *chain.RefusedError, at service) (*distribute.SubmitReply, error) {
	if refusal.Verdict == replicated.Outdated {
		return &distribute.SubmitReply{Outcome: distribute.OutcomeOutdated, Reason: refusal.Error()}, nil
	}
	if _, err := c.confirm(ctx, at); err != nil {
		return nil, err
	}
	reply := &distribute.SubmitReply{Outcome: distribute.OutcomeConflict, Reason: refusal.Error()}
	if refusal.Verdict == replicated.Invalid {
		reply.Outcome = distribute.OutcomeInvalid
	}
	return reply, nil
}

// committed waits until a number is committed by the replica, and in the epoch, that gave it out.
func (c *Controller) committed(ctx context.Context, seq uint64, at service) error {
	for {
		now := c.public.Load()
		if now.service() != at {
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

// applied waits for a bounded time until the agents that are heard from have applied a number.
func (c *Controller) applied(ctx context.Context, seq uint64) {
	ctx, cancel := context.WithTimeout(ctx, appliedWait)
	defer cancel()
	for {
		everywhere := false
		if c.ask(ctx, func() { everywhere = c.replica.AppliedEverywhere(c.now(), seq) }) != nil || everywhere {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryEvery / 2):
		}
	}
}

// confirm asks the majority whether an epoch is still in force, and gives the state committed here since it was asked.
func (c *Controller) confirm(ctx context.Context, at service) (*replicated.State, error) {
	confirmed := make(chan struct{})
	var nonce uint64
	stale := false
	err := c.ask(ctx, func() {
		stale = !c.broken.IsZero() || c.replica.View().Epoch != at.epoch || c.opened != at.opened
		if stale {
			return
		}
		var out chain.Output
		nonce, out = c.replica.ConfirmEpoch(c.now())
		c.readers[nonce] = confirmed
		c.perform(out)
	})
	if err != nil {
		return nil, err
	}
	if stale {
		return nil, merry.New("confirm the view: another is in force, or the disk failed")
	}
	defer c.enqueue(commandOther, func() { delete(c.readers, nonce) })
	select {
	case <-confirmed:
		now := c.public.Load()
		if now.opened != at.opened {
			return nil, merry.New("confirm the view: the disk failed meanwhile")
		}
		return now.state, nil
	case <-ctx.Done():
		return nil, merry.Prepend(ctx.Err(), "confirm the view")
	}
}

// readHere answers a read if this is the tail.
func (c *Controller) readHere(ctx context.Context, request *distribute.ReadRequest) (*distribute.ReadReply, error) {
	now := c.public.Load()
	if now.view.Tail() != now.self {
		return nil, merry.New("this replica is not the tail of the chain")
	}
	state, err := c.confirm(ctx, now.service())
	if err != nil {
		return nil, err
	}
	if request.Zone != "" {
		return &distribute.ReadReply{Seq: state.Seq, ZoneSeq: state.ZoneSeq(request.Zone)}, nil
	}
	return &distribute.ReadReply{Seq: state.Seq, Config: state.Config, Leases: state.Leases}, nil
}

// read gives the newest state, from the tail.
func (c *Controller) read(ctx context.Context, request *distribute.ReadRequest) (*distribute.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	for {
		reply, err := c.readOnce(ctx, request)
		if err == nil {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryEvery):
		}
	}
}

func (c *Controller) readOnce(ctx context.Context, request *distribute.ReadRequest) (*distribute.ReadReply, error) {
	now := c.public.Load()
	tail, known := now.view.Member(now.view.Tail())
	if !known {
		return nil, chain.ErrNoChain
	}
	if tail.ID == now.self {
		return c.readHere(ctx, request)
	}
	reply := new(distribute.ReadReply)
	return reply, c.pool.Client(tail.Addr).Call(ctx, distribute.KindRead, request, reply)
}
