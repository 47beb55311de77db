package fanout

import (
	"slices"

	"nettlefold/mixer"
)

// floor is the module's floor in model time: it keeps what the module does until the player takes it up. Keeping costs no
// allocation once its slices have grown, so that allocations counted are the module's own.
type floor struct {
	sent      []sending
	cancelled []cancelling
	timers    []timer
	ended     int // final answers since the player last looked
	whole     bool
	closed    int // calls to close idle connections
}

type sending struct {
	part, searcher string
	within         int64
}

type cancelling struct {
	part    string
	attempt int
}

type timer struct {
	after int64
	whose mixer.TimerHandler
}

func (f *floor) Forward(part, searcher string, within int64) {
	f.sent = append(f.sent, sending{part, searcher, within})
}
func (f *floor) Cancel(part string, attempt int) {
	f.cancelled = append(f.cancelled, cancelling{part, attempt})
}
func (f *floor) Answer(_ string, whole bool) { f.ended, f.whole = f.ended+1, whole }
func (f *floor) Reject(string, int64)        { f.ended, f.whole = f.ended+1, false }
func (f *floor) Fail(string)                 { f.ended, f.whole = f.ended+1, false }
func (f *floor) CloseIdle(string)            { f.closed++ }
func (f *floor) SetTimer(after int64, whose mixer.TimerHandler) {
	f.timers = append(f.timers, timer{after, whose})
}
func (f *floor) Subscribe()  {}
func (f *floor) Note(string) {}

// event is what comes to the module at a time: an attempt's outcome, or a timer.
type event struct {
	at            int64
	number        int // in the order in which they were made, which orders those of one time
	part, attempt int
	outcome       mixer.Outcome
	took          int64              // since the attempt was sent
	whose         mixer.TimerHandler // nil: an outcome
}

func (e event) before(o event) int {
	if e.at != o.at {
		return int(min(1, max(-1, e.at-o.at)))
	}
	return e.number - o.number
}

// agenda keeps events, the earliest last.
type agenda struct {
	events []event
	count  int
}

func (a *agenda) add(e event) {
	a.count++
	e.number = a.count
	i, _ := slices.BinarySearchFunc(a.events, e, func(x, y event) int { return y.before(x) })
	a.events = slices.Insert(a.events, i, e)
}

func (a *agenda) next() (e event) {
	last := len(a.events) - 1
	e = a.events[last]
	a.events = a.events[:last]
	return e
}

// dropQueries forgets what is of queries and does nothing once these have ended: their timers, and outcomes that cancels came
// before. Timers of the mixer and of searchers stay.
func (a *agenda) dropQueries() {
	a.events = slices.DeleteFunc(a.events, func(e event) bool {
		_, of := e.whose.(*mixer.Lookup)
		return of || e.whose == nil
	})
}
