package chain

import (
	"maps"
	"slices"
	"time"
)

// Tick is to be called some ten times a second.
func (r *Replica) Tick(now time.Duration) Output {
	return r.step(now, func() {
		r.forgive(now)
		r.forgetTold(now)
		if now-r.lastBeat >= r.options.Timing.Heartbeat {
			r.heartbeat(now)
		}
		r.fetch(now)
		r.dropOffer(now)
		r.propel(now)
	})
}

// Beat sends a heartbeat at once, as something in it changed that others wait for.
func (r *Replica) Beat(now time.Duration) Output {
	return r.step(now, func() { r.heartbeat(now) })
}

// forgive takes a gap in its own ticks out of others' silence: who stood still cannot know who spoke meanwhile.
func (r *Replica) forgive(now time.Duration) {
	if gap := now - r.lastTick; gap > r.options.Timing.Suspect/2 {
		for _, p := range r.peers {
			p.heard += gap
			p.first += gap
		}
		r.started += gap
		r.needSince, r.proposal = 0, nil
	}
	r.lastTick = now
}

func (r *Replica) heartbeat(now time.Duration) {
	r.lastBeat = now
	beat := Heartbeat{
		Epoch:     r.meta.View.Epoch,
		LogEpoch:  r.meta.LogEpoch,
		LogLength: r.length(),
		Commit:    r.state.Seq,
		Sealed:    r.sealed(),
		Applied:   r.applied,
		Leaving:   r.leaving,
		Near:      r.nearFrom(),
		Fresh:     r.fresh(now),
	}
	for id, p := range r.peers {
		if now-p.heard < r.options.Timing.Suspect {
			beat.Heard = append(beat.Heard, id)
		}
	}
	slices.Sort(beat.Heard)
	if r.hearsMembersOnly(beat.Heard) {
		beat.Heard, beat.HeardAll = nil, true
	}
	for _, id := range r.newcomers(now) {
		beat.Newcomers = append(beat.Newcomers, r.peers[id].member)
	}
	for _, to := range r.everyone(now) {
		r.send(to, Message{Heartbeat: &beat})
	}
}

// fresh tells whether this replica has run for so short a time that it may not have heard yet whom it can hear.
func (r *Replica) fresh(now time.Duration) bool { return now-r.started < r.options.Timing.Suspect }

// hearsMembersOnly tells whether those heard are just the other members of the view.
func (r *Replica) hearsMembersOnly(heard []NodeID) bool {
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
func (r *Replica) everyone(now time.Duration) []Member {
	var all []Member
	for _, m := range r.meta.View.Members() {
		if m.ID != r.meta.Identity {
			all = append(all, m)
		}
	}
	for _, id := range r.newcomers(now) {
		all = append(all, r.peers[id].member)
	}
	add := func(m Member) {
		if m.Addr != r.options.Self.Addr && !slices.ContainsFunc(all, func(other Member) bool { return other.Addr == m.Addr }) {
			all = append(all, m)
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(r.told)) {
		add(r.told[addr].member)
	}
	for _, addr := range r.seeds {
		add(Member{Addr: addr})
	}
	return all
}

// meet notes the newcomers that another machine told of. They hear from this one until nobody tells of them any more.
func (r *Replica) meet(now time.Duration, newcomers []Member) {
	for _, m := range newcomers {
		r.told[m.Addr] = toldOf{m, now}
	}
}

// forgetTold forgets newcomers that were not told of again.
func (r *Replica) forgetTold(now time.Duration) {
	maps.DeleteFunc(r.told, func(_ string, t toldOf) bool { return now-t.at >= r.options.Timing.Suspect })
}

// newcomers are machines that are heard and are no members of the view.
func (r *Replica) newcomers(now time.Duration) []NodeID {
	var ids []NodeID
	for id := range r.peers {
		if _, known := r.meta.View.Member(id); !known && r.hears(now, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *Replica) hears(now time.Duration, id NodeID) bool {
	if id == r.meta.Identity {
		return true
	}
	p := r.peers[id]
	return p != nil && now-p.heard < r.options.Timing.Suspect
}

// silence is how long a member has not been heard, by a replica that runs at least as long.
func (r *Replica) silence(now time.Duration, id NodeID) time.Duration {
	if id == r.meta.Identity {
		return 0
	}
	if p := r.peers[id]; p != nil {
		return now - max(p.heard, r.started)
	}
	return now - r.started
}

func (r *Replica) onHeartbeat(now time.Duration, m *Message) {
	beat := m.Heartbeat
	p := r.peers[m.From.ID]
	if p == nil || now-p.heard >= r.options.Timing.Suspect {
		old := p
		p = &peer{first: now}
		if old != nil {
			p.passedOver = old.passedOver
		}
		r.peers[m.From.ID] = p
	}
	p.member, p.heard, p.beat = m.From, now, *beat
	r.meet(now, beat.Newcomers)
	for id, other := range r.peers { // a machine that lost its disk is another member at the same address
		if id != m.From.ID && other.member.Addr == m.From.Addr && other.heard < now {
			delete(r.peers, id)
		}
	}
	switch {
	case beat.Epoch < r.meta.View.Epoch:
		view := r.meta.View
		r.send(m.From, Message{Decided: &view})
	case r.serving() && beat.LogEpoch == r.meta.View.Epoch && r.meta.View.InChain(m.From.ID):
		r.commitTo(min(beat.Commit, r.length()))
		r.resend(m.From.ID, beat)
	}
}

// resend repeats to the next of the chain what it lacks.
func (r *Replica) resend(id NodeID, beat *Heartbeat) {
	if r.sealed() || r.meta.View.neighbour(r.meta.Identity, 1) != id || beat.LogLength >= r.length() || beat.LogLength+1 < r.first {
		return
	}
	from := r.log[beat.LogLength+1-r.first:]
	from = slices.Clone(from[:min(len(from), resentEntries)])
	r.sendTo(id, Message{Append: &Append{r.meta.View.Epoch, from, r.state.Seq}})
}

// Current tells whether this replica serves in a view that a majority of the acceptors, each heard lately and hearing it, holds for
// the newest. It is a hint that ages at once; a read that must be the newest is confirmed.
func (r *Replica) Current(now time.Duration) bool {
	if !r.serving() {
		return false
	}
	n := 0
	for _, m := range r.meta.View.Acceptors {
		p := r.peers[m.ID]
		if m.ID == r.meta.Identity || p != nil && r.hears(now, m.ID) && p.beat.Epoch == r.meta.View.Epoch && p.beat.Hears(&r.meta.View, r.meta.Identity) {
			n++
		}
	}
	return n >= r.meta.View.Majority()
}

// Confirm asks the acceptors whether the epoch is still in force. When the nonce is confirmed it was at some time since; then the tail's
// committed state was the newest, and so was the head's if nothing in its log waited.
func (r *Replica) Confirm(now time.Duration) (nonce uint64, out Output) {
	r.nonce++
	nonce = r.nonce
	delete(r.reads, nonce-confirmKeptBelow)
	r.reads[nonce] = &read{r.meta.View.Epoch, map[NodeID]bool{}}
	out = r.step(now, func() {
		for _, m := range r.meta.View.Acceptors {
			r.send(m, Message{Confirm: &Confirm{r.meta.View.Epoch, nonce}})
		}
	})
	return nonce, out
}

func (r *Replica) onConfirm(m *Message) {
	if m.Confirm.Epoch == r.meta.View.Epoch && !r.sealed() {
		r.send(m.From, Message{Confirmed: m.Confirm})
	}
}

func (r *Replica) onConfirmed(m *Message) {
	pending := r.reads[m.Confirmed.Nonce]
	view := &r.meta.View
	if pending == nil || pending.epoch != view.Epoch || m.Confirmed.Epoch != view.Epoch || !r.Serving() {
		return
	}
	if _, known := view.Acceptor(m.From.ID); !known {
		return
	}
	pending.by[m.From.ID] = true
	if len(pending.by) >= view.Majority() {
		delete(r.reads, m.Confirmed.Nonce)
		r.out.Confirmed = append(r.out.Confirmed, m.Confirmed.Nonce)
	}
}
