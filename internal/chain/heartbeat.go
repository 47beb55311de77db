package chain

import (
	"maps"
	"slices"
	"time"
)

// Tick is to be called some ten times a second.
func (r *Replica) Tick(now time.Duration) Output {
	return r.step(now, func() {
		r.compensateForPause(now)
		r.expireAnnouncements(now)
		if now-r.lastHeartbeat >= r.options.Timing.HeartbeatInterval {
			r.broadcastHeartbeat(now)
		}
		r.fetchState(now)
		r.releaseServedState(now)
		r.driveProposal(now)
	})
}

// Beat sends a heartbeat at once, as something in it changed that others wait for.
func (r *Replica) SendHeartbeat(now time.Duration) Output {
	return r.step(now, func() { r.broadcastHeartbeat(now) })
}

// forgive takes a gap in its own ticks out of others' silence: who stood still cannot know who spoke meanwhile.
func (r *Replica) compensateForPause(now time.Duration) {
	if gap := now - r.lastTick; gap > r.options.Timing.SuspectTimeout/2 {
		for _, p := range r.peers {
			p.lastHeartbeat += gap
			p.aliveSince += gap
		}
		r.startedAt += gap
		r.changeNeededSince, r.proposal = 0, nil
	}
	r.lastTick = now
}

func (r *Replica) broadcastHeartbeat(now time.Duration) {
	r.lastHeartbeat = now
	beat := Heartbeat{
		Epoch:           r.meta.View.Epoch,
		LogEpoch:        r.meta.LogEpoch,
		LogLength:       r.lastSeq(),
		Commit:          r.state.Seq,
		Sealed:          r.isSealed(),
		Applied:         r.applied,
		Leaving:         r.leaving,
		MinCatchUpSeq:   r.minCatchUpSeq(),
		RecentlyStarted: r.isRecentlyStarted(now),
	}
	for id, p := range r.peers {
		if now-p.lastHeartbeat < r.options.Timing.SuspectTimeout {
			beat.AlivePeers = append(beat.AlivePeers, id)
		}
	}
	slices.Sort(beat.AlivePeers)
	if r.onlyMembersAlive(beat.AlivePeers) {
		beat.AlivePeers, beat.AllMembersAlive = nil, true
	}
	for _, id := range r.joiningNodes(now) {
		beat.JoiningNodes = append(beat.JoiningNodes, r.peers[id].member)
	}
	for _, to := range r.heartbeatTargets(now) {
		r.send(to, Message{Heartbeat: &beat})
	}
}

// fresh tells whether this replica has run for so short a time that it may not have heard yet whom it can hear.
func (r *Replica) isRecentlyStarted(now time.Duration) bool {
	return now-r.startedAt < r.options.Timing.SuspectTimeout
}

// hearsMembersOnly tells whether those heard are just the other members of the view.
func (r *Replica) onlyMembersAlive(heard []NodeID) bool {
	others := 0
	for _, m := range r.meta.View.Members() {
		if m.ID != r.meta.Identity {
			others++
			if !slices.Contains(heard, m.ID) {
				return false
			}
		}
	}
	return len(heard) == others && others > 0
}

// SetSeeds names addresses at which other core machines may be, for one that does not know the view in force.
func (r *Replica) SetSeeds(addrs []string) { r.seeds = addrs }

// everyone is all other machines of the core: those of the view, newcomers that were heard or told of, and whoever is at the seeds.
func (r *Replica) heartbeatTargets(now time.Duration) []Member {
	var all []Member
	for _, m := range r.meta.View.Members() {
		if m.ID != r.meta.Identity {
			all = append(all, m)
		}
	}
	for _, id := range r.joiningNodes(now) {
		all = append(all, r.peers[id].member)
	}
	add := func(m Member) {
		if m.Addr != r.options.Self.Addr && !slices.ContainsFunc(all, func(other Member) bool { return other.Addr == m.Addr }) {
			all = append(all, m)
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(r.announced)) {
		add(r.announced[addr].member)
	}
	for _, addr := range r.seeds {
		add(Member{Addr: addr})
	}
	return all
}

// meet notes the newcomers that another machine told of. They hear from this one until nobody tells of them any more.
func (r *Replica) recordAnnouncements(now time.Duration, newcomers []Member) {
	for _, m := range newcomers {
		r.announced[m.Addr] = announcement{m, now}
	}
}

// forgetTold forgets newcomers that were not told of again.
func (r *Replica) expireAnnouncements(now time.Duration) {
	maps.DeleteFunc(r.announced, func(_ string, t announcement) bool { return now-t.receivedAt >= r.options.Timing.SuspectTimeout })
}

// newcomers are machines that are heard and are no members of the view.
func (r *Replica) joiningNodes(now time.Duration) []NodeID {
	var ids []NodeID
	for id := range r.peers {
		if _, known := r.meta.View.Member(id); !known && r.isAlive(now, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *Replica) isAlive(now time.Duration, id NodeID) bool {
	if id == r.meta.Identity {
		return true
	}
	p := r.peers[id]
	return p != nil && now-p.lastHeartbeat < r.options.Timing.SuspectTimeout
}

// silence is how long a member has not been heard, by a replica that runs at least as long.
func (r *Replica) sinceHeartbeat(now time.Duration, id NodeID) time.Duration {
	if id == r.meta.Identity {
		return 0
	}
	if p := r.peers[id]; p != nil {
		return now - max(p.lastHeartbeat, r.startedAt)
	}
	return now - r.startedAt
}

func (r *Replica) onHeartbeat(now time.Duration, m *Message) {
	beat := m.Heartbeat
	p := r.peers[m.From.ID]
	if p == nil || now-p.lastHeartbeat >= r.options.Timing.SuspectTimeout {
		old := p
		p = &peer{aliveSince: now}
		if old != nil {
			p.backoffUntil = old.backoffUntil
		}
		r.peers[m.From.ID] = p
	}
	p.member, p.lastHeartbeat, p.heartbeat = m.From, now, *beat
	r.recordAnnouncements(now, beat.JoiningNodes)
	for id, other := range r.peers { // a machine that lost its disk is another member at the same address
		if id != m.From.ID && other.member.Addr == m.From.Addr && other.lastHeartbeat < now {
			delete(r.peers, id)
		}
	}
	switch {
	case beat.Epoch < r.meta.View.Epoch:
		view := r.meta.View
		r.send(m.From, Message{Decided: &view})
	case r.serving() && beat.LogEpoch == r.meta.View.Epoch && r.meta.View.InChain(m.From.ID):
		r.commitTo(min(beat.Commit, r.lastSeq()))
		r.resendEntries(m.From.ID, beat)
	}
}

// resend repeats to the next of the chain what it lacks.
func (r *Replica) resendEntries(id NodeID, beat *Heartbeat) {
	if r.isSealed() || r.meta.View.neighbour(r.meta.Identity, 1) != id || beat.LogLength >= r.lastSeq() || beat.LogLength+1 < r.firstSeq {
		return
	}
	from := r.log[beat.LogLength+1-r.firstSeq:]
	from = slices.Clone(from[:min(len(from), maxResentEntries)])
	r.sendTo(id, Message{Append: &Append{r.meta.View.Epoch, from, r.state.Seq}})
}

// Current tells whether this replica serves in a view that a majority of the acceptors, each heard lately and hearing it, holds for
// the newest. It is a hint that ages at once; a read that must be the newest is confirmed.
func (r *Replica) HasQuorum(now time.Duration) bool {
	if !r.serving() {
		return false
	}
	n := 0
	for _, m := range r.meta.View.Acceptors {
		p := r.peers[m.ID]
		if m.ID == r.meta.Identity || p != nil && r.isAlive(now, m.ID) && p.heartbeat.Epoch == r.meta.View.Epoch && p.heartbeat.SeesAlive(&r.meta.View, r.meta.Identity) {
			n++
		}
	}
	return n >= r.meta.View.Majority()
}

// Confirm asks the acceptors whether the epoch is still in force. When the nonce is confirmed it was at some time since; then the tail's
// committed state was the newest, and so was the head's if nothing in its log waited.
func (r *Replica) ConfirmEpoch(now time.Duration) (nonce uint64, out Output) {
	r.lastNonce++
	nonce = r.lastNonce
	delete(r.pendingReads, nonce-maxPendingReads)
	r.pendingReads[nonce] = &pendingRead{r.meta.View.Epoch, map[NodeID]bool{}}
	out = r.step(now, func() {
		for _, m := range r.meta.View.Acceptors {
			r.send(m, Message{Confirm: &Confirm{r.meta.View.Epoch, nonce}})
		}
	})
	return nonce, out
}

func (r *Replica) onConfirm(m *Message) {
	if m.Confirm.Epoch == r.meta.View.Epoch && !r.isSealed() {
		r.send(m.From, Message{Confirmed: m.Confirm})
	}
}

func (r *Replica) onConfirmed(m *Message) {
	pending := r.pendingReads[m.Confirmed.Nonce]
	view := &r.meta.View
	if pending == nil || pending.epoch != view.Epoch || m.Confirmed.Epoch != view.Epoch || !r.Serving() {
		return
	}
	if _, known := view.Acceptor(m.From.ID); !known {
		return
	}
	pending.confirmedBy[m.From.ID] = true
	if len(pending.confirmedBy) >= view.Majority() {
		delete(r.pendingReads, m.Confirmed.Nonce)
		r.out.ConfirmedReads = append(r.out.ConfirmedReads, m.Confirmed.Nonce)
	}
}
