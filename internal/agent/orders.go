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
	atOnceShare = 6
	// underShare is how many times as many may be out of service at once: some of them end what runs there while others load.
	underShare = 2
	// emptyLeast and emptyMost bound how long a backend gets nothing before its order, so that nothing waits there unbegun.
	emptyLeast = 250 * time.Millisecond
	emptyMost  = 1200 * time.Millisecond
	emptyEvery = 50 * time.Millisecond
	// emptyAhead is how long before its lease begins a successor takes the first backends out of service, so that they are empty by then.
	emptyAhead = 500 * time.Millisecond
	// confirmEvery is how often the holder of a duty makes sure that it still is, and confirmFor how long it then acts.
	confirmEvery = 400 * time.Millisecond
	confirmFor   = 900 * time.Millisecond
	orderLimit   = 800 * time.Millisecond
	reportEvery  = 250 * time.Millisecond
	reportLimit  = 600 * time.Millisecond
	loadLimit    = 12 * time.Second // after which a backend's order is given up and may be given again
)

func ordersDuty(model string) string { return "orders/" + model }

// ownsOrders tells whether a model's orders are this agent's to give.
func (a *Agent) ownsOrders(model string) bool {
	key := ordersDuty(model)
	return leases.PreferredHolder(key, a.snapshot.Leases[key].Holder, a.memberIDs()) == a.self.ID
}

// dutyOrders starts a rollout of each model whose version is not everywhere, where that falls to this agent.
func (a *Agent) dutyOrders(ctx context.Context) {
	if a.snapshot == nil {
		return
	}
	for model, wanted := range a.snapshot.Models {
		if a.rollouts[model] || !a.ownsOrders(model) || len(a.behind(model, wanted.Version)) == 0 {
			continue
		}
		a.rollouts[model] = true
		go func() {
			a.rollOut(ctx, model)
			a.enqueue(func() { delete(a.rollouts, model) })
		}()
	}
}

// behind gives the backends whose weights are older than a version, those first whose weights are the oldest: they are the first that may
// get nothing more. A version that is named while the one before is on its way so begins with what that one has not reached.
func (a *Agent) behind(model string, version int64) (behind []dispatch.BackendInfo) {
	for _, l := range a.listFor().Backends {
		if has, serves := l.Versions[model]; serves && has < version {
			behind = append(behind, l)
		}
	}
	slices.SortStableFunc(behind, func(x, y dispatch.BackendInfo) int { return cmp.Compare(x.Versions[model], y.Versions[model]) })
	return behind
}

// rollOut brings a model's backends to the version wanted, a few at a time, while the duty is this agent's.
func (a *Agent) rollOut(ctx context.Context, model string) {
	held, err := a.acquire(ctx, ordersDuty(model))
	if err != nil {
		a.log.Warn().Err(err).Str("step", "acquire").Str("model", model).Msg("the duty was not taken")
		return
	}
	a.log.Info().Str("step", "rollout").Str("model", model).Uint64("fence", held.fence()).Msg("orders are this agent's")
	r := &rollout{agent: a, model: model, lease: held, under: map[string]time.Time{}, finished: make(chan string, 64)}
	r.run(ctx)
}

// rollout is one model's way to a version.
type rollout struct {
	agent    *Agent
	model    string
	lease    *lease
	under    map[string]time.Time // backends taken out of service, since when
	finished chan string
}

func (r *rollout) run(ctx context.Context) {
	confirmed := time.Now()
	for ctx.Err() == nil {
		var version int64
		var behind []dispatch.BackendInfo
		var mine bool
		var serving int
		if r.agent.ask(ctx, func() {
			version = r.agent.snapshot.Models[r.model].Version
			behind = r.agent.behind(r.model, version)
			mine = r.agent.ownsOrders(r.model)
			serving = r.agent.serving(r.model)
		}) != nil {
			return
		}
		if len(behind) == 0 && len(r.under) == 0 || !mine && len(r.under) == 0 {
			return
		}
		if time.Since(confirmed) >= confirmEvery {
			if err := r.agent.confirm(ctx, r.lease); err != nil {
				r.agent.log.Warn().Err(err).Str("step", "confirm").Str("model", r.model).Msg("the duty is in doubt")
				if r.lease.over(r.agent.now()) {
					return
				}
			} else {
				confirmed = time.Now()
			}
		}
		if mine {
			r.start(ctx, behind, version, max(1, int(float64(serving)*trial.Scale(trial.RolloutConcurrency)/atOnceShare)))
		}
		select {
		case id := <-r.finished:
			delete(r.under, id)
		case <-time.After(reportEvery / 2):
		case <-ctx.Done():
		}
	}
}

// serving counts the backends of a model.
func (a *Agent) serving(model string) (n int) {
	for _, l := range a.list {
		if _, serves := l.Versions[model]; serves && !l.Draining {
			n++
		}
	}
	return n
}

// start takes the next backends out of service: as many as may load at once, and as many that are emptied meanwhile.
func (r *rollout) start(ctx context.Context, behind []dispatch.BackendInfo, version int64, atOnce int) {
	for _, l := range behind {
		if len(r.under) >= underShare*atOnce {
			return
		}
		if _, already := r.under[l.ID]; already || l.Draining {
			continue
		}
		r.under[l.ID] = time.Now()
		go r.one(ctx, l, version)
	}
}

// one brings a backend to a version.
func (r *rollout) one(ctx context.Context, l dispatch.BackendInfo, version int64) {
	defer func() { r.finished <- l.ID }()
	state := r.weights(ctx, l, version)
	if state == weightsOld {
		if err := r.emptyAndOrder(ctx, l, version); err != nil {
			r.agent.log.Warn().Err(err).Str("step", "order").Str("peer", l.Addr).Msg("the order was not taken")
			r.phase(l.ID, feed.Phase{})
			return
		}
	}
	if state != weightsThere {
		r.phase(l.ID, feed.Phase{Name: dispatch.PhaseLoading})
		if !r.awaitLoaded(ctx, l, version, state == weightsOld) {
			r.phase(l.ID, feed.Phase{})
			return
		}
	}
	r.phase(l.ID, feed.Phase{Model: r.model, Version: version})
}

// emptyAndOrder takes a backend out of service, waits until nothing waits there, and gives the order.
func (r *rollout) emptyAndOrder(ctx context.Context, l dispatch.BackendInfo, version int64) error {
	r.phase(l.ID, feed.Phase{Name: dispatch.PhaseEmptying})
	r.awaitBegun(ctx, l.ID)
	if err := r.order(ctx, l, version); err != nil {
		return err
	}
	r.agent.log.Info().Str("step", "order").Str("peer", l.Addr).Str("backend", l.ID).Int64("from", l.Versions[r.model]).Int64("version", version).Msg("order taken")
	return nil
}

// awaitLoaded waits until a backend has a version. Its report is older than an order that was just taken; where another holder gave the order, a
// backend that loads nothing any more and has not the version is to be ordered anew.
func (r *rollout) awaitLoaded(ctx context.Context, l dispatch.BackendInfo, version int64, ordered bool) bool {
	for began := time.Now(); time.Since(began) < loadLimit && ctx.Err() == nil; {
		time.Sleep(reportEvery)
		switch r.weights(ctx, l, version) {
		case weightsThere:
			return true
		case weightsOld:
			if !ordered {
				return false
			}
		}
	}
	return false
}

// awaitBegun waits until nothing waits at a backend that has not begun, as far as the mixers tell; what has begun may run on.
func (r *rollout) awaitBegun(ctx context.Context, id string) {
	time.Sleep(emptyLeast)
	for began := time.Now(); time.Since(began) < emptyMost && ctx.Err() == nil; time.Sleep(emptyEvery) {
		waiting := 0
		if r.agent.ask(ctx, func() { waiting = r.agent.news.others()[id].Add(r.agent.ownLoads[id]).QueuedPrefillMS }) != nil || waiting <= 0 {
			return
		}
	}
}

// versionOrder is the body of an order for new weights.
type versionOrder struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Version   int64  `json:"version"`
	Method    string `json:"method"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

func (r *rollout) order(ctx context.Context, l dispatch.BackendInfo, version int64) error {
	body, err := json.Marshal(versionOrder{"version", r.model, version, "wait", r.agent.self.ID, r.lease.fence()})
	if err != nil {
		return err
	}
	if err := r.awaitLease(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+"/v1/order", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Expected-Instance", l.ID)
	if !r.lease.mayAct(r.agent.now()) {
		return merry.New("the lease is over")
	}
	answer, err := r.agent.web.Do(request)
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
	wait := r.lease.opensIn(r.agent.now())
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
