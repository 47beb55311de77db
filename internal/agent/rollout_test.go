package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/leases"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/replicated"
)

// TestOutdatedBackendsOldestFirst checks that a version that is set during a rollout starts with
// the backends that the previous version has not reached.
func TestOutdatedBackendsOldestFirst(t *testing.T) {
	a := newAgents(1, 1)[0]
	for id, version := range map[string]int64{"a": 2, "b": 1, "c": 3, "d": 1, "e": 2} {
		a.backends = append(a.backends, dispatch.BackendInfo{ID: id, Versions: map[string]int64{"m": version}})
	}
	a.backends = append(a.backends, dispatch.BackendInfo{ID: "other", Versions: map[string]int64{"n": 1}}, dispatch.BackendInfo{ID: "plain"})
	var versions []int64
	for _, backend := range a.outdatedBackends("m", 3) {
		versions = append(versions, backend.Versions["m"])
	}
	require.Equal(t, []int64{1, 1, 2, 2}, versions)
}

// TestRolloutStaysWithLeaseHolder checks that an agent that rejoins doesn't take the lease back
// from its successor. Each change of holder stops the load orders for the minimum separation of two
// holders.
func TestRolloutStaysWithLeaseHolder(t *testing.T) {
	agents := newAgents(1, 3)
	all := agents[0].members
	key := rolloutLeaseName("m")
	var first *Agent
	var others []*Agent
	for _, a := range agents {
		if rendezvous.Owner(key, a.memberIDs()) == a.self.ID {
			first = a
		} else {
			others = append(others, a)
		}
	}
	ownersAfter := func(holder string, members *distribute.MemberSet) (ids []string) {
		for _, a := range agents {
			a.members = members
			a.snapshot = &distribute.Snapshot{Leases: map[string]replicated.LeaseRecord{}}
			if holder != "" {
				a.snapshot.Leases[key] = replicated.LeaseRecord{Holder: holder, FencingToken: 7}
			}
			if a.ownsRollout("m") {
				ids = append(ids, a.self.ID)
			}
		}
		return ids
	}
	require.Equal(t, []string{first.self.ID}, ownersAfter("", all), "without a holder the ranking decides")
	without := &distribute.MemberSet{Digest: 2, Agents: []distribute.Agent{others[0].self, others[1].self}}
	successors := ownersAfter(first.self.ID, without)
	require.Len(t, successors, 1, "without the former holder the ranking of the remaining members decides")
	require.Equal(t, successors, ownersAfter(successors[0], all), "a former holder that rejoins must not take the lease back")
	for _, other := range others {
		require.Equal(t, []string{other.self.ID}, ownersAfter(other.self.ID, all), "the holder keeps the lease")
	}
}

// backendsAtVersion returns backends that have a version of model m.
func backendsAtVersion(version int64, ids ...string) (list []dispatch.BackendInfo) {
	for _, id := range ids {
		list = append(list, dispatch.BackendInfo{ID: id, Versions: map[string]int64{"m": version}})
	}
	return list
}

// TestPhaseWithLowerFencingTokenIgnored checks that phases which a former holder keeps announcing
// don't replace those of the current holder, in any order of arrival. Otherwise a backend with new
// weights would get another load order.
func TestPhaseWithLowerFencingTokenIgnored(t *testing.T) {
	former := feed.Phase{Name: dispatch.PhaseLoading, FencingToken: 6, Seq: 9}
	now := feed.Phase{Model: "m", Version: 2, FencingToken: 7, Seq: 3}
	for _, order := range [][]feed.Phase{{former, now}, {now, former}, {former, now, former}, {now, former, now}} {
		a := newAgents(1, 1)[0]
		a.backends = backendsAtVersion(1, "b")
		for _, p := range order {
			a.applyPhases(map[string]feed.Phase{"b": p})
		}
		require.Empty(t, a.outdatedBackends("m", 2), order)
		require.Empty(t, a.fullList().Phases, order)
	}
}

// TestPhaseWithLowerSeqIgnored checks that a phase that was overtaken on its way through hubs is
// ignored.
func TestPhaseWithLowerSeqIgnored(t *testing.T) {
	a := newAgents(1, 1)[0]
	a.backends = backendsAtVersion(1, "b")
	a.applyPhases(map[string]feed.Phase{"b": {Model: "m", Version: 2, FencingToken: 6, Seq: 3}})
	a.applyPhases(map[string]feed.Phase{"b": {Name: dispatch.PhaseEmptying, FencingToken: 6, Seq: 1}})
	require.Empty(t, a.outdatedBackends("m", 2))
}

// TestReannouncedPhaseStaysInForce checks that a lease holder keeps a phase valid for as long as it
// announces it. The platform's list may show the old weights for longer than phaseTTL.
func TestReannouncedPhaseStaysInForce(t *testing.T) {
	a := newAgents(1, 1)[0]
	a.backends = backendsAtVersion(1, "b")
	loaded := feed.Phase{Model: "m", Version: 2, FencingToken: 6, Seq: 3}
	a.applyPhases(map[string]feed.Phase{"b": loaded})
	old := time.Now().Add(-phaseTTL - time.Second)
	a.announcedPhases["b"] = announcedPhase{loaded, old, old}
	a.phases["b"] = receivedPhase{loaded, old}
	a.reannouncePhases()
	a.expirePhases()
	require.Empty(t, a.outdatedBackends("m", 2))
}

// TestUpdateBackendQueriesReportFirst checks that a backend that has the weights isn't taken out of
// service for them again. A new holder may not know of an order that the former holder sent.
func TestUpdateBackendQueriesReportFirst(t *testing.T) {
	var orders atomic.Int64
	report := `{"busy":false,"models":[{"name":"n","version":9},{"name":"m","version":2}]}`
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			orders.Add(1)
		}
		w.Write([]byte(report))
	}))
	defer backend.Close()
	info := backendsAtVersion(1, "b")[0]
	info.Addr = backend.Listener.Addr().String()
	a := newAgents(1, 1)[0]
	a.backends = []dispatch.BackendInfo{info}
	r := &rollout{agent: a, model: "m", lease: &lease{state: leases.New(leases.Timing{}, 7)}, finished: make(chan string, 1)}
	r.updateBackend(context.Background(), info, 2)
	(<-a.commands)() // apply the announced phase
	require.Empty(t, a.outdatedBackends("m", 2))
	require.Empty(t, a.commands)
	require.Zero(t, orders.Load())

	for reportBody, want := range map[string]weightsState{
		`{"busy":true,"models":[{"name":"m","version":1}]}`:  weightsLoading,
		`{"busy":false,"models":[{"name":"m","version":1}]}`: weightsOutdated,
		`{"busy":false,"models":[{"name":"m","version":3}]}`: weightsCurrent,
		`{"busy":false,"models":[{"name":"n","version":3}]}`: weightsOutdated,
		`no report`: weightsOutdated,
	} {
		report = reportBody
		require.Equal(t, want, r.queryWeights(context.Background(), info, 2), reportBody)
	}
}

// TestSendOrderWaitsForLease checks that a successor sends no order while the former holder may
// still act.
func TestSendOrderWaitsForLease(t *testing.T) {
	var orders atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { orders.Add(1) }))
	defer backend.Close()
	a := newAgents(1, 1)[0]
	held := &lease{hadPredecessor: true, state: leases.New(leases.Timing{HoldFor: time.Hour, MaxTransit: time.Hour}, 7)}
	require.True(t, held.renew(leases.Renewal{ReceivedAt: a.now(), FencingToken: 8}))
	require.Greater(t, held.timeUntilValid(a.now()), time.Hour)
	require.False(t, held.valid(a.now()))
	r := &rollout{agent: a, model: "m", lease: held}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, r.sendOrder(ctx, dispatch.BackendInfo{ID: "b", Addr: backend.Listener.Addr().String()}, 2), context.Canceled)
	require.Zero(t, orders.Load())
	require.Zero(t, held.timeUntilValid(a.now()+3*time.Hour))
}
