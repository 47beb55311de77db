package tally

import (
	"slices"
	"strings"
	"time"
)

// Timing is the replica's times.
type Timing struct {
	GossipInterval    time.Duration // between messages to a peer that is in reach
	ProbeInterval     time.Duration // between messages to one that is not
	RoundTripTimeout  time.Duration // a peer without a round trip for so long is out of reach
	SilenceTimeout    time.Duration // and so is one of which nothing was heard for so long
	PeerExpiry        time.Duration // a peer that nobody names is forgotten after such a silence
	RetransmitTimeout time.Duration // what a peer did not acknowledge for so long is sent again
	RelayDelay        time.Duration // what a peer lacks of another machine's adds for so long is passed on
	SuspectWindow     time.Duration // a peer out of reach that was heard within it may still be there
	SuspectWait       time.Duration // so long a call waits for such peers, before the disks in reach are enough
	AddTimeout        time.Duration // an add that is not on enough disks by then is unclear
	WriteTimeout      time.Duration // a write that takes longer counts as a failing disk
	SlowWrite         time.Duration // after a write that took longer, callers are turned to other machines' disks
	SlowDiskBackoff   time.Duration // until the next add tries the disk
	PauseThreshold    time.Duration // without a step for so long, this machine itself stood still
	StartupWait       time.Duration // for peers that did not answer since the start
}

// DefaultTiming fits callers that turn elsewhere after a second, and merges within three.
func DefaultTiming() Timing {
	return Timing{
		GossipInterval:    200 * time.Millisecond,
		ProbeInterval:     300 * time.Millisecond,
		RoundTripTimeout:  800 * time.Millisecond,
		SilenceTimeout:    450 * time.Millisecond,
		PeerExpiry:        10 * time.Minute,
		RetransmitTimeout: 500 * time.Millisecond,
		RelayDelay:        500 * time.Millisecond,
		SuspectWindow:     3 * time.Second,
		SuspectWait:       600 * time.Millisecond,
		AddTimeout:        850 * time.Millisecond,
		WriteTimeout:      250 * time.Millisecond,
		SlowWrite:         60 * time.Millisecond,
		SlowDiskBackoff:   500 * time.Millisecond,
		PauseThreshold:    200 * time.Millisecond,
		StartupWait:       time.Second,
	}
}

// Options are what a replica is made with.
type Options struct {
	Self         string // this machine's address
	ClockBase    int64  // drawn at this start; echoes of an earlier one's messages lie elsewhere
	Incarnation  uint64 // drawn at this start
	RemoteCopies int    // other disks that an add is to be on, where they can be reached
	MaxAdds      int    // that are held; own adds are refused some before that
	NewOrigin    func() Origin
	Timing       Timing
}

// Saved is what a disk holds.
type SavedState struct {
	Set      *Set
	Origins  []Origin // that this disk gave numbers of, the newest last
	Complete bool     // the disk misses nothing that was lost with an earlier one
}

// fullShare is the part of what can be held, in percent, from which own adds are refused; the rest is for those of other machines.
const ownAddsLimitPercent = 80

// queued is an add that waits for the next batch, and the calls that wait for it.
type queuedAdd struct {
	add     Add
	waiters []waiter
}

// waiter is a call that waits for an add to be on enough disks.
type waiter struct {
	token uint64
	since time.Duration
}

// Replica is one machine's part.
type Replica struct {
	options       Options
	set           *Set
	ownOrigins    map[Origin]bool
	origin        Origin // of adds that are taken here
	originUnsaved bool   // the origin is not on disk yet

	queue             []queuedAdd    // not yet part of a batch
	staged            []Run          // of other machines, likewise
	reservedSequences VersionVector  // highest numbers that are staged, or part of the batch that is being written
	inFlight          *Batch         // nil: none
	inFlightDots      map[string]Dot // adds of that batch that were taken here, by id
	writeStarted      time.Duration  // when it was handed out
	diskFailed        bool           // the last write failed

	waiters            map[Dot][]waiter
	peers              map[string]*peer
	ready              bool          // reads are answered
	complete           bool          // the disk misses nothing that was lost with an earlier one
	completeSaved      bool          // and says so
	diskFull           bool          // the disk has no room for adds
	slowUntil          time.Duration // until then the disk counts as slow: a write took long
	lastStep           time.Duration
	ignoreSilenceUntil time.Duration // until then silence tells nothing of others
	startedAt          time.Duration
	draining           bool
	counters           Counters
}

// Counters count what was done since the start.
type Counters struct {
	Adds, Acknowledged, Refused, Unclear, Conflicts, Merged uint64
}

// New makes a replica of what its disk holds.
func New(now time.Duration, options Options, saved SavedState) *Replica {
	r := &Replica{
		options: options, set: saved.Set, ownOrigins: map[Origin]bool{}, reservedSequences: VersionVector{}, waiters: map[Dot][]waiter{},
		inFlightDots: map[string]Dot{}, peers: map[string]*peer{}, startedAt: now, lastStep: now, ignoreSilenceUntil: now + options.Timing.StartupWait,
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

// renewOrigin has this machine's adds numbered anew, under another origin.
func (r *Replica) startNewOrigin() {
	r.origin, r.originUnsaved = r.options.NewOrigin(), true
	r.ownOrigins[r.origin] = true
}

// Add takes a caller's add. Its answer comes with this step or a later one.
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

// join has a call wait for the same add that is under way already.
func (r *Replica) joinPending(out *Output, add Add, w waiter) bool {
	if dot, under := r.inFlightDots[add.ID]; under {
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

// writtenAdd gives an add of the batch that is being written.
func (r *Replica) inFlightAdd(dot Dot) Add {
	for i := range r.inFlight.Runs {
		run := &r.inFlight.Runs[i]
		if run.Origin == dot.Origin && run.First <= dot.Sequence && dot.Sequence <= run.last() {
			return run.Adds[dot.Sequence-run.First]
		}
	}
	return Add{}
}

// refusal tells why no add can be taken now, "" if one can.
func (r *Replica) refusalReason(now time.Duration) string {
	switch {
	case r.draining:
		return "this machine is about to end"
	case r.diskUnavailable(now):
		return "the disk takes no writes"
	case r.diskFull || r.set.Len()+len(r.queue) >= r.options.MaxAdds*ownAddsLimitPercent/100:
		return "no room is left for adds"
	case now < r.slowUntil && r.hasHealthyPeer(now):
		return "the disk is slow, and others are in reach"
	}
	return ""
}

// otherDiskWorks tells whether a caller that is turned away finds a better disk at a machine in reach.
func (r *Replica) hasHealthyPeer(now time.Duration) bool {
	for _, p := range r.peers {
		if r.reachable(now, p) && !p.diskFailed && !p.diskSlow {
			return true
		}
	}
	return false
}

// noRoom tells whether no more adds of any machine can be held.
func (r *Replica) atCapacity() bool { return r.set.Len() >= r.options.MaxAdds }

// diskFails tells whether the last write failed, or one takes too long.
func (r *Replica) diskUnavailable(now time.Duration) bool {
	return r.diskFailed || r.inFlight != nil && now-r.writeStarted > r.options.Timing.WriteTimeout
}

// write hands out a batch of all that waits, if none is being written.
func (r *Replica) startWrite(now time.Duration, out *Output) {
	note := r.complete && !r.completeSaved
	if r.inFlight != nil || r.diskFailed || len(r.queue)+len(r.staged) == 0 && !note {
		return
	}
	batch := &Batch{Runs: r.staged, Complete: note}
	r.staged = nil
	if len(r.queue) > 0 {
		batch.Runs = append(batch.Runs, r.assignSequences(batch))
	}
	r.inFlight, r.writeStarted = batch, now
	out.Write = batch
}

// number gives the queued adds their numbers.
func (r *Replica) assignSequences(batch *Batch) Run {
	if r.originUnsaved {
		batch.NewOrigin, r.originUnsaved = r.origin, false
	}
	run := Run{Origin: r.origin, First: r.set.LastSequence(r.origin) + 1}
	for _, q := range r.queue {
		run.Adds = append(run.Adds, q.add)
		dot := Dot{r.origin, run.last()}
		r.inFlightDots[q.add.ID] = dot
		r.waiters[dot] = append(r.waiters[dot], q.waiters...)
	}
	r.reservedSequences[r.origin] = run.last()
	r.queue = nil
	return run
}

// Synced says that the batch which was handed out is on disk.
func (r *Replica) WriteSucceeded(now time.Duration) Output {
	out := Output{}
	r.advance(now)
	batch := r.inFlight
	r.inFlight, r.inFlightDots = nil, map[string]Dot{}
	r.completeSaved = r.completeSaved || batch.Complete
	if now-r.writeStarted > r.options.Timing.SlowWrite {
		r.slowUntil = now + r.options.Timing.SlowDiskBackoff
	}
	for i := range batch.Runs {
		run := &batch.Runs[i]
		r.set.Insert(run)
		if !r.ownOrigins[run.Origin] {
			r.counters.Merged += uint64(len(run.Adds))
		}
	}
	r.sendToAll(now, &out)
	r.acknowledgeAll(now, &out)
	r.acknowledgeReplicated(now, &out)
	r.startWrite(now, &out)
	return out
}

// Failed says that the batch which was handed out may be on disk or not. Nothing is written until Recovered.
func (r *Replica) WriteFailed(now time.Duration) Output {
	out := Output{}
	r.advance(now)
	for _, dot := range r.inFlightDots {
		r.replyToWaiters(&out, dot, Unclear, "the disk failed")
	}
	r.refuseQueue(&out, "the disk failed")
	r.inFlight, r.inFlightDots, r.staged, r.diskFailed = nil, map[string]Dot{}, nil, true
	r.reservedSequences = VersionVector{}
	return out
}

// Recovered says that the disk works again and holds what was synced before, nothing else. The numbers of what failed are not used again.
func (r *Replica) DiskRecovered(now time.Duration) Output {
	r.advance(now)
	r.diskFailed = false
	r.startNewOrigin()
	return Output{}
}

// SetFull says whether the disk has no room left for adds that are taken here.
func (r *Replica) SetDiskFull(full bool) { r.diskFull = full }

// Leave says that this machine is about to end: no add is taken any more.
func (r *Replica) Drain() { r.draining = true }

// Read gives a tally's total.
func (r *Replica) Total(now time.Duration, tally string) (int64, error) {
	r.advance(now)
	if !r.ready {
		return 0, &NotReadyError{r.notReadyReason(now)}
	}
	return r.set.Total(tally), nil
}

// Tick lets time pass.
func (r *Replica) Tick(now time.Duration) Output {
	out := Output{}
	r.advance(now)
	r.expirePeers(now)
	r.gossipToAll(now, &out)
	r.sendToAll(now, &out)
	r.acknowledgeReplicated(now, &out)
	r.expireCalls(now, &out)
	r.startWrite(now, &out)
	return out
}

// step notes that this machine works at a time, and looks whether reads may be answered. After a pause of its own, the others' silence
// says nothing for a while.
func (r *Replica) advance(now time.Duration) {
	if pause := now - r.lastStep; pause > r.options.Timing.PauseThreshold {
		r.writeStarted += pause // nor is it the disk's
		r.ignoreSilenceUntil = max(r.ignoreSilenceUntil, now+r.options.Timing.SilenceTimeout)
	}
	r.lastStep = now
	if !r.ready && r.notReadyReason(now) == "" {
		r.ready, r.complete = true, true
	}
}

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

// sortedPeers gives the peers in the order of their addresses, so that equal inputs lead to equal outputs.
func (r *Replica) sortedPeers() []*peer {
	all := make([]*peer, 0, len(r.peers))
	for _, p := range r.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int { return strings.Compare(a.addr, b.addr) })
	return all
}
