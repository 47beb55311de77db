package sites

import (
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"nettlefold/internal/fleet/siteloss"
)

// Programme solves the same as a linear programme. The base is an item worth far more than all that could stand in its place.
func Programme(r siteloss.Ring, base []float64, items []siteloss.Item, room []float64) []float64 {
	n, m := r.Cells, len(items)
	var used []int // kinds that anything loads
	for k := range n {
		if base[k] > 0 || slices.ContainsFunc(items, func(i siteloss.Item) bool { return i.Load[k] > 0 }) {
			used = append(used, k)
		}
	}
	scale, worth := 1e-9, 1e-9
	for _, b := range r.Bears {
		scale = max(scale, b)
	}
	for _, i := range items {
		worth += i.Revenue * i.Limit
	}
	first := m + 1 + len(used)*r.Reach // of the slacks: kinds, cells, limits, classes, base
	rows := len(used) + n + m + len(room) + 1
	a, b, c := mat.NewDense(rows, first+rows, nil), make([]float64, rows), make([]float64, first+rows)
	basis := make([]int, rows)
	for i := range rows {
		basis[i] = first + i
		a.Set(i, first+i, 1)
	}
	for j, i := range items {
		c[j] = -i.Revenue / worth
		for row, k := range used {
			a.Set(row, j, i.Load[k]/scale)
		}
		a.Set(len(used)+n+j, j, 1)
		b[len(used)+n+j] = i.Limit
		a.Set(len(used)+n+m+i.Class, j, 1)
	}
	for k, x := range room {
		b[len(used)+n+m+k] = x
	}
	c[m] = -1e4 // of all the items' revenue: less than 1e-4 of the base can ever be given for them
	a.Set(rows-1, m, 1)
	b[rows-1] = 1
	for row, k := range used {
		a.Set(row, m, base[k]/scale)
		for h := range r.Reach {
			at := m + 1 + row*r.Reach + h
			a.Set(row, at, -1)
			a.Set(len(used)+(k+h)%n, at, 1)
		}
	}
	for i := range n {
		b[len(used)+i] = r.Bears[i] / scale
	}
	for i := range b { // the simplex method turns in circles where many bounds meet in a point: none do so exactly
		b[i] += 1e-8 * float64(1+(i*7919)%997) / 997
	}
	_, x, err := lp.Simplex(c, a, b, 1e-10, basis)
	if err != nil {
		return nil // told by the caller
	}
	return x[:m]
}
