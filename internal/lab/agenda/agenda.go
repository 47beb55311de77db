// Package agenda holds what happens later in model time.
package agenda

import "container/heap"

// Agenda is what is booked, earliest first, and what is booked for one time in the order of booking. The zero Agenda is empty.
type Agenda struct {
	events events
	booked int64
}

// Book has something done at a time, in ns of the model's clock.
func (a *Agenda) Book(at int64, do func()) {
	a.booked++
	heap.Push(&a.events, event{at, a.booked, do})
}

// Next takes out what is to be done next, if that is due by a time.
func (a *Agenda) Next(until int64) (at int64, do func(), due bool) {
	if len(a.events) == 0 || a.events[0].at > until {
		return 0, nil, false
	}
	e := heap.Pop(&a.events).(event)
	return e.at, e.do, true
}

type event struct {
	at, number int64
	do         func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}
