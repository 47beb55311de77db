package agent

import (
	"time"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

// maxRememberedRemovals is the number of entries that listRevisions.changedAt may have beyond twice
// the number of listed backends before it is cleared.
const maxRememberedRemovals = 512

// listRevisions numbers the changes of the list for the proxy, including the phases that rollout
// holders announce. It is owned by the command loop.
type listRevisions struct {
	current         uint64            // number of the newest change
	changedAt       map[string]uint64 // number of the newest change by backend ID, including removed backends
	oldestDeltaBase uint64            // a proxy with an older revision gets the full list
}

// markListChanged records that entries were added, changed or removed.
func (a *Agent) markListChanged(ids ...string) {
	revisions := &a.listRevisions
	revisions.current++
	for _, id := range ids {
		revisions.changedAt[id] = revisions.current
	}
	if len(revisions.changedAt) > 2*len(a.backends)+maxRememberedRemovals {
		clear(revisions.changedAt)
		revisions.oldestDeltaBase = revisions.current
	}
	a.listApplyTracker.noteAvailable(revisions.current, time.Now())
	a.notifyProxy()
}

// markListReplaced records that the list was replaced as a whole, so that no delta to it exists.
func (a *Agent) markListReplaced() {
	a.listRevisions.oldestDeltaBase = a.listRevisions.current + 1
	a.markListChanged()
}

// fullList returns the list with the phases and versions that rollout holders announced.
func (a *Agent) fullList() *feed.ProxyListUpdate { return a.listSinceRevision(0) }

// listSinceRevision returns the changes of the list since a revision, or the full list if they
// aren't known any more. Revision 0 always gets the full list, whose BaseRevision is 0.
func (a *Agent) listSinceRevision(revision uint64) *feed.ProxyListUpdate {
	revisions := &a.listRevisions
	list := &feed.ProxyListUpdate{Revision: revisions.current, Backends: []dispatch.BackendInfo{}, Phases: map[string]string{}}
	if revision >= revisions.oldestDeltaBase {
		list.BaseRevision = revision
	}
	for _, backend := range a.backends {
		if list.BaseRevision > 0 && revisions.changedAt[backend.ID] <= revision {
			continue
		}
		if phase, ok := a.phases[backend.ID]; ok {
			if phase.Name != dispatch.PhaseNone {
				list.Phases[backend.ID] = phase.Name
			}
			backend.Versions = withVersion(backend.Versions, phase.Phase)
		}
		list.Backends = append(list.Backends, backend)
	}
	if list.BaseRevision > 0 {
		list.Removed = a.removedSinceRevision(revision)
	}
	return list
}

// removedSinceRevision returns the IDs of the entries that were removed after a revision.
func (a *Agent) removedSinceRevision(revision uint64) (removed []string) {
	listed := make(map[string]bool, len(a.backends))
	for i := range a.backends {
		listed[a.backends[i].ID] = true
	}
	for id, changed := range a.listRevisions.changedAt {
		if changed > revision && !listed[id] {
			removed = append(removed, id)
		}
	}
	return removed
}
