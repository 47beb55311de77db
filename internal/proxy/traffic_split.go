package proxy

import (
	"math/rand/v2"
	"sync"

	"nettlefold/internal/config"
)

const (
	// goldenRatioFraction is the fractional part of the golden ratio. Its multiples modulo 1 form a
	// low-discrepancy sequence, so that each service of a split gets its share of few requests too.
	// Independent random draws deviate by 0.03 in 200.
	goldenRatioFraction = 0.6180339887498949
	// maxTrackedRoutes bounds the routes whose position in the sequence is kept.
	maxTrackedRoutes = 4096
)

// trafficSplitter draws the number that decides to which service of its route's traffic_split a
// request goes. The sequence of a route continues when the configuration changes. It starts at a
// random number, because otherwise all mixers would send their first requests to the same service.
type trafficSplitter struct {
	mu   sync.Mutex
	next map[string]float64 // by routeKey
}

func newTrafficSplitter() *trafficSplitter { return &trafficSplitter{next: map[string]float64{}} }

// draw returns the next number in [0, 1) for a route, 0 if the route has no split.
func (s *trafficSplitter) draw(r *config.Route) float64 {
	if len(r.Split) == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := routeKey(r)
	number, known := s.next[key]
	if !known {
		number = rand.Float64()
		if len(s.next) >= maxTrackedRoutes {
			clear(s.next)
		}
	}
	next := number + goldenRatioFraction
	if next >= 1 {
		next--
	}
	s.next[key] = next
	return number
}

// routeKey identifies a route across configurations.
func routeKey(r *config.Route) string { return r.Host + r.PathPrefix }
