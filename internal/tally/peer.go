package tally

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	maxMessageAdds     = 1024               // of an origin, in one message
	sendWindowAdds     = 4 * maxMessageAdds // of an origin, sent to a peer and not acknowledged by it
	gossipsPerPeerList = 5                  // one in so many whole vectors comes with the sender's peers
	peerListMaxAge     = 3 * time.Second    // a peer that was heard within it is named to others
	never              = time.Duration(-1)
)

// peer is what is known of another machine.
type peer struct {
	addr             string
	permanent        bool // it is a seed, or in the view in force
	addedAt          time.Duration
	incarnation      uint64
	pastIncarnations []uint64      // earlier lives: what they sent may still arrive
	lastHeard        time.Duration // never: not in this machine's life
	lastEchoedSend   time.Duration // when the newest message was sent that it has answered
	latestSentAt     int64         // Sent of its newest message
	initialVector    VersionVector // what it held when it was first heard of; nil: not known
	ready            bool
	diskFailed       bool // its disk takes no more adds
	diskSlow         bool // its last write took long
	progress         map[Origin]*originProgress
	acksPending      map[Origin]bool // origins of which it sent adds that were not acknowledged yet
	nextGossip       time.Duration   // when it is to be sent the whole vector
	gossipCount      int
}

// link is how far a peer has an origin's adds.
type originProgress struct {
	durable      uint64        // on its disk, by its own word
	sent         uint64        // to it
	lastProgress time.Duration // when known grew, or sent did with nothing under way
	laggingSince time.Duration // since when it lacks some without a sign of progress; never: it does not
	relaying     bool          // of another machine's adds: this machine passes them on
}

func (p *peer) progressOf(origin Origin) *originProgress {
	l := p.progress[origin]
	if l == nil {
		l = &originProgress{laggingSince: never}
		p.progress[origin] = l
	}
	return l
}

// has tells whether a peer's disk holds an add.
func (p *peer) contains(dot Dot) bool {
	l := p.progress[dot.Origin]
	return l != nil && l.durable >= dot.Sequence
}

// holds notes that a peer's disk holds an origin's adds up to a number.
func (p *peer) recordDurable(now time.Duration, origin Origin, number uint64) {
	l := p.progressOf(origin)
	if number <= l.durable {
		return
	}
	if number > l.sent {
		l.sent, l.relaying = number, false // others send it
	}
	l.durable, l.lastProgress = number, now
	if l.laggingSince != never {
		l.laggingSince = now
	}
}

// live begins to hear of a peer's life anew; false for an earlier one.
func (p *peer) acceptIncarnation(life uint64) bool {
	if p.incarnation == life {
		return true
	}
	if slices.Contains(p.pastIncarnations, life) {
		return false
	}
	if p.incarnation != 0 {
		p.pastIncarnations = append(p.pastIncarnations, p.incarnation)
	}
	p.incarnation, p.initialVector, p.nextGossip, p.latestSentAt = life, nil, 0, 0 // its clock begins elsewhere
	p.progress, p.acksPending = map[Origin]*originProgress{}, map[Origin]bool{}
	return true
}

// SetPeers names the peers that are not forgotten: the seeds and the members of the view.
func (r *Replica) SetPeers(now time.Duration, addrs []string) {
	for _, p := range r.peers {
		p.permanent = false
	}
	for _, addr := range addrs {
		if p := r.ensurePeer(now, addr); p != nil {
			p.permanent = true
		}
	}
}

// peer gives the peer at an address, and gets to know it; nil for this machine itself.
func (r *Replica) ensurePeer(now time.Duration, addr string) *peer {
	if addr == r.options.Self || addr == "" {
		return nil
	}
	p := r.peers[addr]
	if p == nil {
		p = &peer{addr: addr, addedAt: now, lastHeard: never, lastEchoedSend: never, progress: map[Origin]*originProgress{}, acksPending: map[Origin]bool{}}
		r.peers[addr] = p
	}
	return p
}

// forget drops peers that nobody names and that were silent for long.
func (r *Replica) expirePeers(now time.Duration) {
	for addr, p := range r.peers {
		if !p.permanent && now-max(p.lastHeard, p.addedAt) > r.options.Timing.PeerExpiry {
			delete(r.peers, addr)
		}
	}
}

// heardWithin tells whether a peer was heard since so long ago.
func (p *peer) heardWithin(now, limit time.Duration) bool {
	return p.lastHeard != never && now-p.lastHeard < limit
}

// inReach tells whether messages go to a peer and come back.
func (r *Replica) reachable(now time.Duration, p *peer) bool {
	timing := &r.options.Timing
	return p.heardWithin(now, timing.SilenceTimeout) && p.lastEchoedSend != never && now-p.lastEchoedSend < timing.RoundTripTimeout
}

// Receive takes a message of a peer.
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
		p.acksPending[m.Runs[i].Origin] = true
		r.stage(&m.Runs[i])
	}
	r.advance(now)
	r.gossipTo(now, p, &out)
	r.sendTo(now, p, &out)
	r.acknowledgeTo(now, p, &out)
	r.acknowledgeReplicated(now, &out)
	r.startWrite(now, &out)
	return out
}

// hear notes what a message tells of its sender.
func (r *Replica) observe(now time.Duration, p *peer, m *Message) {
	if !p.heardWithin(now, r.options.Timing.SilenceTimeout) {
		p.nextGossip = now // it is told at once that it is heard again
	}
	p.lastHeard = now
	p.latestSentAt = max(p.latestSentAt, m.SentAt)
	p.ready, p.diskFailed, p.diskSlow = m.Ready, m.DiskFailed, m.DiskSlow
	if sent := time.Duration(m.Echo - r.options.ClockBase); m.Echo != 0 && sent >= 0 && sent <= now {
		p.lastEchoedSend = max(p.lastEchoedSend, sent)
	}
	for origin, number := range m.Durable {
		p.recordDurable(now, origin, number)
	}
	if m.FullVector && p.initialVector == nil {
		p.initialVector = VersionVector(m.Durable)
		if p.initialVector == nil {
			p.initialVector = VersionVector{}
		}
	}
	if m.Durable[r.origin] > max(r.set.LastSequence(r.origin), r.reservedSequences[r.origin]) {
		r.startNewOrigin() // this disk has lost what it had synced
	}
}

// stage takes the part of a run that is not held, nor under way to the disk, for the next batch.
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

// message begins a message to a peer.
func (r *Replica) newMessage(now time.Duration, p *peer) *Message {
	return &Message{
		From: r.options.Self, Incarnation: r.options.Incarnation, SentAt: r.options.ClockBase + int64(now), Echo: p.latestSentAt, Ready: r.ready, DiskFailed: r.diskUnavailable(now) || r.atCapacity(), DiskSlow: now < r.slowUntil,
	}
}

// gossip tells peers what is held here, from time to time.
func (r *Replica) gossipToAll(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.gossipTo(now, p, out)
	}
}

func (r *Replica) gossipTo(now time.Duration, p *peer, out *Output) {
	if now < p.nextGossip {
		return
	}
	pause := r.options.Timing.ProbeInterval
	if p.heardWithin(now, r.options.Timing.SilenceTimeout) {
		pause = r.options.Timing.GossipInterval
	}
	p.nextGossip = now + pause
	m := r.newMessage(now, p)
	m.Durable, m.FullVector = r.set.VersionVector(), true
	if p.gossipCount%gossipsPerPeerList == 0 {
		m.Peers = r.recentPeers(now, p)
	}
	p.gossipCount++
	out.Messages = append(out.Messages, Envelope{p.addr, m})
}

// heardLately names the peers that were heard a short time ago, but for one.
func (r *Replica) recentPeers(now time.Duration, but *peer) (addrs []string) {
	for _, p := range r.sortedPeers() {
		if p != but && p.heardWithin(now, peerListMaxAge) {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

// acknowledge tells peers that sent adds how far they are on disk here.
func (r *Replica) acknowledgeAll(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.acknowledgeTo(now, p, out)
	}
}

func (r *Replica) acknowledgeTo(now time.Duration, p *peer, out *Output) {
	held := map[Origin]uint64{}
	for origin := range p.acksPending {
		if r.set.LastSequence(origin) < r.reservedSequences[origin] {
			continue // when it is on disk
		}
		held[origin] = r.set.LastSequence(origin)
		delete(p.acksPending, origin)
	}
	if len(held) == 0 {
		return
	}
	m := r.newMessage(now, p)
	m.Durable = held
	out.Messages = append(out.Messages, Envelope{p.addr, m})
}

// send sends peers in reach what they lack.
func (r *Replica) sendToAll(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.sendTo(now, p, out)
	}
}

func (r *Replica) sendTo(now time.Duration, p *peer, out *Output) {
	reached := r.reachable(now, p) || p.heardWithin(now, r.options.Timing.SuspectWindow)
	for _, origin := range r.set.sortedOrigins() {
		held, l := r.set.LastSequence(origin), p.progressOf(origin)
		if !reached || p.diskFailed || l.durable >= held {
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

// mayServe tells whether this machine is to send an origin's adds to a peer: its own ones at once, and others that the peer has lacked for
// a while. Machines wait for different times, so that mostly one of them sends.
func (r *Replica) shouldSend(now time.Duration, p *peer, origin Origin, l *originProgress) bool {
	if r.ownOrigins[origin] || l.relaying {
		return true
	}
	l.relaying = now-l.laggingSince >= r.options.Timing.RelayDelay+r.relayStagger(p.addr)
	return l.relaying
}

// stagger is a part of the relay's time that differs between machines.
func (r *Replica) relayStagger(addr string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(r.options.Self + "/" + addr))
	const steps = 8
	return r.options.Timing.RelayDelay * time.Duration(h.Sum32()%steps) / steps
}

func (r *Replica) sendRuns(now time.Duration, p *peer, origin Origin, l *originProgress, out *Output) {
	if l.sent > l.durable && now-l.lastProgress >= r.options.Timing.RetransmitTimeout {
		l.sent = l.durable
	}
	held := r.set.LastSequence(origin)
	for l.sent < held && l.sent-l.durable < sendWindowAdds {
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
