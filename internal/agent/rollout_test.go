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

// TestTheOldestWeightsAreExchangedFirst: a version that is named midway begins with the backends that the one before did not reach.
func TestOutdatedBackendsOldestFirst(t *testing.T) {
	a := newAgents(1, 1)[0]
	for id, version := range map[string]int64{"a": 2, "b": 1, "c": 3, "d": 1, "e": 2} {
		a.backends = append(a.backends, dispatch.BackendInfo{ID: id, Versions: map[string]int64{"m": version}})
	}
	a.backends = append(a.backends, dispatch.BackendInfo{ID: "other", Versions: map[string]int64{"n": 1}}, dispatch.BackendInfo{ID: "plain"})
	var versions []int64
	for _, l := range a.outdatedBackends("m", 3) {
		versions = append(versions, l.Versions["m"])
	}
	require.Equal(t, []int64{1, 1, 2, 2}, versions)
}

// TestOrdersStayWithTheirHolder: an agent that returns to the members does not take the orders back from the one that took them over. Each
// change of hands stops the orders for as long as the rules ask two holders to stay apart.
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
	holds := func(holder string, members *distribute.MemberSet) (owners []string) {
		for _, a := range agents {
			a.members = members
			a.snapshot = &distribute.Snapshot{Leases: map[string]replicated.LeaseRecord{}}
			if holder != "" {
				a.snapshot.Leases[key] = replicated.LeaseRecord{Holder: holder, FencingToken: 7}
			}
			if a.ownsRollout("m") {
				owners = append(owners, a.self.ID)
			}
		}
		return owners
	}
	require.Equal(t, []string{first.self.ID}, holds("", all), "nobody held them: the ranking decides")
	without := &distribute.MemberSet{Digest: 2, Agents: []distribute.Agent{others[0].self, others[1].self}}
	successors := holds(first.self.ID, without)
	require.Len(t, successors, 1, "the holder is gone: the ranking of those that are left decides")
	require.Equal(t, successors, holds(successors[0], all), "the former holder is back")
	for _, other := range others {
		require.Equal(t, []string{other.self.ID}, holds(other.self.ID, all), "whoever holds them keeps them")
	}
}

// backends gives a list of backends that have one version of model m.
func backendsAtVersion(version int64, ids ...string) (list []dispatch.BackendInfo) {
	for _, id := range ids {
		list = append(list, dispatch.BackendInfo{ID: id, Versions: map[string]int64{"m": version}})
	}
	return list
}

// TestAFormerHoldersPhasesAreOver: whoever held the orders before goes on telling what it knew of its backends. That does not take the place of
// what their holder now has told, whichever comes last: a backend with new weights would be ordered again.
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

// TestPhasesOfOneHolderKeepTheirOrder: news may pass each other on their ways through hubs.
func TestPhaseWithLowerSeqIgnored(t *testing.T) {
	a := newAgents(1, 1)[0]
	a.backends = backendsAtVersion(1, "b")
	a.applyPhases(map[string]feed.Phase{"b": {Model: "m", Version: 2, FencingToken: 6, Seq: 3}})
	a.applyPhases(map[string]feed.Phase{"b": {Name: dispatch.PhaseEmptying, FencingToken: 6, Seq: 1}})
	require.Empty(t, a.outdatedBackends("m", 2))
}

// TestAHolderBelievesWhatItTells: the holder of orders keeps a phase in force for as long as it tells it to the others. The platform's list may
// show the old weights for longer than a phase is believed.
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

// TestABackendIsAskedBeforeItIsOrdered: what a holder knows may be older than an order that the holder before it gave. A backend that has the
// weights is not taken out of service for them again.
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
	l := backendsAtVersion(1, "b")[0]
	l.Addr = backend.Listener.Addr().String()
	a := newAgents(1, 1)[0]
	a.backends = []dispatch.BackendInfo{l}
	r := &rollout{agent: a, model: "m", lease: &lease{state: leases.New(leases.Timing{}, 7)}, finished: make(chan string, 1)}
	r.updateBackend(context.Background(), l, 2)
	(<-a.commands)() // the phase
	require.Empty(t, a.outdatedBackends("m", 2))
	require.Empty(t, a.commands)
	require.Zero(t, orders.Load())

	for told, want := range map[string]weightsState{
		`{"busy":true,"models":[{"name":"m","version":1}]}`:  weightsLoading,
		`{"busy":false,"models":[{"name":"m","version":1}]}`: weightsOutdated,
		`{"busy":false,"models":[{"name":"m","version":3}]}`: weightsCurrent,
		`{"busy":false,"models":[{"name":"n","version":3}]}`: weightsOutdated,
		`no report`: weightsOutdated,
	} {
		report = told
		require.Equal(t, want, r.queryWeights(context.Background(), l, 2), told)
	}
}

// TestNoOrderIsSentBeforeTheLeaseBegins: a successor empties backends while the former holder may still act, but sends nothing.
func TestSendOrderWaitsForLease(t *testing.T) {
	var orders atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { orders.Add(1) }))
	defer backend.Close()
	a := newAgents(1, 1)[0]
	l := &lease{hadPredecessor: true, state: leases.New(leases.Timing{HoldFor: time.Hour, MaxTransit: time.Hour}, 7)}
	require.True(t, l.renew(leases.Renewal{ReceivedAt: a.now(), FencingToken: 8}))
	require.Greater(t, l.timeUntilValid(a.now()), time.Hour)
	require.False(t, l.valid(a.now()))
	r := &rollout{agent: a, model: "m", lease: l}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, r.sendOrder(ctx, dispatch.BackendInfo{ID: "b", Addr: backend.Listener.Addr().String()}, 2), context.Canceled)
	require.Zero(t, orders.Load())
	require.Zero(t, l.timeUntilValid(a.now()+3*time.Hour))
}
