package agent

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

// proxyList is a proxy's state from the lists that it received.
type proxyList struct {
	revision uint64
	backends map[string]dispatch.BackendInfo
	phases   map[string]string
}

// apply applies a list as the proxy does.
func (p *proxyList) apply(t *testing.T, list *feed.ProxyListUpdate) {
	if list.BaseRevision == 0 {
		p.backends, p.phases = map[string]dispatch.BackendInfo{}, map[string]string{}
	} else {
		require.Equal(t, p.revision, list.BaseRevision)
	}
	for _, backend := range list.Backends {
		p.backends[backend.ID] = backend
		delete(p.phases, backend.ID)
		if phase := list.Phases[backend.ID]; phase != "" {
			p.phases[backend.ID] = phase
		}
	}
	for _, id := range list.Removed {
		delete(p.backends, id)
		delete(p.phases, id)
	}
	p.revision = list.Revision
}

// randomListChange changes the agent's list or phases at random.
func randomListChange(a *Agent, random *rand.Rand, round int) {
	id := func() string { return fmt.Sprint("i-", random.IntN(40)) }
	switch random.IntN(5) {
	case 0:
		a.applyPhases(map[string]feed.Phase{id(): {Name: dispatch.PhaseLoading, Seq: uint64(round)}})
	case 1:
		a.applyPhases(map[string]feed.Phase{id(): {Model: "m", Version: int64(round), Seq: uint64(round)}})
	case 2:
		for known, phase := range a.phases {
			phase.receivedAt = time.Now().Add(-time.Minute)
			a.phases[known] = phase
			break
		}
		a.expirePhases()
	default:
		list := slices.Clone(a.backends)
		for range 1 + random.IntN(4) {
			entry := dispatch.BackendInfo{ID: id(), Draining: random.IntN(2) == 0, Versions: map[string]int64{"m": int64(random.IntN(3))}}
			index := slices.IndexFunc(list, func(backend dispatch.BackendInfo) bool { return backend.ID == entry.ID })
			switch {
			case index < 0:
				list = append(list, entry)
			case random.IntN(2) == 0:
				list[index] = entry
			default:
				list = slices.Delete(list, index, index+1)
			}
		}
		a.publishList(time.Now(), list)
	}
}

// TestListDeltasConverge checks that a proxy has its agent's list after any changes and any lost
// replies.
func TestListDeltasConverge(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		a := newAgents(1, 1)[0]
		proxy := &proxyList{}
		for round := 1; round < 120; round++ {
			randomListChange(a, random, round)
			if a.backends == nil || random.IntN(3) == 0 {
				continue
			}
			proxy.apply(t, a.listSinceRevision(proxy.revision))
			want := a.fullList()
			require.Len(t, proxy.backends, len(want.Backends))
			for _, backend := range want.Backends {
				require.True(t, backend.Equal(new(proxy.backends[backend.ID])), "seed %d, round %d", seed, round)
			}
			require.True(t, maps.Equal(want.Phases, proxy.phases), "seed %d, round %d: %v, want %v", seed, round, proxy.phases, want.Phases)
		}
	}
}

// TestPhaseChangeSendsSingleEntry guards against a fault during rollouts: each phase change of one
// backend made the proxy read the whole list.
func TestPhaseChangeSendsSingleEntry(t *testing.T) {
	a := newAgents(1, 1)[0]
	var list []dispatch.BackendInfo
	for i := range platformInstances {
		list = append(list, dispatch.BackendInfo{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprint("10.0.0.1:", i), Versions: map[string]int64{"m": 1}})
	}
	a.publishList(time.Now(), list)
	request := &feed.Request{AgentID: a.self.ID, ListRevision: a.fullList().Revision}
	a.applyPhases(map[string]feed.Phase{"i-7": {Name: dispatch.PhaseLoading}})
	reply, isNew := a.feedReply(0, request)
	require.True(t, isNew)
	require.Len(t, reply.List.Backends, 1)
	require.Equal(t, dispatch.PhaseLoading, reply.List.Phases["i-7"])
	full, err := cbor.Marshal(a.fullList())
	require.NoError(t, err)
	delta, err := cbor.Marshal(reply.List)
	require.NoError(t, err)
	t.Logf("full list %d bytes, delta %d bytes", len(full), len(delta))
	require.Less(t, len(delta), len(full)/50)
}
