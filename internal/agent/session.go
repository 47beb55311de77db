package agent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/rendezvous"
)

const (
	// watchTimeout bounds a watch call. A live controller answers in half of it.
	watchTimeout = 800 * time.Millisecond
	// minAvoidTime is how long a controller is avoided that did not answer or has no quorum. It
	// doubles with each failure in a row, up to maxAvoidTime: each attempt takes up to
	// watchTimeout, during which the agent receives no updates.
	minAvoidTime = 700 * time.Millisecond
	maxAvoidTime = 8 * minAvoidTime
	// minSessionBackoff is the pause after a failed call. While all known controllers have failed
	// recently, it doubles with each further failure up to maxSessionBackoff: if all agents search
	// at once, their calls would keep the controllers from regaining a quorum.
	minSessionBackoff = 30 * time.Millisecond
	maxSessionBackoff = 320 * time.Millisecond

	watchedPeerCount   = 3
	pingInterval       = 400 * time.Millisecond
	pingTimeout        = 500 * time.Millisecond
	suspectAfterMisses = 2
)

// runSession keeps a session with one controller: the first by rendezvous hashing, and the next one
// as soon as that doesn't answer or reports that it has no quorum.
func (a *Agent) runSession(ctx context.Context) {
	failures := newControllerFailures()
	for ctx.Err() == nil {
		var request distribute.WatchRequest
		var addr string
		start := a.now()
		if a.runInLoop(ctx, func() {
			request = a.watchRequest()
			addr = a.pickController(failures.avoidUntil)
		}) != nil {
			return
		}
		backoff := failures.backoffFor(addr, time.Now())
		reply := new(distribute.WatchReply)
		requestedAt := a.now()
		err := a.pool.Call(ctx, watchTimeout, addr, distribute.KindWatch, &request, reply)
		a.logSlowWatch(requestedAt-start, a.now()-requestedAt, addr, err)
		if err != nil || !reply.HasQuorum {
			if err != nil {
				a.log.Debug().Err(err).Str("step", "watch").Str("peer", addr).Msg("controller did not answer")
			}
			a.runInLoop(ctx, func() { a.applyReplyWithoutQuorum(requestedAt, reply) })
			failures.add(addr, time.Now())
			time.Sleep(jittered(backoff))
			continue
		}
		failures.succeeded(addr)
		a.runInLoop(ctx, func() { a.applyWatchReply(requestedAt, reply) })
	}
}

// slowWatchThreshold is the duration from which a watch call, with the wait for the command loop
// before it, is logged. A controller considers an agent lost that is silent for not much longer.
const slowWatchThreshold = 600 * time.Millisecond

// logSlowWatch logs a watch call that took longer than slowWatchThreshold: as "owner" the wait for
// the command loop, which owns the agent's state, and as "queue" the number of queued commands.
func (a *Agent) logSlowWatch(loopWait, call time.Duration, addr string, err error) {
	if loopWait+call < slowWatchThreshold {
		return
	}
	a.log.Info().Err(err).Str("step", "watch").Str("peer", addr).Dur("owner", loopWait).Dur("call", call).Int("queue", len(a.commands)).Msg("slow watch call")
}

// controllerFailures tracks the controllers that recently failed to answer or had no quorum.
type controllerFailures struct {
	avoidUntil map[string]time.Time     // end of the avoidance, by controller
	avoidTime  map[string]time.Duration // length of the last avoidance, by controller
	backoff    time.Duration            // after the next failed call
}

func newControllerFailures() *controllerFailures {
	return &controllerFailures{avoidUntil: map[string]time.Time{}, avoidTime: map[string]time.Duration{}, backoff: minSessionBackoff}
}

// backoffFor returns the backoff if the call to addr that is about to start fails.
func (f *controllerFailures) backoffFor(addr string, now time.Time) time.Duration {
	if now.After(f.avoidUntil[addr]) { // at least one controller isn't avoided
		f.backoff = minSessionBackoff
		return f.backoff
	}
	f.backoff = min(2*f.backoff, maxSessionBackoff)
	return f.backoff
}

// add records a failure of a controller, which is then avoided for a while.
func (f *controllerFailures) add(addr string, now time.Time) {
	f.avoidTime[addr] = min(max(2*f.avoidTime[addr], minAvoidTime), maxAvoidTime)
	f.avoidUntil[addr] = now.Add(f.avoidTime[addr])
}

// succeeded resets the failures of a controller.
func (f *controllerFailures) succeeded(addr string) {
	delete(f.avoidTime, addr)
	f.backoff = minSessionBackoff
}

// jittered returns a random duration between half and one and a half times backoff, so that agents
// that failed together don't retry together.
func jittered(backoff time.Duration) time.Duration {
	return backoff/2 + rand.N(backoff)
}

// watchRequest returns the request of the next watch call.
func (a *Agent) watchRequest() distribute.WatchRequest {
	request := distribute.WatchRequest{Agent: a.self, AppliedSeq: a.appliedSeq, MembersDigest: a.members.Digest, Epoch: a.epoch}
	if a.snapshot != nil {
		request.ReceivedSeq, request.ConfigSeq = a.snapshot.Seq, a.snapshot.ConfigSeq
		if time.Since(a.lastProxyRequest) > proxyTimeout {
			request.AppliedSeq = request.ReceivedSeq // there is no proxy that could lag behind
		}
	}
	for id := range a.suspects {
		request.Suspects = append(request.Suspects, id)
	}
	return request
}

// pickController returns the address of the controller to call: the best-ranked one that isn't
// avoided, else the one whose avoidance ends first.
func (a *Agent) pickController(avoidUntil map[string]time.Time) string {
	known := slices.Clone(a.controllers)
	for _, seed := range a.settings.Seeds {
		if addr := a.settings.InternalAddr(seed); !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	ranked := rendezvous.Top("session/"+a.self.Addr, known, len(known))
	now := time.Now()
	for _, addr := range ranked {
		if now.After(avoidUntil[addr]) {
			return addr
		}
	}
	if len(ranked) == 0 {
		return ""
	}
	return slices.MinFunc(ranked, func(x, y string) int { return cmp.Compare(avoidUntil[x].UnixNano(), avoidUntil[y].UnixNano()) })
}

// applyWatchReply applies the reply of a controller with a quorum to a call made at requestedAt.
// Everything that was in force at that time is known afterwards.
func (a *Agent) applyWatchReply(requestedAt time.Duration, reply *distribute.WatchReply) {
	defer func() { a.lastQuorumContact = requestedAt }() // mergeVersionAges uses the previous contact
	if len(reply.Controllers) > 0 {
		a.controllers, a.epoch = reply.Controllers, reply.Epoch
	}
	a.applyMembers(reply)
	a.applySnapshot(requestedAt, reply)
}

// applyMembers applies a full member set or a delta. If the delta doesn't fit, the next call
// requests the full set.
func (a *Agent) applyMembers(reply *distribute.WatchReply) {
	members := reply.Members
	if members == nil && reply.MembersDelta != nil {
		if members = a.members.Apply(reply.MembersDelta); members == nil {
			a.members = &distribute.MemberSet{Agents: a.members.Agents}
		}
	}
	if members != nil {
		a.members = members
		a.startResyncs() // resyncs that were requested while no members were known
		a.notifyProxy()
	}
}

// applyReplyWithoutQuorum applies a newer snapshot from a controller without a quorum. The snapshot
// is committed, but can't serve as an agent's first: only a controller with a quorum knows that
// nothing newer was already in force.
func (a *Agent) applyReplyWithoutQuorum(requestedAt time.Duration, reply *distribute.WatchReply) {
	if a.snapshot != nil {
		a.applySnapshot(requestedAt, reply)
	}
}

// applySnapshot applies a snapshot that is newer than the current one.
func (a *Agent) applySnapshot(requestedAt time.Duration, reply *distribute.WatchReply) {
	snapshot := reply.Snapshot
	if snapshot == nil || a.snapshot != nil && snapshot.Seq <= a.snapshot.Seq {
		return
	}
	if snapshot.Config == nil && a.snapshot != nil && a.snapshot.ConfigSeq == snapshot.ConfigSeq {
		snapshot.Config = a.snapshot.Config
	}
	a.mergeVersionAges(requestedAt, snapshot, reply)
	if snapshot.ConfigSeq != 0 && (a.snapshot == nil || a.snapshot.ConfigSeq != snapshot.ConfigSeq) {
		a.configDigest = config.TextDigest(snapshot.Config)
		a.log.Info().Str("step", "configuration").Uint64("seq", snapshot.ConfigSeq).Str("digest", a.configDigest).
			Dur("asked", a.now()-requestedAt).Msg("configuration received from a controller")
	}
	a.snapshot = snapshot
	a.notifyProxy()
}

// mergeVersionAges merges a controller's ages of the wanted versions with those that this agent
// knows. A version that was unknown at the last contact with a quorum was set after that contact,
// which bounds its age.
func (a *Agent) mergeVersionAges(requestedAt time.Duration, snapshot *distribute.Snapshot, reply *distribute.WatchReply) {
	writtenAt := requestedAt + time.Duration(reply.LongPollMS)*time.Millisecond
	for model, wanted := range snapshot.Models {
		known := a.versionHistories[model]
		isNew := known.Newest() < wanted.Version
		if a.snapshot != nil {
			known = known.With(wanted.Version, a.lastQuorumContact)
		}
		a.versionHistories[model] = known.MergeAges(wanted.Version, writtenAt, reply.VersionAges[model])
		if isNew {
			a.log.Info().Str("step", "weights").Str("model", model).Int64("version", wanted.Version).Uint64("seq", snapshot.Seq).
				Interface("ages", a.versionHistories[model].Ages(a.now())).Msg("version wanted")
		}
	}
}

// watchPeers pings the few agents that rendezvous hashing assigns to this one, and records those
// that don't answer as suspects.
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

// watchedPeers returns the agents that this agent pings.
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

// ownsKey reports whether this agent owns a rendezvous key among the members that it knows.
func (a *Agent) ownsKey(key string) bool {
	return rendezvous.Owner(key, a.memberIDs()) == a.self.ID
}

// memberIDs returns the IDs of the known members.
func (a *Agent) memberIDs() []string {
	ids := make([]string, 0, len(a.members.Agents))
	for _, m := range a.members.Agents {
		ids = append(ids, m.ID)
	}
	return ids
}
