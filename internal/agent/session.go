package agent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/rendezvous"
)

const (
	// watchLimit bounds a call of the session; a controller that is there answers in half of it.
	watchTimeout = 800 * time.Millisecond
	// avoidFor is how long a controller is passed over that did not answer or is out of touch with the core. It doubles with each time in
	// a row, up to avoidMost: each try costs up to watchLimit, in which nothing new is heard.
	minAvoidTime = 700 * time.Millisecond
	maxAvoidTime = 8 * minAvoidTime
	// sessionPause is the pause after a call that failed. While no controller is left that has not failed lately it doubles with each
	// further one, up to sessionPauseMost: agents that all search at once would keep the controllers from coming into touch.
	minSessionBackoff = 30 * time.Millisecond
	maxSessionBackoff = 320 * time.Millisecond

	watchedPeerCount   = 3
	pingInterval       = 400 * time.Millisecond
	pingTimeout        = 500 * time.Millisecond
	suspectAfterMisses = 2
)

// runSession keeps one session: with the controller that rendezvous hashing gives, and with the next one as soon as that is silent or
// says that it is out of touch.
func (a *Agent) runSession(ctx context.Context) {
	failures := newControllerFailures()
	for ctx.Err() == nil {
		var request distribute.WatchRequest
		var addr string
		began := a.now()
		if a.runInLoop(ctx, func() {
			request = a.watchRequest()
			addr = a.pickController(failures.avoidUntil)
		}) != nil {
			return
		}
		pause := failures.backoffFor(addr, time.Now())
		reply := new(distribute.WatchReply)
		asked := a.now()
		err := a.pool.Call(ctx, watchTimeout, addr, distribute.KindWatch, &request, reply)
		a.logSlowWatch(asked-began, a.now()-asked, addr, err)
		if err != nil || !reply.HasQuorum {
			if err != nil {
				a.log.Debug().Err(err).Str("step", "watch").Str("peer", addr).Msg("controller does not answer")
			}
			a.runInLoop(ctx, func() { a.applyReplyWithoutQuorum(asked, reply) })
			failures.add(addr, time.Now())
			time.Sleep(jittered(pause))
			continue
		}
		failures.succeeded(addr)
		a.runInLoop(ctx, func() { a.applyWatchReply(asked, reply) })
	}
}

// slowWatch is the time from which a call of the session, or the wait for the owner before it, is worth a line in the log: a controller takes
// an agent for lost that is silent for not much longer.
const slowWatchThreshold = 600 * time.Millisecond

func (a *Agent) logSlowWatch(owner, call time.Duration, addr string, err error) {
	if owner+call < slowWatchThreshold {
		return
	}
	a.log.Info().Err(err).Str("step", "watch").Str("peer", addr).Dur("owner", owner).Dur("call", call).Int("queue", len(a.commands)).Msg("session is slow")
}

// failures are the controllers that did not answer or were out of touch lately.
type controllerFailures struct {
	avoidUntil map[string]time.Time     // until when each is passed over
	avoidTime  map[string]time.Duration // for how long, the last time
	backoff    time.Duration            // after the next failed call
}

func newControllerFailures() *controllerFailures {
	return &controllerFailures{avoidUntil: map[string]time.Time{}, avoidTime: map[string]time.Duration{}, backoff: minSessionBackoff}
}

// pauseBefore gives the pause if the call that is made now should fail.
func (f *controllerFailures) backoffFor(addr string, now time.Time) time.Duration {
	if now.After(f.avoidUntil[addr]) { // one was left to be asked
		f.backoff = minSessionBackoff
		return f.backoff
	}
	f.backoff = min(2*f.backoff, maxSessionBackoff)
	return f.backoff
}

// add has a controller passed over.
func (f *controllerFailures) add(addr string, now time.Time) {
	f.avoidTime[addr] = min(max(2*f.avoidTime[addr], minAvoidTime), maxAvoidTime)
	f.avoidUntil[addr] = now.Add(f.avoidTime[addr])
}

// answered forgets that a controller failed.
func (f *controllerFailures) succeeded(addr string) {
	delete(f.avoidTime, addr)
	f.backoff = minSessionBackoff
}

// jittered spreads a pause over its second half and the half behind, so that those who failed together do not come back together.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}

func (a *Agent) watchRequest() distribute.WatchRequest {
	request := distribute.WatchRequest{Agent: a.self, AppliedSeq: a.appliedSeq, MembersDigest: a.members.Digest, Epoch: a.epoch}
	if a.snapshot != nil {
		request.ReceivedSeq, request.ConfigSeq = a.snapshot.Seq, a.snapshot.ConfigSeq
		if time.Since(a.lastProxyRequest) > proxyTimeout {
			request.AppliedSeq = request.ReceivedSeq // no proxy is there that could lag
		}
	}
	for id := range a.suspects {
		request.Suspects = append(request.Suspects, id)
	}
	return request
}

// controller picks whom to call: the best-ranked that is not avoided, else the one whose avoidance ends first.
func (a *Agent) pickController(avoid map[string]time.Time) string {
	known := slices.Clone(a.controllers)
	for _, seed := range a.settings.Seeds {
		if addr := a.settings.InternalAddr(seed); !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	ranked := rendezvous.Top("session/"+a.self.Addr, known, len(known))
	now := time.Now()
	for _, addr := range ranked {
		if now.After(avoid[addr]) {
			return addr
		}
	}
	if len(ranked) == 0 {
		return ""
	}
	return slices.MinFunc(ranked, func(x, y string) int { return cmp.Compare(avoid[x].UnixNano(), avoid[y].UnixNano()) })
}

// takeReply takes the reply of a controller in touch to a call that was made at a time: since then nothing newer can have been unknown here.
func (a *Agent) applyWatchReply(asked time.Duration, reply *distribute.WatchReply) {
	defer func() { a.lastQuorumContact = asked }()
	if len(reply.Controllers) > 0 {
		a.controllers, a.epoch = reply.Controllers, reply.Epoch
	}
	a.applyMembers(reply)
	a.applySnapshot(asked, reply)
}

// takeMembers takes the members whole, or what changed of them. A change that does not fit has the next call ask for the whole.
func (a *Agent) applyMembers(reply *distribute.WatchReply) {
	members := reply.Members
	if members == nil && reply.MembersDelta != nil {
		if members = a.members.Apply(reply.MembersDelta); members == nil {
			a.members = &distribute.MemberSet{Agents: a.members.Agents}
		}
	}
	if members != nil {
		a.members = members
		a.startResyncs() // what was wanted while no members were known
		a.notifyProxy()
	}
}

// takeLate takes what is newer from a controller that is out of touch. It is committed, but not enough to begin with: only one in touch
// can tell that nothing newer was in force before.
func (a *Agent) applyReplyWithoutQuorum(asked time.Duration, reply *distribute.WatchReply) {
	if a.snapshot != nil {
		a.applySnapshot(asked, reply)
	}
}

func (a *Agent) applySnapshot(asked time.Duration, reply *distribute.WatchReply) {
	s := reply.Snapshot
	if s == nil || a.snapshot != nil && s.Seq <= a.snapshot.Seq {
		return
	}
	if s.Config == nil && a.snapshot != nil && a.snapshot.ConfigSeq == s.ConfigSeq {
		s.Config = a.snapshot.Config
	}
	a.mergeVersionAges(asked, s, reply)
	a.snapshot = s
	a.notifyProxy()
}

// takeVersions brings together what a controller tells of when versions were named and what this agent knows: one that it did not hear of
// while it was last in touch was named since.
func (a *Agent) mergeVersionAges(asked time.Duration, s *distribute.Snapshot, reply *distribute.WatchReply) {
	written := asked + time.Duration(reply.LongPollMS)*time.Millisecond
	for model, wanted := range s.Models {
		known := a.versionHistories[model]
		named := known.Newest() < wanted.Version
		if a.snapshot != nil {
			known = known.With(wanted.Version, a.lastQuorumContact)
		}
		a.versionHistories[model] = known.MergeAges(wanted.Version, written, reply.VersionAges[model])
		if named {
			a.log.Info().Str("step", "weights").Str("model", model).Int64("version", wanted.Version).Uint64("seq", s.Seq).
				Interface("ages", a.versionHistories[model].Ages(a.now())).Msg("version wanted")
		}
	}
}

// watchPeers pings the few agents that rendezvous hashing gives this one to watch.
func (a *Agent) watchPeers(ctx context.Context) {
	missed := map[string]int{}
	for ctx.Err() == nil {
		var watched []distribute.Agent
		if a.runInLoop(ctx, func() { watched = a.watchedPeers() }) != nil {
			return
		}
		suspects := map[string]bool{}
		for _, peer := range watched {
			if a.pool.Call(ctx, pingTimeout, peer.Addr, feed.KindPing, struct{}{}, nil) == nil {
				delete(missed, peer.ID)
			} else if missed[peer.ID]++; missed[peer.ID] >= suspectAfterMisses {
				suspects[peer.ID] = true
			}
		}
		a.enqueue(func() { a.suspects = suspects })
		select {
		case <-time.After(pingInterval):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) watchedPeers() (watched []distribute.Agent) {
	byID := map[string]distribute.Agent{}
	var ids []string
	for _, m := range a.members.Agents {
		if m.Addr != a.self.Addr {
			byID[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	for _, id := range rendezvous.Top("watch/"+a.self.ID, ids, watchedPeerCount) {
		watched = append(watched, byID[id])
	}
	return watched
}

// owns tells whether a duty is this agent's, by the members it knows.
func (a *Agent) ownsKey(key string) bool {
	return rendezvous.Owner(key, a.memberIDs()) == a.self.ID
}

func (a *Agent) memberIDs() []string {
	ids := make([]string, 0, len(a.members.Agents))
	for _, m := range a.members.Agents {
		ids = append(ids, m.ID)
	}
	return ids
}
