package proxy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/config"
)

// requireShares has some mixers draw for some requests in turn, and holds each part of a split to its weight's share.
func requireShares(t *testing.T, mixers, requests int, off float64, weights ...float64) {
	t.Helper()
	route := &config.Route{Host: "h", PathPrefix: "/a/"}
	sum := 0.0
	for i, w := range weights {
		route.Split = append(route.Split, config.ServiceWeight{Service: fmt.Sprint(i), Weight: w})
		sum += w
	}
	all := make([]*trafficSplitter, mixers)
	for i := range all {
		all[i] = newTrafficSplitter()
	}
	got := map[string]float64{}
	for i := range requests {
		got[route.PickService(all[i%mixers].draw(route))]++
	}
	for i, w := range weights {
		require.InDelta(t, w/sum, got[fmt.Sprint(i)]/float64(requests), off, "%v, %d mixers, %d requests: part %d", weights, mixers, requests, i)
	}
}

// TestEachPartOfASplitGetsItsShare: over 200 requests and more, of one mixer or of many. The begin of each mixer's draws is random; the bounds
// hold for any of them, but for many mixers, where they are six standard deviations and more.
func TestTrafficSplitShares(t *testing.T) {
	for range 200 {
		for _, weights := range [][]float64{{90, 10}, {1, 1}, {1, 1, 1}, {0.5, 99.5}, {70, 0, 30}} {
			requireShares(t, 1, 200, 0.02, weights...)
			requireShares(t, 9, 300, 0.07, weights...)
			requireShares(t, 72, 2000, 0.07, weights...)
		}
	}
}

// TestASplitGoesOnAcrossConfigurations: the sequence is the route's, not the configuration's, and routes do not share one.
func TestTrafficSplitAcrossConfigurations(t *testing.T) {
	s := newTrafficSplitter()
	split := []config.ServiceWeight{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	got := map[string]int{}
	for range 100 { // a new configuration with each request
		got[(&config.Route{Host: "h", PathPrefix: "/a/", Split: split}).PickService(s.draw(&config.Route{Host: "h", PathPrefix: "/a/", Split: split}))]++
		s.draw(&config.Route{Host: "h", PathPrefix: "/b/", Split: split})
	}
	require.InDelta(t, 50, got["a"], 2)
	require.Zero(t, s.draw(&config.Route{Host: "h", PathPrefix: "/c/", Service: "a"}), "nothing is drawn for a route of one service")
	for i := range 2 * maxTrackedRoutes {
		s.draw(&config.Route{Host: fmt.Sprint(i), PathPrefix: "/", Split: split})
		require.LessOrEqual(t, len(s.next), maxTrackedRoutes)
	}
}
