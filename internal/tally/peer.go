package tally

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	maxMessageAdds     = 1024               // of one origin in one message
	sendWindowAdds     = 4 * maxMessageAdds // of one origin sent to a peer and not acknowledged
	gossipsPerPeerList = 5                  // one full vector in this many includes the peer list
	peerListMaxAge     = 3 * time.Second    // peers silent for longer are left out of the peer list
	never              = time.Duration(-1)  // time of an event that hasn't happened
)

// peer is the state that a replica keeps about another machine. Times are on the replica's clock.
type peer struct {
	addr             string
	permanent        bool // a seed or a member of the current view; never expires
	member           bool // a member of the current view or, while that is unknown, a seed
	addedAt          time.Duration
	zone             string // as it last told, or ""
	incarnation      uint64
	pastIncarnations []uint64      // whose delayed messages are ignored
	lastHeard        time.Duration // never: not since this replica's start
	lastEchoedSend   time.Duration // send time of the newest message that it has echoed, or never
	latestSentAt     int64         // SentAt of its newest message, by its own clock
	initialVector    VersionVector // the first full vector of this incarnation; nil: none received
	ready            bool
	incomplete       bool // its disk has lost adds and hasn't caught up yet
	diskFailed       bool // its disk accepts no more adds
	diskSlow         bool // its disk is slow
	attempts         attempts
	everReachable    bool          // it was reachable at some time since this replica's start
	wasReachable     bool          // it was reachable at the latest tick
	reachableSince   time.Duration // start of the newest period in which it was reachable
	witnesses        []string      // addresses of machines near it, before it was last reachable
	nextWitnesses    []string      // the same, when it was last reachable
	progress         map[Origin]*originProgress
	acksPending      map[Origin]bool // origins of which it sent adds that aren't acknowledged yet
	nextGossip       time.Duration   // when the next full vector is due
	gossipCount      int             // full vectors sent
}

// originProgress tracks how many of an origin's adds a peer has, as sequence numbers.
type originProgress struct {
	durable      uint64        // on the peer's disk, as it reported
	sent         uint64        // sent to the peer
	lastProgress time.Duration // when durable last grew, or sending started with nothing in flight
	laggingSince time.Duration // since when the peer lacks adds without progress; never: it lacks none
	relaying     bool          // this replica sends adds of an origin that isn't its own
}

// progressOf returns the peer's progress for an origin and creates it if needed.
func (p *peer) progressOf(origin Origin) *originProgress {
	l := p.progress[origin]
	if l == nil {
		l = &originProgress{laggingSince: never}
		p.progress[origin] = l
	}
	return l
}

// durableOf returns the highest sequence number of an origin that the peer's disk is known to have.
func (p *peer) durableOf(origin Origin) uint64 {
	if l := p.progress[origin]; l != nil {
		return l.durable
	}
	return 0
}

// contains reports whether the peer's disk is known to have an add.
func (p *peer) contains(dot Dot) bool { return p.durableOf(dot.Origin) >= dot.Sequence }

// recordDurable records that the peer's disk has an origin's adds up to a sequence number.
func (p *peer) recordDurable(now time.Duration, origin Origin, sequence uint64) {
	l := p.progressOf(origin)
	if sequence <= l.durable {
		return
	}
	if sequence > l.sent {
		l.sent, l.relaying = sequence, false // it got adds from another replica
	}
	l.durable, l.lastProgress = sequence, now
	if l.laggingSince != never {
		l.laggingSince = now
	}
}

// acceptIncarnation resets the peer's state if the incarnation is new. It returns false for an earlier
// one, whose messages must be ignored.
func (p *peer) acceptIncarnation(incarnation uint64) bool {
	if p.incarnation == incarnation {
		return true
	}
	if slices.Contains(p.pastIncarnations, incarnation) {
		return false
	}
	if p.incarnation != 0 {
		p.pastIncarnations = append(p.pastIncarnations, p.incarnation)
	}
	// latestSentAt is reset because each incarnation has its own ClockBase, so that SentAt values of
	// different incarnations can't be compared.
	p.incarnation, p.initialVector, p.nextGossip, p.latestSentAt = incarnation, nil, 0, 0
	p.progress, p.acksPending = map[Origin]*originProgress{}, map[Origin]bool{}
	return true
}

// SetPeers sets the peers that never expire: the seeds and the members of the view. While no view is
// known, the seeds count as its members. A seed may name a machine that has been replaced since.
func (r *Replica) SetPeers(now time.Duration, seeds, members []string) {
	if len(members) == 0 {
		members = seeds
	}
	for _, p := range r.peers {
		p.permanent, p.member = false, false
	}
	for _, addr := range seeds {
		if p := r.ensurePeer(now, addr); p != nil {
			p.permanent = true
		}
	}
	for _, addr := range members {
		if p := r.ensurePeer(now, addr); p != nil {
			p.permanent, p.member = true, true
		}
	}
}

// ensurePeer returns the peer at an address and creates it if needed. It returns nil for this machine's
// own address and for an empty one.
func (r *Replica) ensurePeer(now time.Duration, addr string) *peer {
	if addr == r.options.Self || addr == "" {
		return nil
	}
	p := r.peers[addr]
	if p == nil {
		p = &peer{
			addr: addr, addedAt: now, lastHeard: never, lastEchoedSend: never, attempts: newAttempts(),
			progress: map[Origin]*originProgress{}, acksPending: map[Origin]bool{},
		}
		r.peers[addr] = p
	}
	return p
}

// expirePeers removes peers that aren't permanent and have been silent for PeerExpiry.
func (r *Replica) expirePeers(now time.Duration) {
	for addr, p := range r.peers {
		if !p.permanent && now-max(p.lastHeard, p.addedAt) > r.options.Timing.PeerExpiry {
			delete(r.peers, addr)
		}
	}
}

// heardWithin reports whether a message of the peer arrived less than limit ago.
func (p *peer) heardWithin(now, limit time.Duration) bool {
	return p.lastHeard != never && now-p.lastHeard < limit
}

// reachable reports whether a peer was heard recently and messages to it have recently been echoed.
func (r *Replica) reachable(now time.Duration, p *peer) bool {
	timing := &r.options.Timing
	return p.heardWithin(now, timing.SilenceTimeout) && p.echoedWithin(now, timing.RoundTripTimeout)
}

// echoedWithin reports whether the peer has echoed a message that was sent to it less than limit ago.
func (p *peer) echoedWithin(now, limit time.Duration) bool {
	return p.lastEchoedSend != never && now-p.lastEchoedSend < limit
}

// Receive processes a message of a peer. Messages of its earlier incarnations are ignored.
func (r *Replica) Receive(now time.Duration, m *Message) Output {
	out := Output{}
	r.advance(now)
	p := r.ensurePeer(now, m.From)
	if p == nil || !p.acceptIncarnation(m.Incarnation) {
		return out
	}
	r.observe(now, p, m)
	for _, addr := range m.Peers {
		r.ensurePeer(now, addr)
	}
	for i := range m.Runs {
		run := &m.Runs[i]
		p.acksPending[run.Origin] = true
		p.recordDurable(now, run.Origin, run.last()) // adds are sent only from disk
		r.stage(run)
	}
	r.advance(now)
	r.gossipTo(now, p, &out)
	r.sendTo(now, p, &out)
	r.acknowledgeTo(now, p, &out)
	r.acknowledgeReplicated(now, &out)
	r.startWrite(now, &out)
	return out
}

// observe updates the sender's state from a message.
func (r *Replica) observe(now time.Duration, p *peer, m *Message) {
	if !p.heardWithin(now, r.options.Timing.SilenceTimeout) {
		p.nextGossip = now // so that it learns at once that its messages arrive again
	}
	p.lastHeard = now
	p.latestSentAt = max(p.latestSentAt, m.SentAt)
	p.ready, p.incomplete, p.diskFailed, p.diskSlow = m.Ready, m.Incomplete, m.DiskFailed, m.DiskSlow
	if sent := time.Duration(m.Echo - r.options.ClockBase); m.Echo != 0 && sent >= 0 && sent <= now {
		p.lastEchoedSend = max(p.lastEchoedSend, sent)
	}
	if m.Zone != "" {
		p.zone = m.Zone
	}
	for origin, sequence := range m.Durable {
		p.recordDurable(now, origin, sequence)
	}
	if m.FullVector && p.initialVector == nil {
		p.initialVector = VersionVector(m.Durable)
		if p.initialVector == nil {
			p.initialVector = VersionVector{}
		}
	}
	if m.Durable[r.origin] > max(r.set.LastSequence(r.origin), r.reservedSequences[r.origin]) {
		r.startNewOrigin() // the local disk has lost synced adds; their sequence numbers must not be reused
	}
}

// stage queues the part of a peer's run that is neither on disk nor part of a write for the next batch.
// It drops the run if there is a gap before it, the disk has failed or the set is at capacity.
func (r *Replica) stage(run *Run) {
	next := max(r.set.LastSequence(run.Origin), r.reservedSequences[run.Origin]) + 1
	if run.Origin == r.origin || run.First > next || len(run.Adds) == 0 || run.last() < next || r.diskFailed {
		return
	}
	rest := Run{Origin: run.Origin, First: next, Adds: run.Adds[next-run.First:]}
	if r.set.Len()+len(r.queue)+len(rest.Adds) > r.options.MaxAdds {
		return
	}
	r.reservedSequences[run.Origin] = rest.last()
	r.staged = append(r.staged, rest)
}

// newMessage returns a message to a peer with the fields that all messages have.
func (r *Replica) newMessage(now time.Duration, p *peer) *Message {
	return &Message{
		From: r.options.Self, Incarnation: r.options.Incarnation,
		SentAt: r.options.ClockBase + int64(now), Echo: p.latestSentAt, Ready: r.ready,
		DiskFailed: r.diskUnavailable(now) || r.atCapacity(), DiskSlow: now < r.slowUntil,
		Incomplete: !r.complete,
	}
}

// gossipToAll sends the full version vector to each peer for which it is due.
func (r *Replica) gossipToAll(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.gossipTo(now, p, out)
	}
}

// gossipTo sends the full version vector to a peer if it is due.
func (r *Replica) gossipTo(now time.Duration, p *peer, out *Output) {
	if now < p.nextGossip {
		return
	}
	interval := r.options.Timing.ProbeInterval
	if p.heardWithin(now, r.options.Timing.SilenceTimeout) {
		interval = r.options.Timing.GossipInterval
	}
	p.nextGossip = now + interval
	m := r.newMessage(now, p)
	m.Durable, m.FullVector = r.set.VersionVector(), true
	if p.gossipCount%gossipsPerPeerList == 0 {
		m.Peers, m.Zone = r.recentPeers(now, p), r.options.Zone
	}
	p.gossipCount++
	out.Messages = append(out.Messages, Envelope{p.addr, m})
}

// recentPeers returns the addresses of the peers heard within peerListMaxAge, except one.
func (r *Replica) recentPeers(now time.Duration, except *peer) (addrs []string) {
	for _, p := range r.sortedPeers() {
		if p != except && p.heardWithin(now, peerListMaxAge) {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

// acknowledgeAll sends the pending acknowledgements to all peers.
func (r *Replica) acknowledgeAll(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.acknowledgeTo(now, p, out)
	}
}

// acknowledgeTo sends a peer the durable sequence numbers of the origins of which it sent adds. Origins
// with adds that are still being written are left for later.
func (r *Replica) acknowledgeTo(now time.Duration, p *peer, out *Output) {
	durable := map[Origin]uint64{}
	for origin := range p.acksPending {
		if r.set.LastSequence(origin) < r.reservedSequences[origin] {
			continue // acknowledged once all staged adds are on disk
		}
		durable[origin] = r.set.LastSequence(origin)
		delete(p.acksPending, origin)
	}
	if len(durable) == 0 {
		return
	}
	m := r.newMessage(now, p)
	m.Durable = durable
	out.Messages = append(out.Messages, Envelope{p.addr, m})
}

// sendToAll sends each peer the adds that it lacks.
func (r *Replica) sendToAll(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.sendTo(now, p, out)
	}
}

// sendTo sends a peer the adds that it lacks, if the peer is reachable or was recently heard and its disk works.
func (r *Replica) sendTo(now time.Duration, p *peer, out *Output) {
	eligible := r.reachable(now, p) || p.heardWithin(now, r.options.Timing.RecentlyHeard)
	for _, origin := range r.set.sortedOrigins() {
		last, l := r.set.LastSequence(origin), p.progressOf(origin)
		if !eligible || p.diskFailed || l.durable >= last {
			l.laggingSince, l.relaying = never, false
			continue
		}
		if l.laggingSince == never {
			l.laggingSince = now
		}
		if !r.shouldSend(now, p, origin, l) {
			continue
		}
		r.sendRuns(now, p, origin, l, out)
	}
}

// shouldSend reports whether this replica should send an origin's adds to a peer: adds of its own
// origins at once, others once the peer has lacked them for RelayDelay plus a stagger. The stagger
// differs between replicas, so that usually only one of them relays.
func (r *Replica) shouldSend(now time.Duration, p *peer, origin Origin, l *originProgress) bool {
	if r.ownOrigins[origin] || l.relaying {
		return true
	}
	l.relaying = now-l.laggingSince >= r.options.Timing.RelayDelay+r.relayStagger(p.addr)
	return l.relaying
}

// relayStagger returns an extra delay below RelayDelay that depends on the addresses of both machines.
func (r *Replica) relayStagger(addr string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(r.options.Self + "/" + addr))
	const steps = 8
	return r.options.Timing.RelayDelay * time.Duration(h.Sum32()%steps) / steps
}

// sendRuns sends an origin's adds to a peer as far as the send window allows, and restarts behind the
// last acknowledged add after RetransmitTimeout without progress.
func (r *Replica) sendRuns(now time.Duration, p *peer, origin Origin, l *originProgress, out *Output) {
	if l.sent > l.durable && now-l.lastProgress >= r.options.Timing.RetransmitTimeout {
		l.sent = l.durable
	}
	last := r.set.LastSequence(origin)
	for l.sent < last && l.sent-l.durable < sendWindowAdds {
		if l.sent == l.durable {
			l.lastProgress = now
		}
		run := r.set.runAfter(origin, l.sent, maxMessageAdds)
		l.sent = run.last()
		m := r.newMessage(now, p)
		m.Runs = []Run{run}
		out.Messages = append(out.Messages, Envelope{p.addr, m})
	}
}
