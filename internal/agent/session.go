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
	watchLimit = 800 * time.Millisecond
	// avoidFor is how long a controller is passed over that did not answer or is out of touch with the core. It doubles with each time in
	// a row, up to avoidMost: each try costs up to watchLimit, in which nothing new is heard.
	avoidFor  = 700 * time.Millisecond
	avoidMost = 8 * avoidFor
	// sessionPause is the pause after a call that failed. While no controller is left that has not failed lately it doubles with each
	// further one, up to sessionPauseMost: agents that all search at once would keep the controllers from coming into touch.
	sessionPause     = 30 * time.Millisecond
	sessionPauseMost = 320 * time.Millisecond

	watchedPeers = 3
	pingEvery    = 400 * time.Millisecond
	pingLimit    = 500 * time.Millisecond
	pingMisses   = 2
)

// runSession keeps one session: with the controller that rendezvous hashing gives, and with the next one as soon as that is silent or
// says that it is out of touch.
func (a *Agent) runSession(ctx context.Context) {
	failures := newFailures()
	for ctx.Err() == nil {
		var request distribute.WatchRequest
		var addr string
		began := a.now()
		if a.ask(ctx, func() {
			request = a.watchRequest()
			addr = a.controller(failures.avoid)
		}) != nil {
			return
		}
		pause := failures.pauseBefore(addr, time.Now())
		reply := new(distribute.WatchReply)
		asked := a.now()
		err := a.pool.Call(ctx, watchLimit, addr, distribute.KindWatch, &request, reply)
		a.logSlowWatch(asked-began, a.now()-asked, addr, err)
		if err != nil || !reply.HasQuorum {
			if err != nil {
				a.log.Debug().Err(err).Str("step", "watch").Str("peer", addr).Msg("controller does not answer")
			}
			a.ask(ctx, func() { a.takeLate(asked, reply) })
			failures.add(addr, time.Now())
			time.Sleep(jittered(pause))
			continue
		}
		failures.answered(addr)
		a.ask(ctx, func() { a.takeReply(asked, reply) })
	}
}

// slowWatch is the time from which a call of the session, or the wait for the owner before it, is worth a line in the log: a controller takes
// an agent for lost that is silent for not much longer.
const slowWatch = 600 * time.Millisecond

func (a *Agent) logSlowWatch(owner, call time.Duration, addr string, err error) {
	if owner+call < slowWatch {
		return
	}
	a.log.Info().Err(err).Str("step", "watch").Str("peer", addr).Dur("owner", owner).Dur("call", call).Int("queue", len(a.commands)).Msg("session is slow")
}

// failures are the controllers that did not answer or were out of touch lately.
type failures struct {
	avoid map[string]time.Time     // until when each is passed over
	last  map[string]time.Duration // for how long, the last time
	pause time.Duration            // after the next failed call
}

func newFailures() *failures {
	return &failures{avoid: map[string]time.Time{}, last: map[string]time.Duration{}, pause: sessionPause}
}

// pauseBefore gives the pause if the call that is made now should fail.
func (f *failures) pauseBefore(addr string, now time.Time) time.Duration {
	if now.After(f.avoid[addr]) { // one was left to be asked
		f.pause = sessionPause
		return f.pause
	}
	f.pause = min(2*f.pause, sessionPauseMost)
	return f.pause
}

// add has a controller passed over.
func (f *failures) add(addr string, now time.Time) {
	f.last[addr] = min(max(2*f.last[addr], avoidFor), avoidMost)
	f.avoid[addr] = now.Add(f.last[addr])
}

// answered forgets that a controller failed.
func (f *failures) answered(addr string) {
	delete(f.last, addr)
	f.pause = sessionPause
}

// jittered spreads a pause over its second half and the half behind, so that those who failed together do not come back together.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}

func (a *Agent) watchRequest() distribute.WatchRequest {
	request := distribute.WatchRequest{Agent: a.self, AppliedSeq: a.applied, MembersDigest: a.members.Digest, Epoch: a.epoch}
	if a.snapshot != nil {
		request.ReceivedSeq, request.ConfigSeq = a.snapshot.Seq, a.snapshot.ConfigSeq
		if time.Since(a.proxyAt) > proxySilence {
			request.AppliedSeq = request.ReceivedSeq // no proxy is there that could lag
		}
	}
	for id := range a.suspects {
		request.Suspects = append(request.Suspects, id)
	}
	return request
}

// controller picks whom to call: the best-ranked that is not avoided, else the one whose avoidance ends first.
func (a *Agent) controller(avoid map[string]time.Time) string {
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
func (a *Agent) takeReply(asked time.Duration, reply *distribute.WatchReply) {
	defer func() { a.inTouch = asked }()
	if len(reply.Controllers) > 0 {
		a.controllers, a.epoch = reply.Controllers, reply.Epoch
	}
	a.takeMembers(reply)
	a.takeSnapshot(asked, reply)
}

// takeMembers takes the members whole, or what changed of them. A change that does not fit has the next call ask for the whole.
func (a *Agent) takeMembers(reply *distribute.WatchReply) {
	members := reply.Members
	if members == nil && reply.MembersDelta != nil {
		if members = a.members.Apply(reply.MembersDelta); members == nil {
			a.members = &distribute.MemberSet{Agents: a.members.Agents}
		}
	}
	if members != nil {
		a.members = members
		a.fetchNext() // what was wanted while no members were known
		a.notify()
	}
}

// takeLate takes what is newer from a controller that is out of touch. It is committed, but not enough to begin with: only one in touch
// can tell that nothing newer was in force before.
func (a *Agent) takeLate(asked time.Duration, reply *distribute.WatchReply) {
	if a.snapshot != nil {
		a.takeSnapshot(asked, reply)
	}
}

func (a *Agent) takeSnapshot(asked time.Duration, reply *distribute.WatchReply) {
	s := reply.Snapshot
	if s == nil || a.snapshot != nil && s.Seq <= a.snapshot.Seq {
		return
	}
	if s.Config == nil && a.snapshot != nil && a.snapshot.ConfigSeq == s.ConfigSeq {
		s.Config = a.snapshot.Config
	}
	a.takeVersions(asked, s, reply)
	a.snapshot = s
	a.notify()
}

// takeVersions brings together what a controller tells of when versions were named and what this agent knows: one that it did not hear of
// while it was last in touch was named since.
func (a *Agent) takeVersions(asked time.Duration, s *distribute.Snapshot, reply *distribute.WatchReply) {
	written := asked + time.Duration(reply.LongPollMS)*time.Millisecond
	for model, wanted := range s.Models {
		known := a.versions[model]
		named := known.Newest() < wanted.Version
		if a.snapshot != nil {
			known = known.With(wanted.Version, a.inTouch)
		}
		a.versions[model] = known.MergeAges(wanted.Version, written, reply.VersionAges[model])
		if named {
			a.log.Info().Str("step", "weights").Str("model", model).Int64("version", wanted.Version).Uint64("seq", s.Seq).
				Interface("ages", a.versions[model].Ages(a.now())).Msg("version wanted")
		}
	}
}

// watchPeers pings the few agents that rendezvous hashing gives this one to watch.
func (a *Agent) watchPeers(ctx context.Context) {
	missed := map[string]int{}
	for ctx.Err() == nil {
		var watched []distribute.Agent
		if a.ask(ctx, func() { watched = a.watched() }) != nil {
			return
		}
		suspects := map[string]bool{}
		for _, peer := range watched {
			if a.pool.Call(ctx, pingLimit, peer.Addr, feed.KindPing, struct{}{}, nil) == nil {
				delete(missed, peer.ID)
			} else if missed[peer.ID]++; missed[peer.ID] >= pingMisses {
				suspects[peer.ID] = true
			}
		}
		a.enqueue(func() { a.suspects = suspects })
		select {
		case <-time.After(pingEvery):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) watched() (watched []distribute.Agent) {
	byID := map[string]distribute.Agent{}
	var ids []string
	for _, m := range a.members.Agents {
		if m.Addr != a.self.Addr {
			byID[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	for _, id := range rendezvous.Top("watch/"+a.self.ID, ids, watchedPeers) {
		watched = append(watched, byID[id])
	}
	return watched
}

// owns tells whether a duty is this agent's, by the members it knows.
func (a *Agent) owns(key string) bool {
	return rendezvous.Owner(key, a.memberIDs()) == a.self.ID
}

func (a *Agent) memberIDs() []string {
	ids := make([]string, 0, len(a.members.Agents))
	for _, m := range a.members.Agents {
		ids = append(ids, m.ID)
	}
	return ids
}
