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
	listQuiet    = 1200 * time.Millisecond
	listAskEvery = 300 * time.Millisecond
	listAskLimit = 500 * time.Millisecond
	// listHistory is how many changes are kept for those that missed some.
	listHistory = 64
)

// lists is the platform's list as this agent has it, and how it came by it. It belongs to the agent's owner goroutine.
type lists struct {
	sum     uint64    // digest of the list, 0 if there is none
	number  uint64    // of its reading
	readAt  time.Time // when its reading began, as far as those that told it know
	heardAt time.Time // when it was last heard, or the agent began
	toldAt  time.Time // when it was last heard without asking for it

	reading bool // the platform is being asked
	triedAt time.Time
	pages   int // that the list had

	missing string // address of who told of a list that is not known here, "" if there is none
	asking  bool
	askAt   time.Time // when another agent may be asked next
	asked   int
	hubLost bool // the hub of this zone did not answer when it was asked last, and told nothing since

	history []*feed.ListUpdate // the newest changes, each to the list before, oldest first
}

// spreadList takes a list that was read here from a time on, and tells the others what changed.
func (a *Agent) spreadList(read time.Time, list []dispatch.BackendInfo) {
	news := feed.NewFullListUpdate(list)
	if a.list != nil {
		news = feed.NewListDelta(a.list, a.lists.sum, list)
	}
	a.lists.number++
	a.lists.toldAt = time.Now()
	a.lists.readAt, a.lists.heardAt = read, time.Now()
	news.Revision, news.AgeMS = a.lists.number, time.Since(read).Milliseconds()
	a.setList(news, list)
	a.news.tell(&feed.GossipMessage{List: news})
}

// toldList takes what another agent tells of the list without being asked.
func (a *Agent) toldList(news *feed.ListUpdate, from string) {
	if news != nil && news.Revision >= a.lists.number {
		a.lists.toldAt, a.lists.hubLost = time.Now(), false
		a.hearList(news, from)
	}
}

// hearList takes what another agent tells of the list. Changes to another list than the one in hand are noted as missing, to be asked for.
func (a *Agent) hearList(news *feed.ListUpdate, from string) {
	if news.Revision < a.lists.number || news.Revision == a.lists.number && news.Digest == a.lists.sum {
		return
	}
	list, ok := news.Apply(a.list, a.lists.sum)
	if !ok {
		a.lists.missing = from
		return
	}
	age := time.Duration(news.AgeMS) * time.Millisecond
	a.listArrivals.Observe(age)
	a.tellLate("list heard from "+from, age)
	a.lists.number, a.lists.missing = news.Revision, ""
	a.lists.heardAt = time.Now()
	a.lists.readAt = a.lists.heardAt.Add(-age)
	if news.Full && a.list != nil {
		news = feed.NewListDelta(a.list, a.lists.sum, list)
	}
	a.setList(news, list)
}

// setList puts a list in force, and keeps the news that led to it.
func (a *Agent) setList(news *feed.ListUpdate, list []dispatch.BackendInfo) {
	if news.Digest == a.lists.sum {
		return
	}
	a.list, a.lists.sum = list, news.Digest
	a.log.Debug().Str("step", "list").Dur("age", time.Since(a.lists.readAt)).Int("changed", len(news.Changed)).Int("gone", len(news.Removed)).Msg("the list changed")
	if news.Full {
		a.lists.history = nil
		a.listReplaced()
		return
	}
	a.lists.history = append(a.lists.history, news)
	if over := len(a.lists.history) - listHistory; over > 0 {
		a.lists.history = slices.Delete(a.lists.history, 0, over)
	}
	changed := slices.Clone(news.Removed)
	for i := range news.Changed {
		changed = append(changed, news.Changed[i].ID)
	}
	a.listChanged(changed...)
}

// listSince is what leads from a list that another agent has to the one in hand, nil if there is none.
func (a *Agent) listSince(sum uint64) *feed.ListUpdate {
	if a.list == nil {
		return nil
	}
	news := &feed.ListUpdate{Digest: a.lists.sum}
	if sum != a.lists.sum {
		news = a.historySince(sum)
	}
	out := *news
	out.Revision, out.AgeMS = a.lists.number, time.Since(a.lists.readAt).Milliseconds()
	return &out
}

func (a *Agent) historySince(sum uint64) *feed.ListUpdate {
	for i, changes := range a.lists.history {
		if changes.BaseDigest != sum {
			continue
		}
		joined := changes
		for _, later := range a.lists.history[i+1:] {
			joined = joined.Merge(later)
		}
		return joined
	}
	return feed.NewFullListUpdate(a.list)
}

// askForList asks another agent for the list when news of it is missing, or none came for a while: at first whoever told of it, then the
// hub of this zone and those of others by turns.
func (a *Agent) askForList(ctx context.Context) {
	now := time.Now()
	quiet := a.list == nil || a.lists.missing != "" || now.Sub(a.lists.toldAt) >= listQuiet
	if !quiet || a.lists.asking || now.Before(a.lists.askAt) || len(a.members.Agents) == 0 {
		return
	}
	peer := a.listPeer()
	if peer == "" {
		return
	}
	a.lists.asking, a.lists.missing = true, ""
	a.lists.asked++
	request := &feed.ListRequest{Digest: a.lists.sum}
	go func() {
		news := new(feed.ListUpdate)
		err := a.pool.Call(ctx, listAskLimit, peer, feed.KindList, request, news)
		a.enqueue(func() {
			a.lists.asking = false
			a.lists.askAt = time.Now().Add(listAskEvery + rand.N(listAskEvery))
			if err == nil {
				a.hearList(news, peer)
			} else if peer == a.news.hub(a.self.Zone) {
				a.lists.hubLost = true
			}
		})
	}()
}

// listPeer picks whom to ask next, "" if nobody is known.
func (a *Agent) listPeer() string {
	if peer := a.lists.missing; peer != "" {
		return peer
	}
	hub := a.news.hub(a.self.Zone)
	if a.lists.asked%2 == 0 && !a.lists.hubLost && hub != "" && hub != a.self.Addr {
		return hub
	}
	var others []string
	for other := range a.news.otherZones() {
		others = append(others, other)
	}
	if len(others) == 0 {
		others = a.news.fellows()
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// answerList serves another agent that asks for the list.
func (a *Agent) answerList(ctx context.Context, request *feed.ListRequest) (news *feed.ListUpdate, err error) {
	if err := a.ask(ctx, func() { news = a.listSince(request.Digest) }); err != nil {
		return nil, err
	}
	if news == nil {
		return nil, merry.New("the list is not known here")
	}
	return news, nil
}
