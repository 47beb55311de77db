package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPrefillSpeedConvergesDespiteUnknownWork: half of the answers wait behind work that nobody told of, and all have a time before the reading.
func TestPrefillSpeedConvergesDespiteUnknownWork(t *testing.T) {
	const trueSpeed, trueBase = 93.0, 95.0
	for _, first := range []float64{10, 40, 400} {
		random := rand.New(rand.NewPCG(7, 7))
		l := &engineEstimates{tokensPerMS: first}
		for range 400 {
			tokens := 200 + random.IntN(12000)
			ms := trueBase + prefillTimeMS(0, tokens, trueSpeed)
			if random.IntN(2) == 0 {
				ms += random.ExpFloat64() * 200
			}
			if random.IntN(25) == 0 {
				ms = trueBase + 1 // all of it was kept there
			}
			l.observeLatency(0, tokens, ms)
		}
		require.InEpsilon(t, trueSpeed, l.tokensPerMS, 0.15, "from %v", first)
		require.InEpsilon(t, trueBase, l.baseMS, 0.15, "from %v", first)
	}
}

// TestUnexpectedDelayCapsOutliers: one answer that takes a minute does not have engines drawn at random for long.
func TestUnexpectedDelayCapsOutliers(t *testing.T) {
	l := &engineEstimates{tokensPerMS: initialTokensPerMS}
	l.observeDelay(100, 60_000)
	require.LessOrEqual(t, l.unexpectedDelayMS, movingMeanWeight*maxUnexpectedDelayMS)
	for range 60 {
		l.observeDelay(100, 90)
	}
	require.Less(t, l.unexpectedDelayMS, 1.0)
}

// TestPickSpreadsOverSimilarEngines: mixers that know the same of all engines do not choose the same one, once answers came later than they
// expected.
func TestPickSpreadsOverSimilarEngines(t *testing.T) {
	var list []BackendInfo
	for n := range 20 {
		list = append(list, backendInfo(n, 1))
	}
	chosen := func(unseen float64) map[string]int {
		loads := map[string]Load{}
		for n := range 20 {
			loads[list[n].ID] = Load{Running: 1 + n%4} // 3 ms each
		}
		ids := map[string]int{}
		for seed := range uint64(200) {
			table := newTable(t, list...)
			table.random = rand.New(rand.NewPCG(seed, 1))
			table.estimatesOf("llm").unexpectedDelayMS = unseen
			table.SetOtherLoads(loads)
			ids[table.Pick(time.Second, &Request{Service: "llm", Model: "m", PromptTokens: 500}).ID]++
		}
		return ids
	}
	require.Len(t, chosen(0), 5, "those with the least there alone")
	require.Greater(t, len(chosen(100)), 15)
}

// TestLinkQueueTimeIsLearned: what answers with a fetch take beyond what is expected, more than others do, is what fetches wait for on links.
func TestLinkQueueTimeIsLearned(t *testing.T) {
	l := &engineEstimates{tokensPerMS: initialTokensPerMS, baseMS: 90}
	for range 60 {
		l.observeDelay(100, 230)
		l.observeFetchDelay(100, 590)
	}
	require.InDelta(t, 360, l.linkQueueMS(), 5)
	for range 60 {
		l.observeFetchDelay(100, 200)
	}
	require.Zero(t, l.linkQueueMS(), "fetches that are no later than others wait for nothing")
	l.observeFetchDelay(100, 60_000)
	require.LessOrEqual(t, l.linkQueueMS(), movingMeanWeight*maxUnexpectedFetchDelayMS)
}

// TestNearlyIdleEngineTeachesSpeed: in a busy fleet hardly any engine has nothing to do at all.
func TestNearlyIdleEngineTeachesSpeed(t *testing.T) {
	for running, teaches := range map[int]bool{0: true, 4: true, 20: false} {
		table := newTable(t, backendInfo(1, 1))
		table.SetOtherLoads(map[string]Load{"b1": {Running: running}})
		c := table.Pick(0, &Request{Service: "llm", Model: "m", PromptTokens: 500})
		table.RecordFirstByte(100*time.Millisecond, c, "llm")
		require.Equal(t, teaches, table.estimatesOf("llm").baseSamples == 1, running)
	}
}
