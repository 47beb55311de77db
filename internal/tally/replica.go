package tally

import (
	"slices"
	"strings"
	"time"
)

// Timing holds the intervals and timeouts of a replica.
type Timing struct {
	GossipInterval    time.Duration // between full vectors to a peer that was heard within SilenceTimeout
	ProbeInterval     time.Duration // between full vectors to other peers
	RoundTripTimeout  time.Duration // a peer that has echoed no message sent within this time is unreachable
	SilenceTimeout    time.Duration // a peer that has sent nothing for this long is unreachable
	PeerExpiry        time.Duration // silence after which a peer that isn't permanent is removed
	RetransmitTimeout time.Duration // adds are sent again after this time without an acknowledgement
	RelayDelay        time.Duration // adds of another origin that a peer lacks for this long are relayed
	RecentlyHeard     time.Duration // adds are sent to an unreachable peer that was heard within this time
	AttemptAfter      time.Duration // silence of a peer after which connection attempts show where it is
	AttemptTimeout    time.Duration // an attempt without an answer for this long is unanswered; longer than any round trip
	AttemptRetry      time.Duration // between attempts until they show why the peer is silent
	AttemptInterval   time.Duration // between attempts from then on
	PartitionWait     time.Duration // attempts must go unanswered for this long to show that a machine is silent
	// RefusedPartitionWait is how long a peer and all of its witnesses must accept no connection to show a
	// partition if they don't fall silent together; longer than processes that are killed together take to be
	// back.
	RefusedPartitionWait time.Duration
	SilentProcessWait    time.Duration // a silent process whose machine answers for this long is unavailable
	AddTimeout           time.Duration // a call whose add isn't on enough disks after this time is answered Unclear
	WriteTimeout         time.Duration // a write that takes longer counts as a disk failure
	SlowWrite            time.Duration // after a write that took longer, adds are refused if a peer's disk is healthy
	SlowDiskBackoff      time.Duration // how long adds are refused after a slow write
	PauseThreshold       time.Duration // a longer gap between events means that this process was paused
	WitnessDelay         time.Duration // how long after a partition the witnesses of a peer may not be known again
	StartupWait          time.Duration // how long reads after a start wait for a silent peer
}

// DefaultTiming returns values for callers that try another machine after one second; replicas merge
// within three seconds.
func DefaultTiming() Timing {
	return Timing{
		GossipInterval:       200 * time.Millisecond,
		ProbeInterval:        300 * time.Millisecond,
		RoundTripTimeout:     800 * time.Millisecond,
		SilenceTimeout:       450 * time.Millisecond,
		PeerExpiry:           10 * time.Minute,
		RetransmitTimeout:    500 * time.Millisecond,
		RelayDelay:           500 * time.Millisecond,
		RecentlyHeard:        3 * time.Second,
		AttemptAfter:         300 * time.Millisecond,
		AttemptTimeout:       200 * time.Millisecond,
		AttemptRetry:         50 * time.Millisecond,
		AttemptInterval:      250 * time.Millisecond,
		PartitionWait:        350 * time.Millisecond,
		RefusedPartitionWait: 2 * time.Second,
		SilentProcessWait:    600 * time.Millisecond,
		AddTimeout:           850 * time.Millisecond,
		WriteTimeout:         250 * time.Millisecond,
		SlowWrite:            60 * time.Millisecond,
		SlowDiskBackoff:      500 * time.Millisecond,
		PauseThreshold:       200 * time.Millisecond,
		WitnessDelay:         3 * time.Second,
		StartupWait:          time.Second,
	}
}

// Options configures a replica.
type Options struct {
	Self         string // address of this machine
	Zone         string // of this machine
	ClockBase    int64  // nanoseconds, random at each start; offset of SentAt that tells apart echoes of earlier starts
	Incarnation  uint64 // random at each start
	RemoteCopies int    // disks besides the local one that an add must be on, if reachable
	MaxAdds      int    // capacity of the set, in adds; callers' adds are refused at ownAddsLimitPercent of it
	NewOrigin    func() Origin
	Timing       Timing
}

// SavedState is the state read from a disk.
type SavedState struct {
	Set      *Set
	Origins  []Origin // of this disk's own adds, the newest last
	Complete bool     // the disk has lost no adds, or has caught up with the peers since
}

// ownAddsLimitPercent is the share of MaxAdds from which callers' adds are refused. The rest is reserved
// for adds of other machines.
const ownAddsLimitPercent = 80

// queuedAdd is an add that waits for the next batch, with the calls that wait for it.
type queuedAdd struct {
	add     Add
	waiters []waiter
}

// waiter is a call that waits for an add to be on enough disks.
type waiter struct {
	token uint64
	since time.Duration // when the call arrived
}

// Replica is one machine's replica of the tallies. It isn't safe for concurrent use. Times are durations
// on a monotonic clock of the caller.
type Replica struct {
	options       Options
	set           *Set
	ownOrigins    map[Origin]bool
	origin        Origin // of adds that are accepted here
	originUnsaved bool   // the origin isn't on disk yet

	queue             []queuedAdd    // callers' adds that aren't part of a batch yet
	staged            []Run          // peers' adds that aren't part of a batch yet
	reservedSequences VersionVector  // highest sequence numbers staged or handed out for writing
	inFlight          *Batch         // the batch that is being written; nil: none
	inFlightDots      map[string]Dot // callers' adds in that batch, by id
	writeStarted      time.Duration  // when that write started
	diskFailed        bool           // a write failed since the last DiskRecovered

	waiters            map[Dot][]waiter
	peers              map[string]*peer
	witnesses          map[string]*attempts // by address, of the peers that accept no connections, and local ones
	localWitnesses     []string             // addresses of machines on this machine's side of any partition
	ready              bool                 // reads are answered
	complete           bool                 // the disk has lost no adds, or has caught up with the peers since
	completeSaved      bool                 // a batch with Complete set is on disk
	diskFull           bool                 // the disk has no room for callers' adds
	slowUntil          time.Duration        // end of the period in which the disk counts as slow
	lastStep           time.Duration        // time of the latest event
	resumedAt          time.Duration        // end of the last pause of this process
	ignoreSilenceUntil time.Duration        // until then the silence of peers is no reason to leave them out of reads
	startedAt          time.Duration        // time at which New was called
	draining           bool
	counters           Counters
}

// Counters counts calls, outcomes and merged adds since the start.
type Counters struct {
	Adds, Acknowledged, Refused, Unclear, Conflicts, Merged uint64
}

// New creates a replica from the state on its disk.
func New(now time.Duration, options Options, saved SavedState) *Replica {
	r := &Replica{
		options: options, set: saved.Set, ownOrigins: map[Origin]bool{}, reservedSequences: VersionVector{},
		waiters:      map[Dot][]waiter{},
		inFlightDots: map[string]Dot{}, peers: map[string]*peer{}, witnesses: map[string]*attempts{},
		startedAt: now, lastStep: now, ignoreSilenceUntil: now + options.Timing.StartupWait,
	}
	for _, origin := range saved.Origins {
		r.ownOrigins[origin], r.origin = true, origin
	}
	if len(saved.Origins) == 0 {
		r.startNewOrigin()
	}
	r.complete, r.completeSaved = saved.Complete, saved.Complete
	return r
}

// startNewOrigin switches to a new origin for the adds accepted here.
func (r *Replica) startNewOrigin() {
	r.origin, r.originUnsaved = r.options.NewOrigin(), true
	r.ownOrigins[r.origin] = true
}

// Add processes a caller's add. The result is in the returned output or in that of a later event.
func (r *Replica) Add(now time.Duration, token uint64, add Add) Output {
	out := Output{}
	r.advance(now)
	r.counters.Adds++
	w := waiter{token, now}
	if counted, dot, seen := r.set.Lookup(add.ID); seen {
		if counted != add {
			r.reply(&out, token, Conflicting, "the id was counted with another tally or amount")
			return out
		}
		r.waiters[dot] = append(r.waiters[dot], w)
		r.acknowledgeReplicated(now, &out)
		return out
	}
	if reason := r.refusalReason(now); reason != "" {
		r.reply(&out, token, Refused, reason)
		return out
	}
	if r.joinPending(&out, add, w) {
		return out
	}
	r.queue = append(r.queue, queuedAdd{add, []waiter{w}})
	r.startWrite(now, &out)
	return out
}

// joinPending makes a call wait for an add with the same id that is queued or being written, and reports
// whether there was one. If it has another tally or amount, the call is answered Conflicting.
func (r *Replica) joinPending(out *Output, add Add, w waiter) bool {
	if dot, pending := r.inFlightDots[add.ID]; pending {
		if r.inFlightAdd(dot) != add {
			r.reply(out, w.token, Conflicting, "the id is under way with another tally or amount")
			return true
		}
		r.waiters[dot] = append(r.waiters[dot], w)
		return true
	}
	for i := range r.queue {
		q := &r.queue[i]
		if q.add.ID != add.ID {
			continue
		}
		if q.add != add {
			r.reply(out, w.token, Conflicting, "the id is under way with another tally or amount")
			return true
		}
		q.waiters = append(q.waiters, w)
		return true
	}
	return false
}

// inFlightAdd returns an add of the batch that is being written.
func (r *Replica) inFlightAdd(dot Dot) Add {
	for i := range r.inFlight.Runs {
		run := &r.inFlight.Runs[i]
		if run.Origin == dot.Origin && run.First <= dot.Sequence && dot.Sequence <= run.last() {
			return run.Adds[dot.Sequence-run.First]
		}
	}
	return Add{}
}

// refusalReason returns why adds are refused now, or "" if they are accepted.
func (r *Replica) refusalReason(now time.Duration) string {
	switch {
	case r.draining:
		return "this machine is about to end"
	case r.diskUnavailable(now):
		return "the disk takes no writes"
	case r.diskFull || r.set.Len()+len(r.queue) >= r.options.MaxAdds*ownAddsLimitPercent/100:
		return "no room is left for adds"
	case r.tooFewDisks(now):
		return "too few machines can store it at present"
	case now < r.slowUntil && r.hasHealthyPeer(now):
		return "the disk is slow, and others are in reach"
	}
	return ""
}

// hasHealthyPeer reports whether a reachable peer's disk is neither failed nor slow, so that a refused
// caller can turn to it.
func (r *Replica) hasHealthyPeer(now time.Duration) bool {
	for _, p := range r.peers {
		if r.reachable(now, p) && !p.diskFailed && !p.diskSlow {
			return true
		}
	}
	return false
}

// Drain makes the replica refuse all further adds, because this machine is about to be removed.
func (r *Replica) Drain() { r.draining = true }

// Total returns a tally's total, or a *NotReadyError while reads can't be answered.
func (r *Replica) Total(now time.Duration, tally string) (int64, error) {
	r.advance(now)
	if !r.ready {
		return 0, &NotReadyError{r.notReadyReason(now)}
	}
	return r.set.Total(tally), nil
}

// Tick handles everything that is due at a time: gossip, retransmissions, timeouts and writes.
func (r *Replica) Tick(now time.Duration) Output {
	out := Output{}
	r.advance(now)
	r.expirePeers(now)
	r.gossipToAll(now, &out)
	r.sendToAll(now, &out)
	r.attemptConnections(now, &out)
	r.acknowledgeReplicated(now, &out)
	r.expireCalls(now, &out)
	r.startWrite(now, &out)
	return out
}

// advance records the time of an event and updates readiness. If this process was paused, the silence of
// peers is ignored for SilenceTimeout and the evidence of partitions starts anew, as their messages may be
// waiting to be read.
func (r *Replica) advance(now time.Duration) {
	if pause := now - r.lastStep; pause > r.options.Timing.PauseThreshold {
		r.writeStarted += pause // the pause doesn't count as write time
		r.ignoreSilenceUntil = max(r.ignoreSilenceUntil, now+r.options.Timing.SilenceTimeout)
		r.resumedAt = now
		for _, p := range r.peers {
			p.attempts = newAttempts()
		}
		clear(r.witnesses)
	}
	r.lastStep = now
	if !r.ready && r.notReadyReason(now) == "" {
		r.ready, r.complete = true, true
	}
}

// reply appends the result of a call and counts its outcome.
func (r *Replica) reply(out *Output, token uint64, outcome Outcome, reason string) {
	switch outcome {
	case Acknowledged:
		r.counters.Acknowledged++
	case Conflicting:
		r.counters.Conflicts++
	case Refused:
		r.counters.Refused++
	case Unclear:
		r.counters.Unclear++
	}
	out.Results = append(out.Results, Result{token, outcome, reason})
}

// sortedPeers returns the peers ordered by address, which keeps the state machine deterministic.
func (r *Replica) sortedPeers() []*peer {
	all := make([]*peer, 0, len(r.peers))
	for _, p := range r.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int { return strings.Compare(a.addr, b.addr) })
	return all
}
