package agent

import (
	"time"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

// goneMost bounds the entries that left the list and are remembered for a proxy that has not heard so, beyond as many as are listed.
const maxRememberedRemovals = 512

// listFeed numbers the changes of the list, with what owners of orders add, for the proxy. It belongs to the agent's owner goroutine.
type listRevisions struct {
	current         uint64            // of the newest change
	changedAt       map[string]uint64 // by backend, those that left the list too: number of its newest change
	oldestDeltaBase uint64            // a proxy with an older number is told the whole list
}

// listChanged notes that some entries changed, came or went.
func (a *Agent) markListChanged(ids ...string) {
	f := &a.listRevisions
	f.current++
	for _, id := range ids {
		f.changedAt[id] = f.current
	}
	if len(f.changedAt) > 2*len(a.backends)+maxRememberedRemovals {
		clear(f.changedAt)
		f.oldestDeltaBase = f.current
	}
	a.listApplyTracker.noteAvailable(f.current, time.Now())
	a.notifyProxy()
}

// listReplaced notes that the list has nothing to do with the one before.
func (a *Agent) markListReplaced() {
	a.listRevisions.oldestDeltaBase = a.listRevisions.current + 1
	a.markListChanged()
}

// listFor is the list with what the owners of orders know beyond it.
func (a *Agent) fullList() *feed.List { return a.listSinceRevision(0) }

// listAfter is what changed of it after a number, all of it where that is not known any more.
func (a *Agent) listSinceRevision(number uint64) *feed.List {
	f := &a.listRevisions
	out := &feed.List{Revision: f.current, Backends: []dispatch.BackendInfo{}, Phases: map[string]string{}}
	if number >= f.oldestDeltaBase {
		out.BaseRevision = number
	}
	for _, l := range a.backends {
		if out.BaseRevision > 0 && f.changedAt[l.ID] <= number {
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
		out.Removed = a.removedSinceRevision(number)
	}
	return out
}

// goneAfter names the entries that left the list after a number.
func (a *Agent) removedSinceRevision(number uint64) (gone []string) {
	listed := make(map[string]bool, len(a.backends))
	for i := range a.backends {
		listed[a.backends[i].ID] = true
	}
	for id, changed := range a.listRevisions.changedAt {
		if changed > number && !listed[id] {
			gone = append(gone, id)
		}
	}
	return gone
}
