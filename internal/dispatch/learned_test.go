package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTheSpeedIsLearnedThoughMuchIsUnseen: half of the answers wait behind work that nobody told of, and all have a time before the reading.
func TestTheSpeedIsLearnedThoughMuchIsUnseen(t *testing.T) {
	const trueSpeed, trueBase = 93.0, 95.0
	for _, first := range []float64{10, 40, 400} {
		random := rand.New(rand.NewPCG(7, 7))
		l := &learned{tokensPerMS: first}
		for range 400 {
			tokens := 200 + random.IntN(12000)
			ms := trueBase + readMS(0, tokens, trueSpeed)
			if random.IntN(2) == 0 {
				ms += random.ExpFloat64() * 200
			}
			if random.IntN(25) == 0 {
				ms = trueBase + 1 // all of it was kept there
			}
			l.take(0, tokens, ms)
		}
		require.InEpsilon(t, trueSpeed, l.tokensPerMS, 0.15, "from %v", first)
		require.InEpsilon(t, trueBase, l.baseMS, 0.15, "from %v", first)
	}
}

// TestAStallIsNoMeasureOfWhatIsUnseen: one answer that takes a minute does not have engines drawn at random for long.
func TestAStallIsNoMeasureOfWhatIsUnseen(t *testing.T) {
	l := &learned{tokensPerMS: firstTokensPerMS}
	l.compare(100, 60_000)
	require.LessOrEqual(t, l.unseenMS, meanWeight*unseenMost)
	for range 60 {
		l.compare(100, 90)
	}
	require.Less(t, l.unseenMS, 1.0)
}

// TestEnginesThatSeemAlikeAreDrawn: mixers that know the same of all engines do not choose the same one, once answers came later than they
// expected.
func TestEnginesThatSeemAlikeAreDrawn(t *testing.T) {
	var list []Listed
	for n := range 20 {
		list = append(list, backend(n, 1))
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
			table.learnedOf("llm").unseenMS = unseen
			table.SetLoads(loads)
			ids[table.Pick(time.Second, &Request{Service: "llm", Model: "m", Prompt: 500}).ID]++
		}
		return ids
	}
	require.Len(t, chosen(0), 5, "those with the least there alone")
	require.Greater(t, len(chosen(100)), 15)
}

// TestFetchesThatWaitAreLearned: what answers with a fetch take beyond what is expected, more than others do, is what fetches wait for on links.
func TestFetchesThatWaitAreLearned(t *testing.T) {
	l := &learned{tokensPerMS: firstTokensPerMS, baseMS: 90}
	for range 60 {
		l.compare(100, 230)
		l.compareFetch(100, 590)
	}
	require.InDelta(t, 360, l.linkWait(), 5)
	for range 60 {
		l.compareFetch(100, 200)
	}
	require.Zero(t, l.linkWait(), "fetches that are no later than others wait for nothing")
	l.compareFetch(100, 60_000)
	require.LessOrEqual(t, l.linkWait(), meanWeight*fetchOverMost)
}

// TestAnEngineWithLittleToDoTeachesItsSpeed: in a busy fleet hardly any engine has nothing to do at all.
func TestAnEngineWithLittleToDoTeachesItsSpeed(t *testing.T) {
	for running, teaches := range map[int]bool{0: true, 4: true, 20: false} {
		table := newTable(t, backend(1, 1))
		table.SetLoads(map[string]Load{"b1": {Running: running}})
		c := table.Pick(0, &Request{Service: "llm", Model: "m", Prompt: 500})
		table.Began(100*time.Millisecond, c, "llm")
		require.Equal(t, teaches, table.learnedOf("llm").bases == 1, running)
	}
}
