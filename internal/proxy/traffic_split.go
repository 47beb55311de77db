package proxy

import (
	"math/rand/v2"
	"sync"

	"nettlefold/internal/config"
)

const (
	// goldenStep is the fractional part of the golden ratio. Its multiples fill [0, 1) evenly however many there are, so that each part of
	// a split gets its share of few requests too; independent draws stray by 0.03 in 200.
	goldenRatioFraction = 0.6180339887498949
	// mostSplits bounds the routes whose place is remembered.
	maxTrackedRoutes = 4096
)

// splits draws which part of a route's traffic_split each request goes to. Each route's sequence goes on when the configuration changes;
// it begins at random, as otherwise all mixers would send their first requests to the same part.
type trafficSplitter struct {
	mu   sync.Mutex
	next map[string]float64 // by routeKey
}

func newTrafficSplitter() *trafficSplitter { return &trafficSplitter{next: map[string]float64{}} }

// draw gives a route's next number in [0, 1).
func (s *trafficSplitter) draw(r *config.Route) float64 {
	if len(r.Split) == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := routeKey(r)
	drawn, known := s.next[key]
	if !known {
		drawn = rand.Float64()
		if len(s.next) >= maxTrackedRoutes {
			clear(s.next)
		}
	}
	following := drawn + goldenRatioFraction
	if following >= 1 {
		following--
	}
	s.next[key] = following
	return drawn
}

// routeKey tells routes apart, also across configurations.
func routeKey(r *config.Route) string { return r.Host + r.PathPrefix }
