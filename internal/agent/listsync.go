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
	// listQuiet is how long an agent hears nothing of the list before it asks others, listAskEvery the least time between two such calls;
	// up to as much is added by lot, or all of a zone would ask its hub at once.
	listSilenceTimeout  = 1200 * time.Millisecond
	listRequestInterval = 300 * time.Millisecond
	listRequestTimeout  = 500 * time.Millisecond
	// listHistory is how many changes are kept for those that missed some.
	listHistoryLength = 64
)

// lists is the platform's list as this agent has it, and how it came by it. It belongs to the agent's owner goroutine.
type listSyncState struct {
	digest     uint64    // digest of the list, 0 if there is none
	revision   uint64    // of its reading
	readAt     time.Time // when its reading began, as far as those that told it know
	receivedAt time.Time // when it was last heard, or the agent began
	pushedAt   time.Time // when it was last heard without asking for it

	reading    bool // the platform is being asked
	lastReadAt time.Time
	pageCount  int // that the list had

	missingFrom   string // address of who told of a list that is not known here, "" if there is none
	requesting    bool
	nextRequestAt time.Time // when another agent may be asked next
	requestCount  int
	hubFailed     bool // the hub of this zone did not answer when it was asked last, and told nothing since

	history []*feed.ListUpdate // the newest changes, each to the list before, oldest first
}

// spreadList takes a list that was read here from a time on, and tells the others what changed.
func (a *Agent) publishList(read time.Time, list []dispatch.BackendInfo) {
	news := feed.NewFullListUpdate(list)
	if a.backends != nil {
		news = feed.NewListDelta(a.backends, a.listSync.digest, list)
	}
	a.listSync.revision++
	a.listSync.pushedAt = time.Now()
	a.listSync.readAt, a.listSync.receivedAt = read, time.Now()
	news.Revision, news.AgeMS = a.listSync.revision, time.Since(read).Milliseconds()
	a.setList(news, list)
	a.gossip.publish(&feed.GossipMessage{List: news})
}

// toldList takes what another agent tells of the list without being asked.
func (a *Agent) applyPushedList(news *feed.ListUpdate, from string) {
	if news != nil && news.Revision >= a.listSync.revision {
		a.listSync.pushedAt, a.listSync.hubFailed = time.Now(), false
		a.applyListUpdate(news, from)
	}
}

// hearList takes what another agent tells of the list. Changes to another list than the one in hand are noted as missing, to be asked for.
func (a *Agent) applyListUpdate(news *feed.ListUpdate, from string) {
	if news.Revision < a.listSync.revision || news.Revision == a.listSync.revision && news.Digest == a.listSync.digest {
		return
	}
	list, ok := news.Apply(a.backends, a.listSync.digest)
	if !ok {
		a.listSync.missingFrom = from
		return
	}
	age := time.Duration(news.AgeMS) * time.Millisecond
	a.listArrivalDelays.Observe(age)
	a.logSlowStage("list heard from "+from, age)
	a.listSync.revision, a.listSync.missingFrom = news.Revision, ""
	a.listSync.receivedAt = time.Now()
	a.listSync.readAt = a.listSync.receivedAt.Add(-age)
	if news.Full && a.backends != nil {
		news = feed.NewListDelta(a.backends, a.listSync.digest, list)
	}
	a.setList(news, list)
}

// setList puts a list in force, and keeps the news that led to it.
func (a *Agent) setList(news *feed.ListUpdate, list []dispatch.BackendInfo) {
	if news.Digest == a.listSync.digest {
		return
	}
	a.backends, a.listSync.digest = list, news.Digest
	a.log.Debug().Str("step", "list").Dur("age", time.Since(a.listSync.readAt)).Int("changed", len(news.Changed)).Int("gone", len(news.Removed)).Msg("the list changed")
	if news.Full {
		a.listSync.history = nil
		a.markListReplaced()
		return
	}
	a.listSync.history = append(a.listSync.history, news)
	if over := len(a.listSync.history) - listHistoryLength; over > 0 {
		a.listSync.history = slices.Delete(a.listSync.history, 0, over)
	}
	changed := slices.Clone(news.Removed)
	for i := range news.Changed {
		changed = append(changed, news.Changed[i].ID)
	}
	a.markListChanged(changed...)
}

// listSince is what leads from a list that another agent has to the one in hand, nil if there is none.
func (a *Agent) listUpdateSince(sum uint64) *feed.ListUpdate {
	if a.backends == nil {
		return nil
	}
	news := &feed.ListUpdate{Digest: a.listSync.digest}
	if sum != a.listSync.digest {
		news = a.mergedUpdatesSince(sum)
	}
	out := *news
	out.Revision, out.AgeMS = a.listSync.revision, time.Since(a.listSync.readAt).Milliseconds()
	return &out
}

func (a *Agent) mergedUpdatesSince(sum uint64) *feed.ListUpdate {
	for i, changes := range a.listSync.history {
		if changes.BaseDigest != sum {
			continue
		}
		joined := changes
		for _, later := range a.listSync.history[i+1:] {
			joined = joined.Merge(later)
		}
		return joined
	}
	return feed.NewFullListUpdate(a.backends)
}

// askForList asks another agent for the list when news of it is missing, or none came for a while: at first whoever told of it, then the
// hub of this zone and those of others by turns.
func (a *Agent) requestListIfStale(ctx context.Context) {
	now := time.Now()
	quiet := a.backends == nil || a.listSync.missingFrom != "" || now.Sub(a.listSync.pushedAt) >= listSilenceTimeout
	if !quiet || a.listSync.requesting || now.Before(a.listSync.nextRequestAt) || len(a.members.Agents) == 0 {
		return
	}
	peer := a.nextListPeer()
	if peer == "" {
		return
	}
	a.listSync.requesting, a.listSync.missingFrom = true, ""
	a.listSync.requestCount++
	request := &feed.ListRequest{Digest: a.listSync.digest}
	go func() {
		news := new(feed.ListUpdate)
		err := a.pool.Call(ctx, listRequestTimeout, peer, feed.KindList, request, news)
		a.enqueue(func() {
			a.listSync.requesting = false
			a.listSync.nextRequestAt = time.Now().Add(listRequestInterval + rand.N(listRequestInterval))
			if err == nil {
				a.applyListUpdate(news, peer)
			} else if peer == a.gossip.hubAddr(a.self.Zone) {
				a.listSync.hubFailed = true
			}
		})
	}()
}

// listPeer picks whom to ask next, "" if nobody is known.
func (a *Agent) nextListPeer() string {
	if peer := a.listSync.missingFrom; peer != "" {
		return peer
	}
	hub := a.gossip.hubAddr(a.self.Zone)
	if a.listSync.requestCount%2 == 0 && !a.listSync.hubFailed && hub != "" && hub != a.self.Addr {
		return hub
	}
	var others []string
	for other := range a.gossip.otherHubs() {
		others = append(others, other)
	}
	if len(others) == 0 {
		others = a.gossip.zonePeers()
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// answerList serves another agent that asks for the list.
func (a *Agent) serveList(ctx context.Context, request *feed.ListRequest) (news *feed.ListUpdate, err error) {
	if err := a.runInLoop(ctx, func() { news = a.listUpdateSince(request.Digest) }); err != nil {
		return nil, err
	}
	if news == nil {
		return nil, merry.New("the list is not known here")
	}
	return news, nil
}
