package tally

import "time"

// lostPatience is how much longer a machine whose disk was lost waits for others.
const lostPatience = 2

// unready tells why reads are not to be answered yet, "" if they are: since its start this machine is to hold what each peer in reach held
// when it was first heard, and one whose disk was lost is to have learned from a machine that answers reads.
func (r *Replica) unready(now time.Duration) string {
	learned, patience := false, r.options.Timing.FirstWait
	if !r.complete {
		patience *= lostPatience
	}
	for _, p := range r.peers {
		if p.first != nil && r.holdsAll(p.first) {
			learned = learned || p.ready
			continue
		}
		if now < r.blind || now-max(p.heard, p.added, r.boot) < patience {
			return "not yet in step with " + p.addr
		}
	}
	if !r.complete && !learned {
		return "the disk was empty, and no other machine told yet what it holds"
	}
	return ""
}

// holdsAll tells whether all that a vector names is on this disk.
func (r *Replica) holdsAll(vector Vector) bool {
	for origin, number := range vector {
		if r.set.Held(origin) < number {
			return false
		}
	}
	return true
}

// Flushed tells whether each peer in reach has all that this machine took, so that it may end for good.
func (r *Replica) Flushed(now time.Duration) bool {
	for _, p := range r.peers {
		for origin := range r.own {
			if r.inReach(now, p) && !p.failed && p.link(origin).known < r.set.Held(origin) {
				return false
			}
		}
	}
	return r.writing == nil && len(r.queue) == 0
}
