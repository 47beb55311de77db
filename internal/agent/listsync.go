package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
)

const (
	// listSilenceTimeout is how long an agent receives no list update before it requests one from
	// another agent. listRequestInterval is the minimum time between two such requests; a jitter of
	// up to the same time is added, or all agents of a zone would send their requests to the hub at
	// once.
	listSilenceTimeout  = 1200 * time.Millisecond
	listRequestInterval = 300 * time.Millisecond
	listRequestTimeout  = 500 * time.Millisecond
	// listHistoryLength is the number of list updates kept for agents that missed some.
	listHistoryLength = 64
)

// listSyncState is the version of the platform's list that this agent has, and the state of its
// reads and requests. It is owned by the command loop.
type listSyncState struct {
	digest     uint64    // of the list, 0 if there is none
	revision   uint64    // number of the read that the list is from, see feed.ListUpdate
	readAt     time.Time // start of that read, according to the agents that passed the list on
	receivedAt time.Time // time of the last update, at first the agent's start
	pushedAt   time.Time // time of the last update that was not requested

	reading    bool // a read of the platform's list is running
	lastReadAt time.Time
	pageCount  int // pages that the list had

	gapSender     string // address of the sender of a delta to a list that this agent doesn't have, or ""
	requesting    bool
	nextRequestAt time.Time // earliest time of the next request to another agent
	requestCount  int
	hubFailed     bool // the zone's hub did not answer the last request and has sent no update since

	history []*feed.ListUpdate // the newest updates, each a delta to the list before it, oldest first
}

// publishList applies a list whose read by this agent started at readAt, and gossips the changes.
func (a *Agent) publishList(readAt time.Time, list []dispatch.BackendInfo) {
	update := feed.NewFullListUpdate(list)
	if a.backends != nil {
		update = feed.NewListDelta(a.backends, a.listSync.digest, list)
	}
	a.listSync.revision++
	a.listSync.pushedAt = time.Now()
	a.listSync.readAt, a.listSync.receivedAt = readAt, time.Now()
	update.Revision, update.AgeMS = a.listSync.revision, time.Since(readAt).Milliseconds()
	a.setList(update, list)
	a.gossip.publish(&feed.GossipMessage{List: update})
}

// applyPushedList applies an update that another agent sent without a request.
func (a *Agent) applyPushedList(update *feed.ListUpdate, from string) {
	if update != nil && update.Revision >= a.listSync.revision {
		a.listSync.pushedAt, a.listSync.hubFailed = time.Now(), false
		a.applyListUpdate(update, from)
	}
}

// applyListUpdate applies an update from another agent. If it is a delta to an unknown list, the
// sender is recorded in gapSender, and the list is requested from it.
func (a *Agent) applyListUpdate(update *feed.ListUpdate, from string) {
	if update.Revision < a.listSync.revision || update.Revision == a.listSync.revision && update.Digest == a.listSync.digest {
		return
	}
	list, ok := update.Apply(a.backends, a.listSync.digest)
	if !ok {
		a.listSync.gapSender = from
		return
	}
	age := time.Duration(update.AgeMS) * time.Millisecond
	a.listArrivalDelays.Observe(age)
	a.logSlowStage("list heard from "+from, age)
	a.listSync.revision, a.listSync.gapSender = update.Revision, ""
	a.listSync.receivedAt = time.Now()
	a.listSync.readAt = a.listSync.receivedAt.Add(-age)
	if update.Full && a.backends != nil {
		update = feed.NewListDelta(a.backends, a.listSync.digest, list)
	}
	a.setList(update, list)
}

// setList replaces the list and records the update that led to it.
func (a *Agent) setList(update *feed.ListUpdate, list []dispatch.BackendInfo) {
	if update.Digest == a.listSync.digest {
		return
	}
	a.backends, a.listSync.digest = list, update.Digest
	a.log.Debug().Str("step", "list").Dur("age", time.Since(a.listSync.readAt)).Int("changed", len(update.Changed)).Int("gone", len(update.Removed)).Msg("instance list changed")
	if update.Full {
		a.listSync.history = nil
		a.markListReplaced()
		return
	}
	a.listSync.history = append(a.listSync.history, update)
	if excess := len(a.listSync.history) - listHistoryLength; excess > 0 {
		a.listSync.history = slices.Delete(a.listSync.history, 0, excess)
	}
	changed := slices.Clone(update.Removed)
	for i := range update.Changed {
		changed = append(changed, update.Changed[i].ID)
	}
	a.markListChanged(changed...)
}

// listUpdateSince returns the update from the list with the given digest to the current one, nil if
// there is no list.
func (a *Agent) listUpdateSince(digest uint64) *feed.ListUpdate {
	if a.backends == nil {
		return nil
	}
	update := &feed.ListUpdate{Digest: a.listSync.digest}
	if digest != a.listSync.digest {
		update = a.mergedUpdatesSince(digest)
	}
	reply := *update
	reply.Revision, reply.AgeMS = a.listSync.revision, time.Since(a.listSync.readAt).Milliseconds()
	return &reply
}

// mergedUpdatesSince merges the recorded updates since the list with the given digest. It returns
// the full list if that list isn't in the history.
func (a *Agent) mergedUpdatesSince(digest uint64) *feed.ListUpdate {
	for i, update := range a.listSync.history {
		if update.BaseDigest != digest {
			continue
		}
		merged := update
		for _, later := range a.listSync.history[i+1:] {
			merged = merged.Merge(later)
		}
		return merged
	}
	return feed.NewFullListUpdate(a.backends)
}

// requestListIfStale requests the list from another agent if an update is missing or none has
// arrived for a while.
func (a *Agent) requestListIfStale(ctx context.Context) {
	now := time.Now()
	stale := a.backends == nil || a.listSync.gapSender != "" || now.Sub(a.listSync.pushedAt) >= listSilenceTimeout
	if !stale || a.listSync.requesting || now.Before(a.listSync.nextRequestAt) || len(a.members.Agents) == 0 {
		return
	}
	peer := a.nextListPeer()
	if peer == "" {
		return
	}
	a.listSync.requesting, a.listSync.gapSender = true, ""
	a.listSync.requestCount++
	request := &feed.ListRequest{Digest: a.listSync.digest}
	go func() {
		update := new(feed.ListUpdate)
		err := a.pool.Call(ctx, listRequestTimeout, peer, feed.KindList, request, update)
		a.enqueue(func() {
			a.listSync.requesting = false
			a.listSync.nextRequestAt = time.Now().Add(listRequestInterval + rand.N(listRequestInterval))
			if err == nil {
				a.applyListUpdate(update, peer)
			} else if peer == a.gossip.hubAddr(a.self.Zone) {
				a.listSync.hubFailed = true
			}
		})
	}()
}

// nextListPeer returns the address of the agent to request the list from, "" if none is known: the
// sender of an update that could not be applied, else in turns the hub of this zone and a hub of
// another zone.
func (a *Agent) nextListPeer() string {
	if peer := a.listSync.gapSender; peer != "" {
		return peer
	}
	hub := a.gossip.hubAddr(a.self.Zone)
	if a.listSync.requestCount%2 == 0 && !a.listSync.hubFailed && hub != "" && hub != a.self.Addr {
		return hub
	}
	var candidates []string
	for addr := range a.gossip.otherHubs() {
		candidates = append(candidates, addr)
	}
	if len(candidates) == 0 {
		candidates = a.gossip.zonePeers()
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

// serveList answers another agent's request for the list.
func (a *Agent) serveList(ctx context.Context, request *feed.ListRequest) (update *feed.ListUpdate, err error) {
	if err := a.runInLoop(ctx, func() { update = a.listUpdateSince(request.Digest) }); err != nil {
		return nil, err
	}
	if update == nil {
		return nil, merry.New("the list is not known here")
	}
	return update, nil
}
