package tally

import (
	"slices"
	"strings"
	"time"
)

// Timing is the replica's times.
type Timing struct {
	Gossip    time.Duration // between messages to a peer that is in reach
	Probe     time.Duration // between messages to one that is not
	Reach     time.Duration // a peer without a round trip for so long is out of reach
	Silence   time.Duration // and so is one of which nothing was heard for so long
	Forget    time.Duration // a peer that nobody names is forgotten after such a silence
	Resend    time.Duration // what a peer did not acknowledge for so long is sent again
	Relay     time.Duration // what a peer lacks of another machine's adds for so long is passed on
	Recent    time.Duration // a peer out of reach that was heard within it may still be there
	Hesitate  time.Duration // so long a call waits for such peers, before the disks in reach are enough
	Answer    time.Duration // an add that is not on enough disks by then is unclear
	Stall     time.Duration // a write that takes longer counts as a failing disk
	Slow      time.Duration // after a write that took longer, callers are turned to other machines' disks
	SlowFor   time.Duration // until the next add tries the disk
	Pause     time.Duration // without a step for so long, this machine itself stood still
	FirstWait time.Duration // for peers that did not answer since the start
}

// DefaultTiming fits callers that turn elsewhere after a second, and merges within three.
func DefaultTiming() Timing {
	return Timing{
		Gossip:    200 * time.Millisecond,
		Probe:     300 * time.Millisecond,
		Reach:     800 * time.Millisecond,
		Silence:   450 * time.Millisecond,
		Forget:    10 * time.Minute,
		Resend:    500 * time.Millisecond,
		Relay:     500 * time.Millisecond,
		Recent:    3 * time.Second,
		Hesitate:  600 * time.Millisecond,
		Answer:    850 * time.Millisecond,
		Stall:     250 * time.Millisecond,
		Slow:      60 * time.Millisecond,
		SlowFor:   500 * time.Millisecond,
		Pause:     200 * time.Millisecond,
		FirstWait: time.Second,
	}
}

// Options are what a replica is made with.
type Options struct {
	Self      string // this machine's address
	ClockBase int64  // drawn at this start; echoes of an earlier one's messages lie elsewhere
	Life      uint64 // drawn at this start
	Copies    int    // other disks that an add is to be on, where they can be reached
	MostAdds  int    // that are held; own adds are refused some before that
	NewOrigin func() Origin
	Timing    Timing
}

// Saved is what a disk holds.
type Saved struct {
	Set      *Set
	Origins  []Origin // that this disk gave numbers of, the newest last
	Complete bool     // the disk misses nothing that was lost with an earlier one
}

// fullShare is the part of what can be held, in percent, from which own adds are refused; the rest is for those of other machines.
const fullShare = 80

// queued is an add that waits for the next batch, and the calls that wait for it.
type queued struct {
	add    Add
	tokens []waiter
}

// waiter is a call that waits for an add to be on enough disks.
type waiter struct {
	token uint64
	since time.Duration
}

// Replica is one machine's part.
type Replica struct {
	options Options
	set     *Set
	own     map[Origin]bool
	origin  Origin // of adds that are taken here
	fresh   bool   // the origin is not on disk yet

	queue    []queued       // not yet part of a batch
	staged   []Run          // of other machines, likewise
	reserved Vector         // highest numbers that are staged, or part of the batch that is being written
	writing  *Batch         // nil: none
	written  map[string]Dot // adds of that batch that were taken here, by id
	started  time.Duration  // when it was handed out
	failed   bool           // the last write failed

	waiting  map[Dot][]waiter
	peers    map[string]*peer
	ready    bool          // reads are answered
	complete bool          // the disk misses nothing that was lost with an earlier one
	noted    bool          // and says so
	full     bool          // the disk has no room for adds
	slow     time.Duration // until then the disk counts as slow: a write took long
	stepped  time.Duration
	blind    time.Duration // until then silence tells nothing of others
	boot     time.Duration
	leaving  bool
	counters Counters
}

// Counters count what was done since the start.
type Counters struct {
	Adds, Acknowledged, Refused, Unclear, Conflicts, Merged uint64
}

// New makes a replica of what its disk holds.
func New(now time.Duration, options Options, saved Saved) *Replica {
	r := &Replica{
		options: options, set: saved.Set, own: map[Origin]bool{}, reserved: Vector{}, waiting: map[Dot][]waiter{},
		written: map[string]Dot{}, peers: map[string]*peer{}, boot: now, stepped: now, blind: now + options.Timing.FirstWait,
	}
	for _, origin := range saved.Origins {
		r.own[origin], r.origin = true, origin
	}
	if len(saved.Origins) == 0 {
		r.renewOrigin()
	}
	r.complete, r.noted = saved.Complete, saved.Complete
	return r
}

// renewOrigin has this machine's adds numbered anew, under another origin.
func (r *Replica) renewOrigin() {
	r.origin, r.fresh = r.options.NewOrigin(), true
	r.own[r.origin] = true
}

// Add takes a caller's add. Its answer comes with this step or a later one.
func (r *Replica) Add(now time.Duration, token uint64, add Add) Output {
	out := Output{}
	r.step(now)
	r.counters.Adds++
	w := waiter{token, now}
	if counted, dot, seen := r.set.Counted(add.ID); seen {
		if counted != add {
			r.answer(&out, token, Conflicting, "the id was counted with another tally or amount")
			return out
		}
		r.waiting[dot] = append(r.waiting[dot], w)
		r.settle(now, &out)
		return out
	}
	if reason := r.refusal(now); reason != "" {
		r.answer(&out, token, Refused, reason)
		return out
	}
	if r.join(&out, add, w) {
		return out
	}
	r.queue = append(r.queue, queued{add, []waiter{w}})
	r.write(now, &out)
	return out
}

// join has a call wait for the same add that is under way already.
func (r *Replica) join(out *Output, add Add, w waiter) bool {
	if dot, under := r.written[add.ID]; under {
		if r.writtenAdd(dot) != add {
			r.answer(out, w.token, Conflicting, "the id is under way with another tally or amount")
			return true
		}
		r.waiting[dot] = append(r.waiting[dot], w)
		return true
	}
	for i := range r.queue {
		q := &r.queue[i]
		if q.add.ID != add.ID {
			continue
		}
		if q.add != add {
			r.answer(out, w.token, Conflicting, "the id is under way with another tally or amount")
			return true
		}
		q.tokens = append(q.tokens, w)
		return true
	}
	return false
}

// writtenAdd gives an add of the batch that is being written.
func (r *Replica) writtenAdd(dot Dot) Add {
	for i := range r.writing.Runs {
		run := &r.writing.Runs[i]
		if run.Origin == dot.Origin && run.First <= dot.Number && dot.Number <= run.last() {
			return run.Adds[dot.Number-run.First]
		}
	}
	return Add{}
}

// refusal tells why no add can be taken now, "" if one can.
func (r *Replica) refusal(now time.Duration) string {
	switch {
	case r.leaving:
		return "this machine is about to end"
	case r.diskFails(now):
		return "the disk takes no writes"
	case r.full || r.set.Size()+len(r.queue) >= r.options.MostAdds*fullShare/100:
		return "no room is left for adds"
	case now < r.slow && r.otherDiskWorks(now):
		return "the disk is slow, and others are in reach"
	}
	return ""
}

// otherDiskWorks tells whether a caller that is turned away finds a better disk at a machine in reach.
func (r *Replica) otherDiskWorks(now time.Duration) bool {
	for _, p := range r.peers {
		if r.inReach(now, p) && !p.failed && !p.slow {
			return true
		}
	}
	return false
}

// noRoom tells whether no more adds of any machine can be held.
func (r *Replica) noRoom() bool { return r.set.Size() >= r.options.MostAdds }

// diskFails tells whether the last write failed, or one takes too long.
func (r *Replica) diskFails(now time.Duration) bool {
	return r.failed || r.writing != nil && now-r.started > r.options.Timing.Stall
}

// write hands out a batch of all that waits, if none is being written.
func (r *Replica) write(now time.Duration, out *Output) {
	note := r.complete && !r.noted
	if r.writing != nil || r.failed || len(r.queue)+len(r.staged) == 0 && !note {
		return
	}
	batch := &Batch{Runs: r.staged, Complete: note}
	r.staged = nil
	if len(r.queue) > 0 {
		batch.Runs = append(batch.Runs, r.number(batch))
	}
	r.writing, r.started = batch, now
	out.Write = batch
}

// number gives the queued adds their numbers.
func (r *Replica) number(batch *Batch) Run {
	if r.fresh {
		batch.NewOrigin, r.fresh = r.origin, false
	}
	run := Run{Origin: r.origin, First: r.set.Held(r.origin) + 1}
	for _, q := range r.queue {
		run.Adds = append(run.Adds, q.add)
		dot := Dot{r.origin, run.last()}
		r.written[q.add.ID] = dot
		r.waiting[dot] = append(r.waiting[dot], q.tokens...)
	}
	r.reserved[r.origin] = run.last()
	r.queue = nil
	return run
}

// Synced says that the batch which was handed out is on disk.
func (r *Replica) Synced(now time.Duration) Output {
	out := Output{}
	r.step(now)
	batch := r.writing
	r.writing, r.written = nil, map[string]Dot{}
	r.noted = r.noted || batch.Complete
	if now-r.started > r.options.Timing.Slow {
		r.slow = now + r.options.Timing.SlowFor
	}
	for i := range batch.Runs {
		run := &batch.Runs[i]
		r.set.Insert(run)
		if !r.own[run.Origin] {
			r.counters.Merged += uint64(len(run.Adds))
		}
	}
	r.send(now, &out)
	r.acknowledge(now, &out)
	r.settle(now, &out)
	r.write(now, &out)
	return out
}

// Failed says that the batch which was handed out may be on disk or not. Nothing is written until Recovered.
func (r *Replica) Failed(now time.Duration) Output {
	out := Output{}
	r.step(now)
	for _, dot := range r.written {
		r.giveUp(&out, dot, Unclear, "the disk failed")
	}
	r.refuseQueue(&out, "the disk failed")
	r.writing, r.written, r.staged, r.failed = nil, map[string]Dot{}, nil, true
	r.reserved = Vector{}
	return out
}

// Recovered says that the disk works again and holds what was synced before, nothing else. The numbers of what failed are not used again.
func (r *Replica) Recovered(now time.Duration) Output {
	r.step(now)
	r.failed = false
	r.renewOrigin()
	return Output{}
}

// SetFull says whether the disk has no room left for adds that are taken here.
func (r *Replica) SetFull(full bool) { r.full = full }

// Leave says that this machine is about to end: no add is taken any more.
func (r *Replica) Leave() { r.leaving = true }

// Read gives a tally's total.
func (r *Replica) Read(now time.Duration, tally string) (int64, error) {
	r.step(now)
	if !r.ready {
		return 0, &NotReadyError{r.unready(now)}
	}
	return r.set.Total(tally), nil
}

// Tick lets time pass.
func (r *Replica) Tick(now time.Duration) Output {
	out := Output{}
	r.step(now)
	r.forget(now)
	r.gossip(now, &out)
	r.send(now, &out)
	r.settle(now, &out)
	r.expire(now, &out)
	r.write(now, &out)
	return out
}

// step notes that this machine works at a time, and looks whether reads may be answered. After a pause of its own, the others' silence
// says nothing for a while.
func (r *Replica) step(now time.Duration) {
	if pause := now - r.stepped; pause > r.options.Timing.Pause {
		r.started += pause // nor is it the disk's
		r.blind = max(r.blind, now+r.options.Timing.Silence)
	}
	r.stepped = now
	if !r.ready && r.unready(now) == "" {
		r.ready, r.complete = true, true
	}
}

func (r *Replica) answer(out *Output, token uint64, outcome Outcome, reason string) {
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
	out.Answers = append(out.Answers, Answer{token, outcome, reason})
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
