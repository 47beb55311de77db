package siteloss

// A slice's work may go to any of the cells that hold it, so what is borne is a flow from slices to cells. Slices with the
// same holders count as one: there are at most as many kinds as cells.

const tiny = 1e-9

// Ring is which cells hold what: kind k is held by cells k to k+reach-1, modulo cells.
type Ring struct {
	Cells, Reach int
	Bears        []float64 // by cell, work a second
}

func (r Ring) kind(slice int) int { return ((slice % r.Cells) + r.Cells) % r.Cells }

// borne tells whether a load by kind is borne whole, and if not, which kinds are short: those that compete for cells that
// are full. Kinds that are not short use none of these cells, so they lose nothing to the short ones.
func (r Ring) borne(load []float64) (all bool, short []bool) {
	n := r.Cells
	if r.Reach == 1 {
		short, all = make([]bool, n), true
		for k := range n {
			if load[k] > r.Bears[k]*(1+1e-7)+tiny*tiny {
				short[k], all = true, false
			}
		}
		return all, short
	}
	left, rest := make([]float64, n), make([]float64, n) // load not yet placed, room left
	sent := make([]float64, n*r.Reach)                   // by kind and its holder
	total := 0.0
	for i := range n {
		left[i], rest[i] = load[i], r.Bears[i]
		total += load[i] + r.Bears[i]
	}
	least := total * 1e-7 // rounding
	for k := range n {
		for h := range r.Reach {
			c := (k + h) % n
			x := min(left[k], rest[c])
			sent[k*r.Reach+h], left[k], rest[c] = x, left[k]-x, rest[c]-x
		}
	}
	// Paths over kinds and cells from what is left to where room is. Each either empties, fills or cuts an edge.
	from, via := make([]int, n), make([]int, n) // by kind: the kind before, and the cell between
	for {
		seen := make([]bool, n)
		at := make([]int, n) // by cell: the kind it was reached from
		for c := range at {
			at[c] = -1
		}
		var queue []int
		for k := range n {
			if left[k] > least {
				seen[k], from[k] = true, -1
				queue = append(queue, k)
			}
		}
		goal := -1
		for q := 0; q < len(queue) && goal < 0; q++ {
			k := queue[q]
			for h := range r.Reach {
				c := (k + h) % n
				if at[c] >= 0 {
					continue
				}
				if at[c] = k; rest[c] > least {
					goal = c
					break
				}
				for g := range r.Reach { // who is on that cell might go elsewhere
					o := (c - g + n) % n
					if !seen[o] && sent[o*r.Reach+g] > least {
						seen[o], from[o], via[o] = true, k, c
						queue = append(queue, o)
					}
				}
			}
		}
		if goal < 0 {
			return len(queue) == 0, seen
		}
		hop := func(k, c int) *float64 { return &sent[k*r.Reach+(c-k+n)%n] }
		x, first := rest[goal], 0
		for k := at[goal]; ; k = from[k] {
			if first = k; from[k] < 0 {
				break
			}
			x = min(x, *hop(k, via[k]))
		}
		x = min(x, left[first])
		c := goal
		for k := at[goal]; ; k = from[k] {
			*hop(k, c) += x
			if from[k] < 0 {
				break
			}
			*hop(k, via[k]) -= x
			c = via[k]
		}
		left[first] -= x
		rest[goal] -= x
	}
}

// room is what the cells that hold some kinds bear.
func (r Ring) room(kinds []bool) (bears float64) {
	held := make([]bool, r.Cells)
	for k, is := range kinds {
		for h := 0; is && h < r.Reach; h++ {
			held[(k+h)%r.Cells] = true
		}
	}
	for c, is := range held {
		if is {
			bears += r.Bears[c]
		}
	}
	return bears
}

// most gives how much of more, up to a limit, is borne beside a load that is borne: each round goes down to what the
// tightest cut of the round before allows.
func (r Ring) most(load, more []float64, limit float64) float64 {
	if r.Reach == 1 { // each kind has its own cell
		for k, x := range more {
			if x > 0 && load[k]+limit*x > r.Bears[k] {
				limit = max(0, (r.Bears[k]-load[k])/x)
			}
		}
		return limit
	}
	sum := make([]float64, r.Cells)
	for range 4 * r.Cells {
		for k := range sum {
			sum[k] = load[k] + limit*more[k]
		}
		all, short := r.borne(sum)
		if all {
			return limit
		}
		has, wants := r.room(short), 0.0
		for k, is := range short {
			if is {
				has -= load[k]
				wants += more[k]
			}
		}
		if wants <= 0 {
			return 0
		}
		next := max(0, has/wants)
		if next >= limit*(1-1e-12) { // no more than rounding between them
			return max(0, limit*(1-1e-9))
		}
		limit = next
	}
	return 0
}
