package agent

import (
	"time"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

// goneMost bounds the entries that left the list and are remembered for a proxy that has not heard so, beyond as many as are listed.
const goneMost = 512

// listFeed numbers the changes of the list, with what owners of orders add, for the proxy. It belongs to the agent's owner goroutine.
type listFeed struct {
	number    uint64            // of the newest change
	changedIn map[string]uint64 // by backend, those that left the list too: number of its newest change
	wholeFrom uint64            // a proxy with an older number is told the whole list
}

// listChanged notes that some entries changed, came or went.
func (a *Agent) listChanged(ids ...string) {
	f := &a.listFeed
	f.number++
	for _, id := range ids {
		f.changedIn[id] = f.number
	}
	if len(f.changedIn) > 2*len(a.list)+goneMost {
		clear(f.changedIn)
		f.wholeFrom = f.number
	}
	a.listApplied.changed(f.number, time.Now())
	a.notify()
}

// listReplaced notes that the list has nothing to do with the one before.
func (a *Agent) listReplaced() {
	a.listFeed.wholeFrom = a.listFeed.number + 1
	a.listChanged()
}

// listFor is the list with what the owners of orders know beyond it.
func (a *Agent) listFor() *feed.List { return a.listAfter(0) }

// listAfter is what changed of it after a number, all of it where that is not known any more.
func (a *Agent) listAfter(number uint64) *feed.List {
	f := &a.listFeed
	out := &feed.List{Revision: f.number, Backends: []dispatch.BackendInfo{}, Phases: map[string]string{}}
	if number >= f.wholeFrom {
		out.BaseRevision = number
	}
	for _, l := range a.list {
		if out.BaseRevision > 0 && f.changedIn[l.ID] <= number {
			continue
		}
		if p, ok := a.phases[l.ID]; ok {
			if p.Name != dispatch.PhaseNone {
				out.Phases[l.ID] = p.Name
			}
			l.Versions = withVersion(l.Versions, p.Phase)
		}
		out.Backends = append(out.Backends, l)
	}
	if out.BaseRevision > 0 {
		out.Removed = a.goneAfter(number)
	}
	return out
}

// goneAfter names the entries that left the list after a number.
func (a *Agent) goneAfter(number uint64) (gone []string) {
	listed := make(map[string]bool, len(a.list))
	for i := range a.list {
		listed[a.list[i].ID] = true
	}
	for id, changed := range a.listFeed.changedIn {
		if changed > number && !listed[id] {
			gone = append(gone, id)
		}
	}
	return gone
}
