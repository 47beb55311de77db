package tally

import (
	"slices"
	"time"
)

// partitionWitnesses is the least number of a peer's witnesses that can show a partition.
const partitionWitnesses = 2

// Zones returns the zones of the peers that have told theirs, by address.
func (r *Replica) Zones() map[string]string {
	zones := map[string]string{}
	for addr, p := range r.peers {
		if p.zone != "" {
			zones[addr] = p.zone
		}
	}
	return zones
}

// SetWitnesses names machines that a partition between this machine and a peer also cuts off, such as
// others in the peer's zone. It is called again and again, SilenceTimeout apart at least. Witnesses are used
// from the next call on for which the peer is still reachable: what is known at a moment at which the peer
// has fallen silent, but doesn't count as unreachable yet, may already lack those behind the partition. For
// WitnessDelay after a partition has healed, not all of them may be known again.
func (r *Replica) SetWitnesses(now time.Duration, addr string, witnesses []string) {
	p := r.peers[addr]
	if p == nil || !r.reachable(now, p) {
		return
	}
	if len(witnesses) < partitionWitnesses && now-p.reachableSince < r.options.Timing.WitnessDelay {
		return
	}
	p.witnesses, p.nextWitnesses = p.nextWitnesses, witnesses
}

// Witnesses returns the witnesses in use of each peer that has any, by its address.
func (r *Replica) Witnesses() map[string][]string {
	all := map[string][]string{}
	for addr, p := range r.peers {
		if len(p.witnesses) > 0 {
			all[addr] = p.witnesses
		}
	}
	return all
}

// RestoreWitnesses names the witnesses of a peer as they were known before this replica was started. They
// are used until the peer is reachable.
func (r *Replica) RestoreWitnesses(addr string, witnesses []string) {
	if p := r.peers[addr]; p != nil && !p.everReachable {
		p.witnesses = witnesses
	}
}

// SetLocalWitnesses names machines that are on this machine's side of any partition, such as others in its
// zone.
func (r *Replica) SetLocalWitnesses(witnesses []string) { r.localWitnesses = witnesses }

// localSideAlive reports whether a local witness has just accepted a connection.
func (r *Replica) localSideAlive(now time.Duration) bool {
	return slices.ContainsFunc(r.localWitnesses, func(addr string) bool { return r.answering(now, addr) })
}

// answering reports whether a witness has just accepted a connection.
func (r *Replica) answering(now time.Duration, addr string) bool {
	a := r.witnesses[addr]
	return a != nil && a.lastAccepted != never && now-a.lastAccepted < r.attemptValidity()
}

// fellSilentTogether reports whether neither a peer nor any of its witnesses has answered a connection
// attempt since the peer fell silent. A peer that this replica has never reached may have been silent
// before its witnesses were, so this shows nothing about it.
func (r *Replica) fellSilentTogether(now time.Duration, p *peer) bool {
	if !p.everReachable || !r.allUnanswered(now, &p.attempts) {
		return false
	}
	return r.everyWitness(p, func(a *attempts) bool {
		return a.lastAccepted < p.attempts.firstStarted && r.allUnanswered(now, a)
	})
}

// allFailing reports whether neither a peer nor any of its witnesses has accepted a connection for
// RefusedPartitionWait.
func (r *Replica) allFailing(now time.Duration, p *peer) bool {
	return r.failing(now, &p.attempts) && r.everyWitness(p, func(a *attempts) bool { return r.failing(now, a) })
}

// everyWitness reports whether a condition holds for the attempts to each witness of a peer.
func (r *Replica) everyWitness(p *peer, holds func(*attempts) bool) bool {
	return !slices.ContainsFunc(p.witnesses, func(addr string) bool {
		a := r.witnesses[addr]
		return a == nil || !holds(a)
	})
}

// answeringWitnesses returns how many of a peer's witnesses have just accepted a connection.
func (r *Replica) answeringWitnesses(now time.Duration, p *peer) (count int) {
	for _, addr := range p.witnesses {
		if r.answering(now, addr) {
			count++
		}
	}
	return count
}
