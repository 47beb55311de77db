package subset

import "math"

const (
	spare  = 1.5  // of the greatest subset's share of a cell's holders: by chance of the hash some of it sit so far behind
	chance = 1e-9 // that one searcher is used by more mixers than Users says
)

// Bounds says by how many mixers one searcher is used, for the cold budget, which is the fleet's.
type Bounds struct {
	ColdShare float64 // of the mixers, those that may use one searcher while it is cold, 1: all
	Users     int     // the most that do, but for a chance of 1e-9 for each searcher; 0: all
	UsersMean int     // the least that use one in the mean
}

// Bound gives the bounds where the smallest and the largest cell have so many holders. Each mixer may use a cold
// searcher or not by a hash of both names, which is as a toss of its own with the chance ColdShare. So the number of its users
// is bounded by Bernstein's inequality, whatever the sizes of subsets and cells come to be: P(X >= mean+t) <= exp(-t*t/(2v+2t/3))
// with v the variance (S. Bernstein 1924; Boucheron, Lugosi, Massart, Concentration Inequalities, 2013, 2.8). Where all holders of
// the smallest cell may be used, or it saves nothing, each searcher is held to be used by all.
func Bound(o Options, smallest, largest int) Bounds {
	all, mixers, least, most := Bounds{ColdShare: 1}, o.Mixers, max(o.Least, o.evenly(smallest)), max(o.Most, o.evenly(largest))
	if smallest <= 2*most {
		return all
	}
	p, n, room := spare*float64(most)/float64(smallest), float64(mixers), math.Log(1/chance)
	v := n * p * (1 - p)
	users := math.Ceil(n*p + room/3 + math.Sqrt(room*room/9+2*room*v))
	if p >= 1 || users >= n {
		return all
	}
	return Bounds{ColdShare: p, Users: int(users), UsersMean: max(1, int(n*float64(least)/float64(largest)))}
}
