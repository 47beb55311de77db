package proxy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/config"
)

// requireShares lets mixers draw for requests in turn, and requires that the share of requests of each
// service differs from its weight's share by at most tolerance.
func requireShares(t *testing.T, mixers, requests int, tolerance float64, weights ...float64) {
	t.Helper()
	route := &config.Route{Host: "h", PathPrefix: "/a/"}
	sum := 0.0
	for i, weight := range weights {
		route.Split = append(route.Split, config.ServiceWeight{Service: fmt.Sprint(i), Weight: weight})
		sum += weight
	}
	splitters := make([]*trafficSplitter, mixers)
	for i := range splitters {
		splitters[i] = newTrafficSplitter()
	}
	got := map[string]float64{}
	for i := range requests {
		got[route.PickService(splitters[i%mixers].draw(route))]++
	}
	for i, weight := range weights {
		require.InDelta(t, weight/sum, got[fmt.Sprint(i)]/float64(requests), tolerance,
			"share of service %d with weights %v, %d mixers, %d requests", i, weights, mixers, requests)
	}
}

// TestTrafficSplitShares checks the shares of 200 and more requests at one or many mixers. The draws of
// each mixer start at a random number. For one mixer the tolerance holds for any start; for many
// mixers it is at least six standard deviations.
func TestTrafficSplitShares(t *testing.T) {
	for range 200 {
		for _, weights := range [][]float64{{90, 10}, {1, 1}, {1, 1, 1}, {0.5, 99.5}, {70, 0, 30}} {
			requireShares(t, 1, 200, 0.02, weights...)
			requireShares(t, 9, 300, 0.07, weights...)
			requireShares(t, 72, 2000, 0.07, weights...)
		}
	}
}

// TestTrafficSplitAcrossConfigurations checks that a route continues its sequence when the
// configuration changes, and that routes don't share a sequence.
func TestTrafficSplitAcrossConfigurations(t *testing.T) {
	s := newTrafficSplitter()
	split := []config.ServiceWeight{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	got := map[string]int{}
	for range 100 { // a new configuration with each request
		got[(&config.Route{Host: "h", PathPrefix: "/a/", Split: split}).PickService(s.draw(&config.Route{Host: "h", PathPrefix: "/a/", Split: split}))]++
		s.draw(&config.Route{Host: "h", PathPrefix: "/b/", Split: split})
	}
	require.InDelta(t, 50, got["a"], 2, "requests of 100 to service a with equal weights")
	require.Zero(t, s.draw(&config.Route{Host: "h", PathPrefix: "/c/", Service: "a"}), "number drawn for a route without a split")
	for i := range 2 * maxTrackedRoutes {
		s.draw(&config.Route{Host: fmt.Sprint(i), PathPrefix: "/", Split: split})
		require.LessOrEqual(t, len(s.next), maxTrackedRoutes)
	}
}
