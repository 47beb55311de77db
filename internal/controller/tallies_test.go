package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// inTallyWorld plays a core of three that keeps tallies, in a bubble.
func inTallyWorld(t *testing.T, play func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorldOf(t, 3, contractTallies)
		defer w.close()
		time.Sleep(2 * time.Second)
		play(w)
	})
}

// addTo adds at a machine: the status, 0 where no answer came in time.
func (w *world) addTo(ip, name, id string, by int) int {
	status, _ := w.ask(ip, http.MethodPost, "/v1/tallies/"+name, "", fmt.Sprintf(`{"id":%q,"by":%d}`, id, by))
	return status
}

// totalAt reads a tally at a machine, -1 where it is not answered.
func (w *world) totalAt(ip, name string) int {
	status, text := w.ask(ip, http.MethodGet, "/v1/tallies/"+name, "", "")
	total := -1
	if status == http.StatusOK {
		_, err := fmt.Sscanf(text, `{"total":%d}`, &total)
		require.NoError(w.t, err)
	}
	return total
}

func TestAddsCountOnceAtWhicheverMachine(t *testing.T) {
	inTallyWorld(t, func(w *world) {
		require.Equal(t, 0, w.totalAt(ipOf(1), "t"))
		require.Equal(t, http.StatusOK, w.addTo(ipOf(1), "t", "a", 4))
		require.Equal(t, http.StatusOK, w.addTo(ipOf(2), "t", "a", 4))
		require.Equal(t, http.StatusOK, w.addTo(ipOf(3), "t", "b", 3))
		require.Equal(t, http.StatusConflict, w.addTo(ipOf(1), "t", "a", 5))
		require.Equal(t, http.StatusConflict, w.addTo(ipOf(1), "u", "a", 4))
		time.Sleep(time.Second)
		for i := 1; i <= 3; i++ {
			require.Equal(t, 7, w.totalAt(ipOf(i), "t"))
			require.Equal(t, 0, w.totalAt(ipOf(i), "u"))
		}
	})
}

func TestBothSidesOfACutKeepTheirTallies(t *testing.T) {
	inTallyWorld(t, func(w *world) {
		w.separateCore(true, ipOf(1))
		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusOK, w.addTo(ipOf(1), "t", "both", 1))
		require.Equal(t, http.StatusOK, w.addTo(ipOf(2), "t", "both", 1))
		for n := range 20 {
			require.Equal(t, http.StatusOK, w.addTo(ipOf(1), "t", fmt.Sprint("one ", n), 1))
			require.Equal(t, http.StatusOK, w.addTo(ipOf(2), "t", fmt.Sprint("two ", n), 1))
		}
		require.Equal(t, 21, w.totalAt(ipOf(1), "t"))
		require.Equal(t, 21, w.totalAt(ipOf(2), "t"))
		w.separateCore(false, ipOf(1))
		time.Sleep(3 * time.Second)
		for i := 1; i <= 3; i++ {
			require.Equal(t, 41, w.totalAt(ipOf(i), "t"))
		}
	})
}

// TestFiguresOfTallies: during a cut each side tells how many others it reaches and what they lack.
func TestFiguresOfTallies(t *testing.T) {
	inTallyWorld(t, func(w *world) {
		require.Equal(t, 2.0, w.figure(ipOf(1), "tally_peers_in_reach"))
		w.separateCore(true, ipOf(1))
		time.Sleep(2 * time.Second)
		require.Zero(t, w.figure(ipOf(1), "tally_peers_in_reach"))
		require.Equal(t, 1.0, w.figure(ipOf(2), "tally_peers_in_reach"))
		require.Equal(t, http.StatusOK, w.addTo(ipOf(1), "t", "a", 1))
		status, err := w.machines[ipOf(1)].controller.tallies.status(w.t.Context())
		require.NoError(t, err)
		require.Equal(t, uint64(1), status.Peers[0].Behind)
		w.separateCore(false, ipOf(1))
		time.Sleep(3 * time.Second)
		require.Equal(t, 1.0, w.figure(ipOf(2), "tally_merged_total"))
		require.Zero(t, w.figure(ipOf(2), "tally_behind"))
	})
}

// TestWithoutTheContractThereAreNoTallies: no route, no file.
func TestWithoutTheContractThereAreNoTallies(t *testing.T) {
	inWorld(t, 1, func(w *world, _ *rand.Rand) {
		require.Equal(t, http.StatusNotFound, w.addTo(ipOf(1), "t", "a", 1))
		files, err := filepath.Glob(filepath.Join(w.machines[ipOf(1)].settings.DataDirectory, "*tallies*"))
		require.NoError(t, err)
		require.Empty(t, files)
	})
}

// TestAnAddNeedsNoSlowAnswer: with all machines there, an add takes some round trips and no timer.
func TestAnAddNeedsNoSlowAnswer(t *testing.T) {
	inTallyWorld(t, func(w *world) {
		require.Equal(t, http.StatusOK, w.addTo(ipOf(1), "t", "first", 1))
		before := time.Now()
		require.Equal(t, http.StatusOK, w.addTo(ipOf(1), "t", "second", 1))
		require.Less(t, time.Since(before), 50*time.Millisecond)
	})
}
