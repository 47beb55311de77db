package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
	"nettlefold/internal/leases"
	"nettlefold/internal/trial"
)

const (
	// loadingDivisor limits how many backends load new weights at a time: one in loadingDivisor of
	// those that serve the model.
	loadingDivisor = 6
	// maxOrderTextBytes is how much of a backend's answer to a load order is told in an error.
	maxOrderTextBytes = 256
	// outOfServiceFactor is the maximum number of backends out of service at once, as a multiple of
	// the loading limit: some backends finish their requests while others load.
	outOfServiceFactor = 2
	// minEmptyingTime is how long a backend gets no new requests before its load order.
	// maxEmptyingTime is how much longer the order waits for the backend's queue to become empty.
	minEmptyingTime      = 250 * time.Millisecond
	maxEmptyingTime      = 1200 * time.Millisecond
	emptyingPollInterval = 50 * time.Millisecond
	// emptyingLead is how long before its lease becomes valid a new holder takes the first
	// backends out of service, so that they are empty by then.
	emptyingLead = 500 * time.Millisecond
	// leaseRenewInterval is how often the holder of a lease renews it. leaseHoldTime is how long
	// the holder acts after requesting a renewal.
	leaseRenewInterval = 400 * time.Millisecond
	leaseHoldTime      = 900 * time.Millisecond
	orderTimeout       = 800 * time.Millisecond
	reportInterval     = 250 * time.Millisecond
	reportTimeout      = 600 * time.Millisecond
	weightLoadTimeout  = 12 * time.Second // then a load order is considered failed and may be sent again
)

// rolloutLeaseName returns the name of the lease under which a model's load orders are sent. A load
// order tells a backend to load the weights of a version; see dispatch.Load for the load of a
// backend.
func rolloutLeaseName(model string) string { return "orders/" + model }

// ownsRollout reports whether this agent should hold a model's rollout lease.
func (a *Agent) ownsRollout(model string) bool {
	key := rolloutLeaseName(model)
	return leases.PreferredHolder(key, a.snapshot.Leases[key].Holder, a.memberIDs()) == a.self.ID
}

// startRollouts starts a rollout for each model that this agent owns and that has outdated
// backends.
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

// outdatedBackends returns the backends whose weights are older than version, oldest weights first:
// their versions are the first that may not serve requests any more. So if a new version is set while
// a rollout is running, it starts with the backends that the previous version has not reached.
func (a *Agent) outdatedBackends(model string, version int64) (outdated []dispatch.BackendInfo) {
	for _, backend := range a.fullList().Backends {
		if current, serves := backend.Versions[model]; serves && current < version {
			outdated = append(outdated, backend)
		}
	}
	slices.SortStableFunc(outdated, func(x, y dispatch.BackendInfo) int { return cmp.Compare(x.Versions[model], y.Versions[model]) })
	return outdated
}

// runRollout brings a model's backends to the wanted version, a few at a time, while this agent
// holds the lease.
func (a *Agent) runRollout(ctx context.Context, model string) {
	rolloutLease, err := a.acquireLease(ctx, rolloutLeaseName(model))
	if err != nil {
		a.log.Warn().Err(err).Str("step", "acquire").Str("model", model).Msg("acquiring the rollout lease failed")
		return
	}
	a.log.Info().Str("step", "rollout").Str("model", model).Uint64("fence", rolloutLease.fencingToken()).Msg("rollout lease acquired")
	r := &rollout{agent: a, model: model, lease: rolloutLease, inProgress: map[string]time.Time{}, finished: make(chan string, 64)}
	r.run(ctx)
}

// rollout is the update of a model's backends by the holder of its lease.
type rollout struct {
	agent      *Agent
	model      string
	lease      *lease
	inProgress map[string]time.Time // backends out of service, and since when
	finished   chan string
}

// run updates backends until none is outdated, the rollout belongs to another agent or the lease
// has expired.
func (r *rollout) run(ctx context.Context) {
	lastRenewal := time.Now()
	for ctx.Err() == nil {
		var version int64
		var outdated []dispatch.BackendInfo
		var owner bool
		var serving int
		if r.agent.runInLoop(ctx, func() {
			version = r.agent.snapshot.Models[r.model].Version
			outdated = r.agent.outdatedBackends(r.model, version)
			owner = r.agent.ownsRollout(r.model)
			serving = r.agent.servingCount(r.model)
		}) != nil {
			return
		}
		if len(outdated) == 0 && len(r.inProgress) == 0 || !owner && len(r.inProgress) == 0 {
			return
		}
		if time.Since(lastRenewal) >= leaseRenewInterval {
			if err := r.agent.renewLease(ctx, r.lease); err != nil {
				// The logged step "confirm" is the renewal.
				r.agent.log.Warn().Err(err).Str("step", "confirm").Str("model", r.model).Msg("renewing the rollout lease failed")
				if r.lease.expired(r.agent.now()) {
					return
				}
			} else {
				lastRenewal = time.Now()
			}
		}
		if owner {
			r.startNext(ctx, outdated, version, max(1, int(float64(serving)*trial.Scale(trial.RolloutConcurrency)/loadingDivisor)))
		}
		select {
		case id := <-r.finished:
			delete(r.inProgress, id)
		case <-time.After(reportInterval / 2):
		case <-ctx.Done():
		}
	}
}

// servingCount returns the number of backends that serve a model and aren't draining.
func (a *Agent) servingCount(model string) (n int) {
	for _, backend := range a.backends {
		if _, serves := backend.Versions[model]; serves && !backend.Draining {
			n++
		}
	}
	return n
}

// startNext starts the update of the next backends: as many as may load at once, and as many again
// that are emptied meanwhile.
func (r *rollout) startNext(ctx context.Context, outdated []dispatch.BackendInfo, version int64, maxLoading int) {
	for _, backend := range outdated {
		if len(r.inProgress) >= outOfServiceFactor*maxLoading {
			return
		}
		if _, ok := r.inProgress[backend.ID]; ok || backend.Draining {
			continue
		}
		r.inProgress[backend.ID] = time.Now()
		go r.updateBackend(ctx, backend, version)
	}
}

// updateBackend brings one backend to a version. It queries the backend first, because an earlier
// holder may have sent the load order already.
func (r *rollout) updateBackend(ctx context.Context, backend dispatch.BackendInfo, version int64) {
	defer func() { r.finished <- backend.ID }()
	state := r.queryWeights(ctx, backend, version)
	if state == weightsOutdated {
		if err := r.emptyAndSendOrder(ctx, backend, version); err != nil {
			r.agent.log.Warn().Err(err).Str("step", "order").Str("peer", backend.Addr).Msg("load order failed")
			r.announcePhase(backend.ID, feed.Phase{})
			return
		}
	}
	if state != weightsCurrent {
		r.announcePhase(backend.ID, feed.Phase{Name: dispatch.PhaseLoading})
		if !r.awaitLoaded(ctx, backend, version, state == weightsOutdated) {
			r.announcePhase(backend.ID, feed.Phase{})
			return
		}
	}
	r.announcePhase(backend.ID, feed.Phase{Model: r.model, Version: version})
}

// emptyAndSendOrder takes a backend out of service, waits until its queue is empty, and sends the
// load order.
func (r *rollout) emptyAndSendOrder(ctx context.Context, backend dispatch.BackendInfo, version int64) error {
	r.announcePhase(backend.ID, feed.Phase{Name: dispatch.PhaseEmptying})
	r.awaitQueueEmpty(ctx, backend.ID)
	if err := r.sendOrder(ctx, backend, version); err != nil {
		return err
	}
	r.agent.log.Info().Str("step", "order").Str("peer", backend.Addr).Str("backend", backend.ID).Int64("from", backend.Versions[r.model]).Int64("version", version).Msg("load order accepted")
	return nil
}

// awaitLoaded waits until a backend has a version, and reports whether it has. If the order was just
// sent, the backend's report may be from before it, so a report of outdated weights is ignored. If
// an earlier holder sent it, a backend that isn't loading and has outdated weights needs a new order.
func (r *rollout) awaitLoaded(ctx context.Context, backend dispatch.BackendInfo, version int64, orderSent bool) bool {
	for start := time.Now(); time.Since(start) < weightLoadTimeout && ctx.Err() == nil; {
		time.Sleep(reportInterval)
		switch r.queryWeights(ctx, backend, version) {
		case weightsCurrent:
			return true
		case weightsOutdated:
			if !orderSent {
				return false
			}
		}
	}
	return false
}

// awaitQueueEmpty waits for minEmptyingTime, and then for at most maxEmptyingTime until no request is
// queued at a backend, according to all agents. Requests that have begun may continue.
func (r *rollout) awaitQueueEmpty(ctx context.Context, id string) {
	time.Sleep(minEmptyingTime)
	for start := time.Now(); time.Since(start) < maxEmptyingTime && ctx.Err() == nil; time.Sleep(emptyingPollInterval) {
		queuedMS := 0
		if r.agent.runInLoop(ctx, func() { queuedMS = r.agent.gossip.remoteLoads()[id].Add(r.agent.localLoads[id]).QueuedPrefillMS }) != nil || queuedMS <= 0 {
			return
		}
	}
}

// versionOrder is the body of a load order.
type versionOrder struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Version      int64  `json:"version"`
	Method       string `json:"method"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
}

// sendOrder sends a load order once the lease is valid. An order that is already in progress (409
// Conflict) counts as accepted.
func (r *rollout) sendOrder(ctx context.Context, backend dispatch.BackendInfo, version int64) error {
	body, err := json.Marshal(versionOrder{"version", r.model, version, "wait", r.agent.self.ID, r.lease.fencingToken()})
	if err != nil {
		return err
	}
	if err := r.awaitLease(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+backend.Addr+"/v1/order", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Expected-Instance", backend.ID)
	if !r.lease.valid(r.agent.now()) {
		return merry.New("agent: send load order: the lease has expired")
	}
	response, err := r.agent.httpClient.Do(request)
	if err != nil {
		return merry.Prepend(err, "agent: send load order")
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxOrderTextBytes))
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted && response.StatusCode != http.StatusConflict {
		return merry.New("agent: send load order: " + response.Status + " " + strconv.Quote(string(text)))
	}
	return nil
}

// awaitLease waits until the lease becomes valid.
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
