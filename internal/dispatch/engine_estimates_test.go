package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPrefillSpeedConvergesDespiteUnknownWork: half of the responses wait behind work that was not reported, some
// prompts are cached without being in the index, and all have a base latency.
func TestPrefillSpeedConvergesDespiteUnknownWork(t *testing.T) {
	const trueTokensPerMS, trueBaseMS = 93.0, 95.0
	for _, initial := range []float64{10, 40, 400} {
		random := rand.New(rand.NewPCG(7, 7))
		l := &engineEstimates{tokensPerMS: initial}
		for range 400 {
			tokens := 200 + random.IntN(12000)
			ms := trueBaseMS + prefillTimeMS(0, tokens, trueTokensPerMS)
			if random.IntN(2) == 0 {
				ms += random.ExpFloat64() * 200
			}
			if random.IntN(25) == 0 {
				ms = trueBaseMS + 1 // the whole prompt was cached
			}
			l.observeLatency(0, tokens, ms)
		}
		require.InEpsilon(t, trueTokensPerMS, l.tokensPerMS, 0.15, "starting from %v tokens per ms", initial)
		require.InEpsilon(t, trueBaseMS, l.baseMS, 0.15, "starting from %v tokens per ms", initial)
	}
}

// TestUnexpectedDelayCapsOutliers guards against a long period of random choices, by a large cost jitter, after one
// response that took a minute.
func TestUnexpectedDelayCapsOutliers(t *testing.T) {
	l := &engineEstimates{tokensPerMS: initialTokensPerMS}
	l.observeDelay(100, 60_000)
	require.LessOrEqual(t, l.unexpectedDelayMS, movingMeanWeight*maxUnexpectedDelayMS)
	for range 60 {
		l.observeDelay(100, 90)
	}
	require.Less(t, l.unexpectedDelayMS, 1.0)
}

// TestPickSpreadsOverSimilarEngines guards against mixers that see the same loads and all choose the same engine:
// once responses are later than expected, choices are spread by the cost jitter.
func TestPickSpreadsOverSimilarEngines(t *testing.T) {
	var list []BackendInfo
	for n := range 20 {
		list = append(list, backendInfo(n, 1))
	}
	picks := func(unexpectedDelayMS float64) map[string]int {
		loads := map[string]Load{}
		for n := range 20 {
			loads[list[n].ID] = Load{Running: 1 + n%4} // 3 ms for each running request
		}
		ids := map[string]int{}
		for seed := range uint64(200) {
			table := newTable(t, list...)
			table.random = rand.New(rand.NewPCG(seed, 1))
			table.estimatesOf("llm").unexpectedDelayMS = unexpectedDelayMS
			table.SetOtherLoads(loads)
			ids[table.Pick(time.Second, &Request{Service: "llm", Model: "m", PromptTokens: 500}).ID]++
		}
		return ids
	}
	require.Len(t, picks(0), 5, "only the engines with the lowest load")
	require.Greater(t, len(picks(100)), 15)
}

// TestLinkQueueTimeIsLearned checks that the link queue time is the unexpected delay of responses with a fetch
// minus that of responses without.
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
	require.Zero(t, l.linkQueueMS(), "fetches without additional delay do not queue")
	l.observeFetchDelay(100, 60_000)
	require.LessOrEqual(t, l.linkQueueMS(), movingMeanWeight*maxUnexpectedFetchDelayMS)
}

// TestNearlyIdleEngineTeachesSpeed guards against estimates that are never updated in a busy fleet, where hardly
// any engine is completely idle.
func TestNearlyIdleEngineTeachesSpeed(t *testing.T) {
	for running, learns := range map[int]bool{0: true, 4: true, 20: false} {
		table := newTable(t, backendInfo(1, 1))
		table.SetOtherLoads(map[string]Load{"b1": {Running: running}})
		c := table.Pick(0, &Request{Service: "llm", Model: "m", PromptTokens: 500})
		table.RecordFirstByte(100*time.Millisecond, c, "llm")
		require.Equal(t, learns, table.estimatesOf("llm").baseSamples == 1, "sample taken with %d running requests", running)
	}
}
