package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/kvindex"
)

// slowLinks is a table whose engines read faster than their links move: 90 tokens a ms against 66 within a zone.
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

// TestPickPrefillsWhenTransferIsSlower: what is not shared and soon read is not fetched behind moves that take longer.
func TestPickPrefillsWhenTransferIsSlower(t *testing.T) {
	table := newSlowLinkTable(t, backendInfo(1, 1), backendInfo(2, 1))
	own := []kvindex.Part{{ID: "own", Tokens: 3000}}
	table.Index().Apply(&kvindex.Batch{Backend: "b2", Snapshot: true, Changes: []kvindex.Change{{Key: kvindex.KeyOf("v1", "m", "own"), Tokens: 3000}}})
	r := &Request{Service: "llm", Model: "m", Parts: own, PromptTokens: 3000}
	table.SetOtherLoads(map[string]Load{"b2": {Running: 10, QueuedPrefillMS: 3000}})
	c := table.Pick(0, r)
	require.Equal(t, "b1", c.ID)
	require.Empty(t, c.FetchAddr, "46 ms of moving for 37 ms of reading that nobody else asks for")
	table.End(0, c, Completed)

	table.SetOtherLoads(map[string]Load{"b2": {Running: 10, QueuedPrefillMS: 9000}})
	table.estimatesOf("llm").unexpectedFetchDelayMS = 900
	setCachedParts(table, "b2", "v1", 2)
	c = table.Pick(0, promptRequest())
	require.Equal(t, "10.0.0.2:80", c.FetchAddr, "shared parts of 13,000 tokens are fetched also behind moves: reading them again costs all")
}

// TestFetchLoadIsReleased: what is booked for a fetch and its reading goes with the begin of the answer, or with its end.
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
	require.Empty(t, table.OwnLoads(), "nothing of it is left where it never began")
}

// TestPickWaterFillsNearestHolders: moves between zones take twice as long, so others are named only where the zone has none.
func TestPickWaterFillsNearestHolders(t *testing.T) {
	table := newSlowLinkTable(t, backendInfo(1, 1), backendInfo(2, 1), backendInfo(3, 1), inZone(backendInfo(4, 1), "b"))
	busy := Load{Running: 10, QueuedPrefillMS: 9000}
	table.SetOtherLoads(map[string]Load{"b2": busy, "b3": busy, "b4": busy})
	for _, id := range []string{"b2", "b3", "b4"} {
		setCachedParts(table, id, "v1", 2)
	}
	named := map[string]int{}
	for range 6 {
		c := table.Pick(0, promptRequest())
		require.Equal(t, "b1", c.ID)
		named[c.FetchAddr]++
	}
	require.Equal(t, map[string]int{"10.0.0.2:80": 3, "10.0.0.3:80": 3}, named)
	table.Index().Remove("b2")
	table.Index().Remove("b3")
	require.Equal(t, "10.0.0.4:80", table.Pick(0, promptRequest()).FetchAddr)
}

func TestCrossZoneTransferTime(t *testing.T) {
	s := newSlowLinkTable(t).service("llm")
	require.InDelta(t, transferTimeMS(s, 13000, true)-fetchBaseMS, (transferTimeMS(s, 13000, false)-fetchBaseMS)/crossZoneTransferFactor, 1e-9)
}

// TestSaveOnlyWhenTransferIsFaster: where moving a prompt takes longer than reading it, the store is sent nothing: the save would hold up fetches.
func TestSaveOnlyWhenTransferIsFaster(t *testing.T) {
	for mbps, saves := range map[float64]bool{69000: false, 690000: true} {
		table := newSlowLinkTable(t, backendInfo(1, 1))
		table.config.Service("llm").Engine.LinkMbps = mbps
		table.stores["s"] = &Backend{BackendInfo: BackendInfo{ID: "s", Addr: "10.9.0.1:80"}}
		require.Equal(t, saves, table.Pick(0, promptRequest()).SaveAddr != "", mbps)
	}
}

// TestCopyCostUnderMemoryPressure: while nothing that was displaced is asked for, memory has room and a prompt is fetched to an engine that is free.
// Where much is, a copy displaces what others ask for, and the prompt goes to the engine that keeps it, though it waits there.
func TestCopyCostUnderMemoryPressure(t *testing.T) {
	for short, wants := range map[bool]string{false: "b1", true: "b2"} {
		table := newSlowLinkTable(t, backendInfo(1, 1), backendInfo(2, 1))
		setCachedParts(table, "b2", "v1", 2)
		table.SetOtherLoads(map[string]Load{"b2": {Running: 1, QueuedPrefillMS: 600}})
		l := table.estimatesOf("llm")
		for range 200 {
			displaced := 0
			if short {
				displaced = 2000
			}
			l.observeEvictions(13000, displaced)
		}
		c := table.Pick(0, promptRequest())
		require.Equal(t, wants, c.ID, "short of memory: %v", short)
		require.Equal(t, !short, c.FetchAddr != "")
	}
}

func TestEvictedShareIsWeightedByTokens(t *testing.T) {
	l := &engineEstimates{tokensPerMS: 90}
	require.Zero(t, l.evictedShare(), "nothing is known yet")
	for range 500 {
		l.observeEvictions(12000, 0)
		l.observeEvictions(350, 350)
	}
	require.InDelta(t, 350.0/12350, l.evictedShare(), 0.01, "small prompts say little")
}

// TestEvictedTokensCountOnlyEvictions: a first use is no sign of short memory, a part that an engine dropped and nobody keeps is.
func TestEvictedTokensCountOnlyEvictions(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 1))
	r := promptRequest()
	displaced := func() int { return table.evictedTokens(r, table.promptFor(0, table.newSelection(r, nil), 1)) }
	require.Zero(t, displaced())
	cursor := kvindex.Cursor{Epoch: 1}
	change := func(id string, from kvindex.Cursor, changes ...kvindex.Change) kvindex.Cursor {
		next := kvindex.Cursor{Epoch: 1, Next: from.Next + 1}
		require.True(t, table.Index().Apply(&kvindex.Batch{Backend: id, From: from, To: next, Changes: changes}))
		return next
	}
	keys := kvindex.Keys("v1", "m", testParts)
	cursor = change("b1", cursor, kvindex.Change{Key: keys[0], Tokens: 1000}, kvindex.Change{Key: keys[1], Tokens: 12000}, kvindex.Change{Key: keys[2], Tokens: 3000})
	require.Zero(t, displaced())
	change("b1", cursor, kvindex.Change{Key: keys[1]}, kvindex.Change{Key: keys[2]})
	require.Equal(t, 12000, displaced(), "the request's own part counts for nothing")
	change("b2", kvindex.Cursor{}, kvindex.Change{Key: keys[0], Tokens: 1000}, kvindex.Change{Key: keys[1], Tokens: 9000})
	require.Equal(t, 3000, displaced(), "another keeps most of it")
}
