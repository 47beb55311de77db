package superseded

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEachVersionCountsFromTheFirstNewerOne(t *testing.T) {
	times := History{}.With(2, 10*time.Second).With(3, 17*time.Second).With(3, 30*time.Second).With(1, 40*time.Second)
	for version, want := range map[int64]time.Duration{0: 10 * time.Second, 1: 10 * time.Second, 2: 17 * time.Second} {
		since, superseded := times.Since(version)
		require.True(t, superseded)
		require.Equal(t, want, since, version)
	}
	_, superseded := times.Since(3)
	require.False(t, superseded)
	require.Equal(t, int64(3), times.Newest())
	_, superseded = History{}.Since(1)
	require.False(t, superseded)
}

func TestManyVersionsAreBounded(t *testing.T) {
	times := History{}
	for version := int64(2); version < 100; version++ {
		times = times.With(version, time.Duration(version)*time.Second)
	}
	require.Len(t, times, maxVersions)
	since, _ := times.Since(1)
	require.Equal(t, 2*time.Second, since, "the oldest keep the earliest time")
	since, _ = times.Since(98)
	require.Equal(t, 99*time.Second, since)
}

func TestAgesOnTheirWay(t *testing.T) {
	times := History{}.With(2, DistantPast).With(3, 5*time.Second)
	told := FromAges(100*time.Second, times.Ages(7*time.Second))
	since, superseded := told.Since(1)
	require.True(t, superseded)
	require.Equal(t, DistantPast, since)
	since, _ = told.Since(2)
	require.InDelta(t, float64(98*time.Second), float64(since), float64(2*time.Millisecond))
	require.LessOrEqual(t, since, 98*time.Second)
	require.Equal(t, DistantPast, History{}.With(4, DistantPast).Merge(nil)[0].NotBefore)
}

// TestBoundsNeverComeLate merges what random tellers know, each of whom saw some of the versions and dates those by when it last knew of
// none newer: no bound is later than the naming itself, and none is earlier than what any of them knew.
func TestBoundsNeverComeLate(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		var truth History // when each version was named
		at := time.Duration(0)
		for version := int64(2); version < 2+int64(1+random.IntN(6)); version++ {
			at += time.Duration(random.IntN(5000)) * time.Millisecond
			truth = append(truth, Announcement{version, at})
		}
		merged := History{}
		var tellers []History
		for range 1 + random.IntN(4) {
			teller := observe(random, truth, at)
			tellers = append(tellers, teller)
			merged = merged.Merge(teller)
		}
		for version := int64(1); version < truth.Newest(); version++ {
			named, _ := truth.Since(version)
			since, superseded := merged.Since(version)
			if superseded {
				require.LessOrEqual(t, since, named, "seed %d version %d: %v of %v", seed, version, merged, truth)
			}
			for _, teller := range tellers {
				known, told := teller.Since(version)
				require.False(t, told && !superseded)
				if told {
					require.GreaterOrEqual(t, since, known, "seed %d version %d", seed, version)
				}
			}
		}
	}
}

// observe is what somebody knows who looked at the newest version at some moments, and maybe began late.
func observe(random *rand.Rand, truth History, end time.Duration) History {
	seen, last := History{}, DistantPast
	for now := time.Duration(random.IntN(int(end) + 1)); now <= end+time.Second; now += time.Duration(1 + random.IntN(int(3*time.Second))) {
		newest := int64(0)
		for _, n := range truth {
			if n.NotBefore <= now {
				newest = n.Version
			}
		}
		seen = seen.With(newest, last)
		last = now
	}
	return seen
}
