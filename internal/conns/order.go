package conns

import "container/heap"

// orders is in how many orders an idle connection may stand.
const orders = 4

// order is a heap of entries that know their place in it.
type order struct {
	slot   int
	before func(a, b *Entry) bool
	all    []*Entry
	steps  *uint64
}

func (o *order) first() *Entry {
	if len(o.all) == 0 {
		return nil
	}
	return o.all[0]
}

// put adds an entry, or finds its place anew.
func (o *order) put(e *Entry) {
	if at := e.at[o.slot]; at > 0 {
		heap.Fix(o, int(at-1))
	} else {
		heap.Push(o, e)
	}
}

// take takes an entry out if it is in.
func (o *order) take(e *Entry) {
	if at := e.at[o.slot]; at > 0 {
		heap.Remove(o, int(at-1))
	}
}

// Len, Less, Swap, Push and Pop are container/heap's.
func (o *order) Len() int { return len(o.all) }

func (o *order) Less(i, j int) bool {
	*o.steps++
	return o.before(o.all[i], o.all[j])
}

func (o *order) Swap(i, j int) {
	o.all[i], o.all[j] = o.all[j], o.all[i]
	o.all[i].at[o.slot], o.all[j].at[o.slot] = int32(i+1), int32(j+1)
}

func (o *order) Push(x any) {
	e := x.(*Entry)
	o.all = append(o.all, e)
	e.at[o.slot] = int32(len(o.all))
}

func (o *order) Pop() any {
	n := len(o.all) - 1
	e := o.all[n]
	o.all[n] = nil
	o.all = o.all[:n]
	e.at[o.slot] = 0
	return e
}
