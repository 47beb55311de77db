package chain

import (
	"maps"
	"slices"
	"time"
)

// Tick advances timeouts and periodic work. Call it about ten times per second.
func (r *Replica) Tick(now time.Duration) Output {
	return r.step(now, func() {
		r.compensateForPause(now)
		r.expireAnnouncements(now)
		if now-r.heartbeatSentAt >= r.options.Timing.HeartbeatInterval {
			r.broadcastHeartbeat(now)
		}
		r.continueFetch(now)
		r.releaseServedState(now)
		r.driveProposal(now)
	})
}

// SendHeartbeat sends a heartbeat immediately, because a value that other nodes wait for has
// changed.
func (r *Replica) SendHeartbeat(now time.Duration) Output {
	return r.step(now, func() { r.broadcastHeartbeat(now) })
}

// compensateForPause subtracts a pause of this process from the silence of its peers: a process
// that was paused cannot know who sent heartbeats meanwhile.
func (r *Replica) compensateForPause(now time.Duration) {
	if gap := now - r.lastTick; gap > r.options.Timing.SuspectTimeout/2 {
		for _, p := range r.peers {
			p.heartbeatReceivedAt += gap
			p.aliveSince += gap
		}
		r.startedAt += gap
		r.changeNeededSince, r.proposal = 0, nil
	}
	r.lastTick = now
}

// broadcastHeartbeat sends a heartbeat to all other core nodes.
func (r *Replica) broadcastHeartbeat(now time.Duration) {
	r.heartbeatSentAt = now
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
		if now-p.heartbeatReceivedAt < r.options.Timing.SuspectTimeout {
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

// isRecentlyStarted reports whether this replica may not have received heartbeats from all live
// nodes yet.
func (r *Replica) isRecentlyStarted(now time.Duration) bool {
	return now-r.startedAt < r.options.Timing.SuspectTimeout
}

// onlyMembersAlive reports whether the live nodes are exactly the other members of the view.
func (r *Replica) onlyMembersAlive(alive []NodeID) bool {
	others := 0
	for _, m := range r.meta.View.Members() {
		if m.ID != r.meta.Identity {
			others++
			if !slices.Contains(alive, m.ID) {
				return false
			}
		}
	}
	return len(alive) == others && others > 0
}

// SetSeeds sets addresses of possible core nodes, for a replica that does not know the current
// view.
func (r *Replica) SetSeeds(addrs []string) { r.seeds = addrs }

// heartbeatTargets returns all other core nodes: the view members, joining nodes that are alive or
// announced, and the seeds.
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

// recordAnnouncements notes the joining nodes that another node announced. They are sent heartbeats
// until the announcements stop.
func (r *Replica) recordAnnouncements(now time.Duration, joining []Member) {
	for _, m := range joining {
		r.announced[m.Addr] = announcement{m, now}
	}
}

// expireAnnouncements drops joining nodes that are no longer announced.
func (r *Replica) expireAnnouncements(now time.Duration) {
	maps.DeleteFunc(r.announced, func(_ string, a announcement) bool { return now-a.receivedAt >= r.options.Timing.SuspectTimeout })
}

// joiningNodes returns the live nodes that are not members of the view.
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

// isAlive reports whether a heartbeat of the node arrived within SuspectTimeout.
func (r *Replica) isAlive(now time.Duration, id NodeID) bool {
	if id == r.meta.Identity {
		return true
	}
	p := r.peers[id]
	return p != nil && now-p.heartbeatReceivedAt < r.options.Timing.SuspectTimeout
}

// sinceHeartbeat returns how long this replica, while it ran, has received no heartbeat from a
// node.
func (r *Replica) sinceHeartbeat(now time.Duration, id NodeID) time.Duration {
	if id == r.meta.Identity {
		return 0
	}
	if p := r.peers[id]; p != nil {
		return now - max(p.heartbeatReceivedAt, r.startedAt)
	}
	return now - r.startedAt
}

func (r *Replica) onHeartbeat(now time.Duration, m *Message) {
	beat := m.Heartbeat
	p := r.peers[m.From.ID]
	if p == nil || now-p.heartbeatReceivedAt >= r.options.Timing.SuspectTimeout {
		old := p
		p = &peer{aliveSince: now}
		if old != nil {
			p.backoffUntil = old.backoffUntil
		}
		r.peers[m.From.ID] = p
	}
	p.member, p.heartbeatReceivedAt, p.heartbeat = m.From, now, *beat
	r.recordAnnouncements(now, beat.JoiningNodes)
	for id, other := range r.peers { // a node that lost its disk is a new member at the same address
		if id != m.From.ID && other.member.Addr == m.From.Addr && other.heartbeatReceivedAt < now {
			delete(r.peers, id)
		}
	}
	switch {
	case beat.Epoch < r.meta.View.Epoch:
		view := r.meta.View
		r.send(m.From, Message{Decided: &view})
	case r.holdsChainLog() && beat.LogEpoch == r.meta.View.Epoch && r.meta.View.InChain(m.From.ID):
		r.commitTo(min(beat.Commit, r.lastSeq()))
		r.resendEntries(m.From.ID, beat)
	}
}

// resendEntries sends the next chain member the entries that it lacks.
func (r *Replica) resendEntries(id NodeID, beat *Heartbeat) {
	if r.isSealed() || r.meta.View.neighbour(r.meta.Identity, 1) != id || beat.LogLength >= r.lastSeq() || beat.LogLength+1 < r.firstSeq {
		return
	}
	entries := r.log[beat.LogLength+1-r.firstSeq:]
	entries = slices.Clone(entries[:min(len(entries), maxResentEntries)])
	r.sendTo(id, Message{Append: &Append{r.meta.View.Epoch, entries, r.state.Seq}})
}

// HasQuorum reports whether this replica serves in a view that is the newest one for a majority of
// the acceptors, each alive and receiving heartbeats from this replica, and knows what was committed
// before its start. The result may be outdated at once; a linearizable read needs ConfirmEpoch.
func (r *Replica) HasQuorum(now time.Duration) bool {
	if !r.holdsChainLog() || !r.knowsCommitted() {
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

// ConfirmEpoch asks the acceptors whether the epoch is still current. Once the nonce appears in
// Output.ConfirmedReads, the epoch was current at some time after the call; the committed state of
// the tail was the newest then, and so was that of the head if its log had no uncommitted entry.
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
