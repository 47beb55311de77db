package chain

import (
	"slices"
	"time"
)

// wanted is the next view as this replica would have it: who accepts, and who should be in the chain.
type wanted struct {
	acceptors []Member
	chain     []NodeID
}

// delay grows with the number of acceptors before this one that are heard.
func (r *Replica) delay(now time.Duration) time.Duration {
	n := 0
	for _, m := range r.meta.View.Acceptors {
		if m.ID == r.meta.Identity {
			break
		}
		if r.hears(now, m.ID) {
			n++
		}
	}
	return time.Duration(n) * 2 * r.options.Timing.Heartbeat
}

// possible tells whether enough machines are heard for a view to be agreed on and to take writes.
func (r *Replica) possible(now time.Duration, want wanted) bool {
	if _, acceptor := r.meta.View.Acceptor(r.meta.Identity); !acceptor {
		return false
	}
	heard, intact := 0, false
	for _, m := range r.meta.View.Acceptors {
		if r.hears(now, m.ID) {
			heard++
			intact = intact || r.meta.View.InChain(m.ID)
		}
	}
	return heard >= r.meta.View.Majority() && intact && len(want.chain) >= r.options.Copies
}

// want tells which view is wanted, and whether it differs from the one in force.
func (r *Replica) want(now time.Duration) (wanted, bool) {
	view := &r.meta.View
	newcomers := slices.DeleteFunc(r.newcomers(now, 0), func(id NodeID) bool { return !r.ready(now, id) })
	want := wanted{acceptors: r.wantedAcceptors(now, newcomers)}
	for _, m := range want.acceptors {
		if r.hears(now, m.ID) && (view.InChain(m.ID) || m.ID == r.meta.Identity || r.ready(now, m.ID)) {
			want.chain = append(want.chain, m.ID)
		}
	}
	same := sameMembers(want.acceptors, view.Acceptors) && sameSet(want.chain, view.Chain)
	return want, !same || r.stuck(now) || r.anySealed(now) || r.broken(now)
}

// ready tells whether a member may be taken into the chain: heard for a while, hearing this one, and not just left behind by a
// proposal that waited for it.
func (r *Replica) ready(now time.Duration, id NodeID) bool {
	p := r.peers[id]
	return p != nil && now-p.first >= r.options.Timing.Settle && now >= p.passedOver && p.beat.Hears(&r.meta.View, r.meta.Identity)
}

// wantedAcceptors is the acceptors, without those that were replaced or are silent for long, and with newcomers.
func (r *Replica) wantedAcceptors(now time.Duration, newcomers []NodeID) []Member {
	timing := &r.options.Timing
	acceptors := slices.Clone(r.meta.View.Acceptors)
	for _, id := range newcomers {
		newcomer := r.peers[id].member
		i := r.replaced(now, acceptors, newcomer)
		if i >= 0 {
			acceptors = slices.Delete(acceptors, i, i+1)
		}
		acceptors = append(acceptors, newcomer)
	}
	least := 2*r.options.Copies - 1
	for len(acceptors) > least {
		i := r.longestSilent(now, acceptors, timing.Drop)
		if i < 0 {
			break
		}
		acceptors = slices.Delete(acceptors, i, i+1)
	}
	return acceptors
}

// replaced is the acceptor whose place a newcomer takes: the one at its address, or the one that is silent for longest; -1 if none is.
func (r *Replica) replaced(now time.Duration, acceptors []Member, newcomer Member) int {
	at := slices.IndexFunc(acceptors, func(m Member) bool { return m.Addr == newcomer.Addr })
	if at >= 0 {
		return at
	}
	return r.longestSilent(now, acceptors, r.options.Timing.Replace)
}

func (r *Replica) longestSilent(now time.Duration, acceptors []Member, least time.Duration) int {
	at, most := -1, least
	for i, m := range acceptors {
		if s := r.silence(now, m.ID); s > most {
			at, most = i, s
		}
	}
	return at
}

// stuck tells whether a write has been on its way for too long.
func (r *Replica) stuck(now time.Duration) bool {
	return r.serving() && r.pending != 0 && now-r.pending > r.options.Timing.Stuck
}

// broken tells whether a member of the chain is there but does not hold its log.
func (r *Replica) broken(now time.Duration) bool {
	for _, id := range r.meta.View.Chain {
		p := r.peers[id]
		if p != nil && r.hears(now, id) && p.beat.Epoch == r.meta.View.Epoch && p.beat.LogEpoch != r.meta.View.Epoch {
			return true
		}
	}
	return r.meta.View.InChain(r.meta.Identity) && !r.serving()
}

// anySealed tells whether a proposal was begun that may never end.
func (r *Replica) anySealed(now time.Duration) bool {
	if r.sealed() {
		return true
	}
	for id, p := range r.peers {
		if r.hears(now, id) && p.beat.Sealed && p.beat.Epoch == r.meta.View.Epoch {
			return true
		}
	}
	return false
}
