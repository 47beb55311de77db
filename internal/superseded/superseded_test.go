package superseded

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSince(t *testing.T) {
	history := History{}.With(2, 10*time.Second).With(3, 17*time.Second).With(3, 30*time.Second).With(1, 40*time.Second)
	for version, want := range map[int64]time.Duration{0: 10 * time.Second, 1: 10 * time.Second, 2: 17 * time.Second} {
		since, superseded := history.Since(version)
		require.True(t, superseded)
		require.Equal(t, want, since, "version %d", version)
	}
	_, superseded := history.Since(3)
	require.False(t, superseded)
	require.Equal(t, int64(3), history.Newest())
	_, superseded = History{}.Since(1)
	require.False(t, superseded)
}

func TestMaxVersions(t *testing.T) {
	history := History{}
	for version := int64(2); version < 100; version++ {
		history = history.With(version, time.Duration(version)*time.Second)
	}
	require.Len(t, history, maxVersions)
	since, _ := history.Since(1)
	require.Equal(t, 2*time.Second, since, "time of the dropped versions")
	since, _ = history.Since(98)
	require.Equal(t, 99*time.Second, since)
}

func TestAgesRoundTrip(t *testing.T) {
	history := History{}.With(2, DistantPast).With(3, 5*time.Second)
	received := FromAges(100*time.Second, history.Ages(7*time.Second))
	since, superseded := received.Since(1)
	require.True(t, superseded)
	require.Equal(t, DistantPast, since)
	since, _ = received.Since(2)
	require.InDelta(t, float64(98*time.Second), float64(since), float64(2*time.Millisecond))
	require.LessOrEqual(t, since, 98*time.Second)
	require.Equal(t, DistantPast, History{}.With(4, DistantPast).Merge(nil)[0].NotBefore)
}

// TestMerge merges the histories of random observers, each of which saw some of the versions and dates them
// by its previous observation. A merged bound must be no later than the announcement and no earlier than
// the bound of any observer.
func TestMerge(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		var truth History // when each version was announced
		at := time.Duration(0)
		for version := int64(2); version < 2+int64(1+random.IntN(6)); version++ {
			at += time.Duration(random.IntN(5000)) * time.Millisecond
			truth = append(truth, Announcement{version, at})
		}
		merged := History{}
		var observed []History
		for range 1 + random.IntN(4) {
			history := observe(random, truth, at)
			observed = append(observed, history)
			merged = merged.Merge(history)
		}
		for version := int64(1); version < truth.Newest(); version++ {
			announced, _ := truth.Since(version)
			since, superseded := merged.Since(version)
			if superseded {
				require.LessOrEqual(t, since, announced, "seed %d version %d: merged %v, announced %v", seed, version, merged, truth)
			}
			for _, history := range observed {
				known, supersededHere := history.Since(version)
				require.False(t, supersededHere && !superseded, "seed %d version %d", seed, version)
				if supersededHere {
					require.GreaterOrEqual(t, since, known, "seed %d version %d", seed, version)
				}
			}
		}
	}
}

// observe returns the history of an observer that reads the newest version at random times, and may start
// late.
func observe(random *rand.Rand, truth History, end time.Duration) History {
	history, last := History{}, DistantPast
	for now := time.Duration(random.IntN(int(end) + 1)); now <= end+time.Second; now += time.Duration(1 + random.IntN(int(3*time.Second))) {
		newest := int64(0)
		for _, n := range truth {
			if n.NotBefore <= now {
				newest = n.Version
			}
		}
		history = history.With(newest, last)
		last = now
	}
	return history
}
