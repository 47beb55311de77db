package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
	"nettlefold/internal/leases"
	"nettlefold/internal/trial"
)

const (
	// atOnceShare is one part in so many of a model's backends that is out of service at a time for new weights.
	loadingDivisor = 6
	// underShare is how many times as many may be out of service at once: some of them end what runs there while others load.
	outOfServiceFactor = 2
	// emptyLeast and emptyMost bound how long a backend gets nothing before its order, so that nothing waits there unbegun.
	minEmptyingTime      = 250 * time.Millisecond
	maxEmptyingTime      = 1200 * time.Millisecond
	emptyingPollInterval = 50 * time.Millisecond
	// emptyAhead is how long before its lease begins a successor takes the first backends out of service, so that they are empty by then.
	emptyingLead = 500 * time.Millisecond
	// confirmEvery is how often the holder of a duty makes sure that it still is, and confirmFor how long it then acts.
	leaseRenewInterval = 400 * time.Millisecond
	leaseHoldTime      = 900 * time.Millisecond
	orderTimeout       = 800 * time.Millisecond
	reportInterval     = 250 * time.Millisecond
	reportTimeout      = 600 * time.Millisecond
	loadTimeout        = 12 * time.Second // after which a backend's order is given up and may be given again
)

func rolloutLeaseName(model string) string { return "orders/" + model }

// ownsOrders tells whether a model's orders are this agent's to give.
func (a *Agent) ownsRollout(model string) bool {
	key := rolloutLeaseName(model)
	return leases.PreferredHolder(key, a.snapshot.Leases[key].Holder, a.memberIDs()) == a.self.ID
}

// dutyOrders starts a rollout of each model whose version is not everywhere, where that falls to this agent.
func (a *Agent) startRollouts(ctx context.Context) {
	if a.snapshot == nil {
		return
	}
	for model, wanted := range a.snapshot.Models {
		if a.rollouts[model] || !a.ownsRollout(model) || len(a.outdatedBackends(model, wanted.Version)) == 0 {
			continue
		}
		a.rollouts[model] = true
		go func() {
			a.runRollout(ctx, model)
			a.enqueue(func() { delete(a.rollouts, model) })
		}()
	}
}

// behind gives the backends whose weights are older than a version, those first whose weights are the oldest: they are the first that may
// get nothing more. A version that is named while the one before is on its way so begins with what that one has not reached.
func (a *Agent) outdatedBackends(model string, version int64) (behind []dispatch.BackendInfo) {
	for _, l := range a.fullList().Backends {
		if has, serves := l.Versions[model]; serves && has < version {
			behind = append(behind, l)
		}
	}
	slices.SortStableFunc(behind, func(x, y dispatch.BackendInfo) int { return cmp.Compare(x.Versions[model], y.Versions[model]) })
	return behind
}

// rollOut brings a model's backends to the version wanted, a few at a time, while the duty is this agent's.
func (a *Agent) runRollout(ctx context.Context, model string) {
	held, err := a.acquireLease(ctx, rolloutLeaseName(model))
	if err != nil {
		a.log.Warn().Err(err).Str("step", "acquire").Str("model", model).Msg("the duty was not taken")
		return
	}
	a.log.Info().Str("step", "rollout").Str("model", model).Uint64("fence", held.fencingToken()).Msg("orders are this agent's")
	r := &rollout{agent: a, model: model, lease: held, inProgress: map[string]time.Time{}, finished: make(chan string, 64)}
	r.run(ctx)
}

// rollout is one model's way to a version.
type rollout struct {
	agent      *Agent
	model      string
	lease      *lease
	inProgress map[string]time.Time // backends taken out of service, since when
	finished   chan string
}

func (r *rollout) run(ctx context.Context) {
	confirmed := time.Now()
	for ctx.Err() == nil {
		var version int64
		var behind []dispatch.BackendInfo
		var mine bool
		var serving int
		if r.agent.runInLoop(ctx, func() {
			version = r.agent.snapshot.Models[r.model].Version
			behind = r.agent.outdatedBackends(r.model, version)
			mine = r.agent.ownsRollout(r.model)
			serving = r.agent.servingCount(r.model)
		}) != nil {
			return
		}
		if len(behind) == 0 && len(r.inProgress) == 0 || !mine && len(r.inProgress) == 0 {
			return
		}
		if time.Since(confirmed) >= leaseRenewInterval {
			if err := r.agent.renewLease(ctx, r.lease); err != nil {
				r.agent.log.Warn().Err(err).Str("step", "confirm").Str("model", r.model).Msg("the duty is in doubt")
				if r.lease.expired(r.agent.now()) {
					return
				}
			} else {
				confirmed = time.Now()
			}
		}
		if mine {
			r.startNext(ctx, behind, version, max(1, int(float64(serving)*trial.Scale(trial.RolloutConcurrency)/loadingDivisor)))
		}
		select {
		case id := <-r.finished:
			delete(r.inProgress, id)
		case <-time.After(reportInterval / 2):
		case <-ctx.Done():
		}
	}
}

// serving counts the backends of a model.
func (a *Agent) servingCount(model string) (n int) {
	for _, l := range a.backends {
		if _, serves := l.Versions[model]; serves && !l.Draining {
			n++
		}
	}
	return n
}

// start takes the next backends out of service: as many as may load at once, and as many that are emptied meanwhile.
func (r *rollout) startNext(ctx context.Context, behind []dispatch.BackendInfo, version int64, atOnce int) {
	for _, l := range behind {
		if len(r.inProgress) >= outOfServiceFactor*atOnce {
			return
		}
		if _, already := r.inProgress[l.ID]; already || l.Draining {
			continue
		}
		r.inProgress[l.ID] = time.Now()
		go r.updateBackend(ctx, l, version)
	}
}

// one brings a backend to a version.
func (r *rollout) updateBackend(ctx context.Context, l dispatch.BackendInfo, version int64) {
	defer func() { r.finished <- l.ID }()
	state := r.queryWeights(ctx, l, version)
	if state == weightsOutdated {
		if err := r.emptyAndSendOrder(ctx, l, version); err != nil {
			r.agent.log.Warn().Err(err).Str("step", "order").Str("peer", l.Addr).Msg("the order was not taken")
			r.announcePhase(l.ID, feed.Phase{})
			return
		}
	}
	if state != weightsCurrent {
		r.announcePhase(l.ID, feed.Phase{Name: dispatch.PhaseLoading})
		if !r.awaitLoaded(ctx, l, version, state == weightsOutdated) {
			r.announcePhase(l.ID, feed.Phase{})
			return
		}
	}
	r.announcePhase(l.ID, feed.Phase{Model: r.model, Version: version})
}

// emptyAndOrder takes a backend out of service, waits until nothing waits there, and gives the order.
func (r *rollout) emptyAndSendOrder(ctx context.Context, l dispatch.BackendInfo, version int64) error {
	r.announcePhase(l.ID, feed.Phase{Name: dispatch.PhaseEmptying})
	r.awaitQueueEmpty(ctx, l.ID)
	if err := r.sendOrder(ctx, l, version); err != nil {
		return err
	}
	r.agent.log.Info().Str("step", "order").Str("peer", l.Addr).Str("backend", l.ID).Int64("from", l.Versions[r.model]).Int64("version", version).Msg("order taken")
	return nil
}

// awaitLoaded waits until a backend has a version. Its report is older than an order that was just taken; where another holder gave the order, a
// backend that loads nothing any more and has not the version is to be ordered anew.
func (r *rollout) awaitLoaded(ctx context.Context, l dispatch.BackendInfo, version int64, ordered bool) bool {
	for began := time.Now(); time.Since(began) < loadTimeout && ctx.Err() == nil; {
		time.Sleep(reportInterval)
		switch r.queryWeights(ctx, l, version) {
		case weightsCurrent:
			return true
		case weightsOutdated:
			if !ordered {
				return false
			}
		}
	}
	return false
}

// awaitBegun waits until nothing waits at a backend that has not begun, as far as the mixers tell; what has begun may run on.
func (r *rollout) awaitQueueEmpty(ctx context.Context, id string) {
	time.Sleep(minEmptyingTime)
	for began := time.Now(); time.Since(began) < maxEmptyingTime && ctx.Err() == nil; time.Sleep(emptyingPollInterval) {
		waiting := 0
		if r.agent.runInLoop(ctx, func() { waiting = r.agent.gossip.remoteLoads()[id].Add(r.agent.localLoads[id]).QueuedPrefillMS }) != nil || waiting <= 0 {
			return
		}
	}
}

// versionOrder is the body of an order for new weights.
type versionOrder struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Version      int64  `json:"version"`
	Method       string `json:"method"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
}

func (r *rollout) sendOrder(ctx context.Context, l dispatch.BackendInfo, version int64) error {
	body, err := json.Marshal(versionOrder{"version", r.model, version, "wait", r.agent.self.ID, r.lease.fencingToken()})
	if err != nil {
		return err
	}
	if err := r.awaitLease(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+"/v1/order", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Expected-Instance", l.ID)
	if !r.lease.valid(r.agent.now()) {
		return merry.New("the lease is over")
	}
	answer, err := r.agent.httpClient.Do(request)
	if err != nil {
		return merry.Prepend(err, "order")
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 4096))
	if answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusAccepted && answer.StatusCode != http.StatusConflict {
		return merry.New("order: " + answer.Status + " " + string(text))
	}
	return nil
}

// awaitLease waits until the lease begins.
func (r *rollout) awaitLease(ctx context.Context) error {
	wait := r.lease.timeUntilValid(r.agent.now())
	if wait == 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
