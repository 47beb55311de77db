package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/kvindex"
)

// newSlowLinkTable returns a table whose engines prefill faster than their links transfer: 90 tokens per ms
// against 66 within a zone.
func newSlowLinkTable(t *testing.T, list ...BackendInfo) *Table {
	t.Helper()
	table := newTable(t, list...)
	table.config.Service("llm").Engine.KVTokenBytes = 131072
	table.config.Service("llm").Engine.LinkMbps = 69000
	table.estimatesOf("llm").tokensPerMS = 90
	return table
}

func inZone(l BackendInfo, zone string) BackendInfo {
	l.Zone = zone
	return l
}

// TestPickPrefillsWhenTransferIsSlower guards against fetching a small part that no other request shares when
// its prefill takes less time than the transfer.
func TestPickPrefillsWhenTransferIsSlower(t *testing.T) {
	table := newSlowLinkTable(t, backendInfo(1, 1), backendInfo(2, 1))
	own := []kvindex.Part{{ID: "own", Tokens: 3000}}
	table.Index().Apply(&kvindex.Batch{Backend: "b2", Snapshot: true, Changes: []kvindex.Change{{Key: kvindex.KeyOf("v1", "m", "own"), Tokens: 3000}}})
	r := &Request{Service: "llm", Model: "m", Parts: own, PromptTokens: 3000}
	table.SetOtherLoads(map[string]Load{"b2": {Running: 10, QueuedPrefillMS: 3000}})
	c := table.Pick(0, r)
	require.Equal(t, "b1", c.ID)
	require.Empty(t, c.FetchAddr, "a transfer takes 46 ms, the prefill of the unshared part 37 ms")
	table.End(0, c, Completed)

	table.SetOtherLoads(map[string]Load{"b2": {Running: 10, QueuedPrefillMS: 9000}})
	table.estimatesOf("llm").unexpectedFetchDelayMS = 900
	setCachedParts(table, "b2", "v1", 2)
	c = table.Pick(0, promptRequest())
	require.Equal(t, "10.0.0.2:80", c.FetchAddr, "13,000 shared tokens are fetched despite the queue on the link, because a duplicate prefill costs all requests")
}

// TestFetchLoadIsReleased checks that the load of a request with a fetch is released: the queued prefill at the
// first byte, and the rest at the end, also without a first byte.
func TestFetchLoadIsReleased(t *testing.T) {
	table := newSlowLinkTable(t, backendInfo(1, 1), backendInfo(2, 1))
	setCachedParts(table, "b2", "v1", 2)
	table.SetOtherLoads(map[string]Load{"b2": {Running: 10, QueuedPrefillMS: 9000}})
	c := table.Pick(0, promptRequest())
	require.NotEmpty(t, c.FetchAddr)
	require.Positive(t, table.OwnLoads()["b1"].QueuedPrefillMS)
	table.RecordFirstByte(time.Second, c, "llm")
	require.Zero(t, table.OwnLoads()["b1"].QueuedPrefillMS)
	require.Equal(t, 1, table.OwnLoads()["b1"].Running)
	table.End(time.Second, c, Completed)
	require.Empty(t, table.OwnLoads())

	c = table.Pick(2*time.Second, promptRequest())
	table.End(2*time.Second, c, Failed)
	require.Empty(t, table.OwnLoads(), "no load remains after a failure without a first byte")
}

// TestPickWaterFillsNearestHolders checks that holders in other zones are used only if the zone has none, because
// transfers between zones take twice as long.
func TestPickWaterFillsNearestHolders(t *testing.T) {
	table := newSlowLinkTable(t, backendInfo(1, 1), backendInfo(2, 1), backendInfo(3, 1), inZone(backendInfo(4, 1), "b"))
	busy := Load{Running: 10, QueuedPrefillMS: 9000}
	table.SetOtherLoads(map[string]Load{"b2": busy, "b3": busy, "b4": busy})
	for _, id := range []string{"b2", "b3", "b4"} {
		setCachedParts(table, id, "v1", 2)
	}
	fetches := map[string]int{}
	for range 6 {
		c := table.Pick(0, promptRequest())
		require.Equal(t, "b1", c.ID)
		fetches[c.FetchAddr]++
	}
	require.Equal(t, map[string]int{"10.0.0.2:80": 3, "10.0.0.3:80": 3}, fetches)
	table.Index().Remove("b2")
	table.Index().Remove("b3")
	require.Equal(t, "10.0.0.4:80", table.Pick(0, promptRequest()).FetchAddr)
}

func TestCrossZoneTransferTime(t *testing.T) {
	s := newSlowLinkTable(t).service("llm")
	require.InDelta(t, transferTimeMS(s, 13000, true)-fetchBaseMS, (transferTimeMS(s, 13000, false)-fetchBaseMS)/crossZoneTransferFactor, 1e-9)
}

// TestSaveOnlyWhenTransferIsFaster checks that nothing is saved to the store where a transfer takes longer than the
// prefill: the save would delay fetches.
func TestSaveOnlyWhenTransferIsFaster(t *testing.T) {
	for mbps, saves := range map[float64]bool{69000: false, 690000: true} {
		table := newSlowLinkTable(t, backendInfo(1, 1))
		table.config.Service("llm").Engine.LinkMbps = mbps
		table.stores["s"] = &Backend{BackendInfo: BackendInfo{ID: "s", Addr: "10.9.0.1:80"}}
		require.Equal(t, saves, table.Pick(0, promptRequest()).SaveAddr != "", "saved at %v Mbit/s", mbps)
	}
}

// TestCopyCostUnderMemoryPressure: while no evicted tokens are requested, memory is sufficient and a prompt is
// fetched to an idle engine. When many are, a copy would evict tokens that others request, and the prompt goes to
// the engine that has it cached, despite the queue there.
func TestCopyCostUnderMemoryPressure(t *testing.T) {
	for pressure, want := range map[bool]string{false: "b1", true: "b2"} {
		table := newSlowLinkTable(t, backendInfo(1, 1), backendInfo(2, 1))
		setCachedParts(table, "b2", "v1", 2)
		table.SetOtherLoads(map[string]Load{"b2": {Running: 1, QueuedPrefillMS: 600}})
		l := table.estimatesOf("llm")
		for range 200 {
			evicted := 0
			if pressure {
				evicted = 2000
			}
			l.observeEvictions(13000, evicted)
		}
		c := table.Pick(0, promptRequest())
		require.Equal(t, want, c.ID, "backend with memory pressure %v", pressure)
		require.Equal(t, !pressure, c.FetchAddr != "", "fetch with memory pressure %v", pressure)
	}
}

func TestEvictedShareIsWeightedByTokens(t *testing.T) {
	l := &engineEstimates{tokensPerMS: 90}
	require.Zero(t, l.evictedShare(), "without any sample")
	for range 500 {
		l.observeEvictions(12000, 0)
		l.observeEvictions(350, 350)
	}
	require.InDelta(t, 350.0/12350, l.evictedShare(), 0.01, "small prompts have little weight")
}

// TestEvictedTokensCountOnlyEvictions checks that the first use of a part does not count as a sign of memory
// pressure, and that a part that was evicted and is cached nowhere does.
func TestEvictedTokensCountOnlyEvictions(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 1))
	r := promptRequest()
	evicted := func() int { return table.evictedTokens(r, table.promptFor(0, table.newSelection(r, nil), 1)) }
	require.Zero(t, evicted())
	cursor := kvindex.Cursor{Epoch: 1}
	apply := func(id string, from kvindex.Cursor, changes ...kvindex.Change) kvindex.Cursor {
		next := kvindex.Cursor{Epoch: 1, Next: from.Next + 1}
		require.True(t, table.Index().Apply(&kvindex.Batch{Backend: id, From: from, To: next, Changes: changes}))
		return next
	}
	keys := kvindex.Keys("v1", "m", testParts)
	cursor = apply("b1", cursor, kvindex.Change{Key: keys[0], Tokens: 1000}, kvindex.Change{Key: keys[1], Tokens: 12000},
		kvindex.Change{Key: keys[2], Tokens: 3000})
	require.Zero(t, evicted())
	apply("b1", cursor, kvindex.Change{Key: keys[1]}, kvindex.Change{Key: keys[2]})
	require.Equal(t, 12000, evicted(), "the last part is not shared and does not count")
	apply("b2", kvindex.Cursor{}, kvindex.Change{Key: keys[0], Tokens: 1000}, kvindex.Change{Key: keys[1], Tokens: 9000})
	require.Equal(t, 3000, evicted(), "b2 has 9,000 of the 12,000 tokens cached")
}
