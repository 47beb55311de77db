package tally

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	pieceAdds  = 1024            // of an origin, in one message
	windowAdds = 4 * pieceAdds   // of an origin, sent to a peer and not acknowledged by it
	namePeers  = 5               // one in so many whole vectors comes with the sender's peers
	heardNow   = 3 * time.Second // a peer that was heard within it is named to others
	never      = time.Duration(-1)
)

// peer is what is known of another machine.
type peer struct {
	addr      string
	permanent bool // it is a seed, or in the view in force
	added     time.Duration
	life      uint64
	retired   []uint64      // earlier lives: what they sent may still arrive
	heard     time.Duration // never: not in this machine's life
	roundTrip time.Duration // when the newest message was sent that it has answered
	latest    int64         // Sent of its newest message
	first     Vector        // what it held when it was first heard of; nil: not known
	ready     bool
	failed    bool // its disk takes no more adds
	slow      bool // its last write took long
	links     map[Origin]*link
	owed      map[Origin]bool // origins of which it sent adds that were not acknowledged yet
	next      time.Duration   // when it is to be sent the whole vector
	gossips   int
}

// link is how far a peer has an origin's adds.
type link struct {
	known    uint64        // on its disk, by its own word
	sent     uint64        // to it
	moved    time.Duration // when known grew, or sent did with nothing under way
	lacking  time.Duration // since when it lacks some without a sign of progress; never: it does not
	relaying bool          // of another machine's adds: this machine passes them on
}

func (p *peer) link(origin Origin) *link {
	l := p.links[origin]
	if l == nil {
		l = &link{lacking: never}
		p.links[origin] = l
	}
	return l
}

// has tells whether a peer's disk holds an add.
func (p *peer) has(dot Dot) bool {
	l := p.links[dot.Origin]
	return l != nil && l.known >= dot.Number
}

// holds notes that a peer's disk holds an origin's adds up to a number.
func (p *peer) holds(now time.Duration, origin Origin, number uint64) {
	l := p.link(origin)
	if number <= l.known {
		return
	}
	if number > l.sent {
		l.sent, l.relaying = number, false // others send it
	}
	l.known, l.moved = number, now
	if l.lacking != never {
		l.lacking = now
	}
}

// live begins to hear of a peer's life anew; false for an earlier one.
func (p *peer) live(life uint64) bool {
	if p.life == life {
		return true
	}
	if slices.Contains(p.retired, life) {
		return false
	}
	if p.life != 0 {
		p.retired = append(p.retired, p.life)
	}
	p.life, p.first, p.next, p.latest = life, nil, 0, 0 // its clock begins elsewhere
	p.links, p.owed = map[Origin]*link{}, map[Origin]bool{}
	return true
}

// SetPeers names the peers that are not forgotten: the seeds and the members of the view.
func (r *Replica) SetPeers(now time.Duration, addrs []string) {
	for _, p := range r.peers {
		p.permanent = false
	}
	for _, addr := range addrs {
		if p := r.peer(now, addr); p != nil {
			p.permanent = true
		}
	}
}

// peer gives the peer at an address, and gets to know it; nil for this machine itself.
func (r *Replica) peer(now time.Duration, addr string) *peer {
	if addr == r.options.Self || addr == "" {
		return nil
	}
	p := r.peers[addr]
	if p == nil {
		p = &peer{addr: addr, added: now, heard: never, roundTrip: never, links: map[Origin]*link{}, owed: map[Origin]bool{}}
		r.peers[addr] = p
	}
	return p
}

// forget drops peers that nobody names and that were silent for long.
func (r *Replica) forget(now time.Duration) {
	for addr, p := range r.peers {
		if !p.permanent && now-max(p.heard, p.added) > r.options.Timing.Forget {
			delete(r.peers, addr)
		}
	}
}

// heardWithin tells whether a peer was heard since so long ago.
func (p *peer) heardWithin(now, limit time.Duration) bool {
	return p.heard != never && now-p.heard < limit
}

// inReach tells whether messages go to a peer and come back.
func (r *Replica) inReach(now time.Duration, p *peer) bool {
	timing := &r.options.Timing
	return p.heardWithin(now, timing.Silence) && p.roundTrip != never && now-p.roundTrip < timing.Reach
}

// Receive takes a message of a peer.
func (r *Replica) Receive(now time.Duration, m *Message) Output {
	out := Output{}
	r.step(now)
	p := r.peer(now, m.From)
	if p == nil || !p.live(m.Life) {
		return out
	}
	r.hear(now, p, m)
	for _, addr := range m.Peers {
		r.peer(now, addr)
	}
	for i := range m.Runs {
		p.owed[m.Runs[i].Origin] = true
		r.stage(&m.Runs[i])
	}
	r.step(now)
	r.gossipTo(now, p, &out)
	r.sendTo(now, p, &out)
	r.acknowledgeTo(now, p, &out)
	r.settle(now, &out)
	r.write(now, &out)
	return out
}

// hear notes what a message tells of its sender.
func (r *Replica) hear(now time.Duration, p *peer, m *Message) {
	if !p.heardWithin(now, r.options.Timing.Silence) {
		p.next = now // it is told at once that it is heard again
	}
	p.heard = now
	p.latest = max(p.latest, m.Sent)
	p.ready, p.failed, p.slow = m.Ready, m.Failed, m.Slow
	if sent := time.Duration(m.Echo - r.options.ClockBase); m.Echo != 0 && sent >= 0 && sent <= now {
		p.roundTrip = max(p.roundTrip, sent)
	}
	for origin, number := range m.Held {
		p.holds(now, origin, number)
	}
	if m.Whole && p.first == nil {
		p.first = Vector(m.Held)
		if p.first == nil {
			p.first = Vector{}
		}
	}
	if m.Held[r.origin] > max(r.set.Held(r.origin), r.reserved[r.origin]) {
		r.renewOrigin() // this disk has lost what it had synced
	}
}

// stage takes the part of a run that is not held, nor under way to the disk, for the next batch.
func (r *Replica) stage(run *Run) {
	next := max(r.set.Held(run.Origin), r.reserved[run.Origin]) + 1
	if run.Origin == r.origin || run.First > next || len(run.Adds) == 0 || run.last() < next || r.failed {
		return
	}
	rest := Run{Origin: run.Origin, First: next, Adds: run.Adds[next-run.First:]}
	if r.set.Size()+len(r.queue)+len(rest.Adds) > r.options.MostAdds {
		return
	}
	r.reserved[run.Origin] = rest.last()
	r.staged = append(r.staged, rest)
}

// message begins a message to a peer.
func (r *Replica) message(now time.Duration, p *peer) *Message {
	return &Message{
		From: r.options.Self, Life: r.options.Life, Sent: r.options.ClockBase + int64(now), Echo: p.latest, Ready: r.ready, Failed: r.diskFails(now) || r.noRoom(), Slow: now < r.slow,
	}
}

// gossip tells peers what is held here, from time to time.
func (r *Replica) gossip(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.gossipTo(now, p, out)
	}
}

func (r *Replica) gossipTo(now time.Duration, p *peer, out *Output) {
	if now < p.next {
		return
	}
	pause := r.options.Timing.Probe
	if p.heardWithin(now, r.options.Timing.Silence) {
		pause = r.options.Timing.Gossip
	}
	p.next = now + pause
	m := r.message(now, p)
	m.Held, m.Whole = r.set.Vector(), true
	if p.gossips%namePeers == 0 {
		m.Peers = r.heardLately(now, p)
	}
	p.gossips++
	out.Messages = append(out.Messages, Envelope{p.addr, m})
}

// heardLately names the peers that were heard a short time ago, but for one.
func (r *Replica) heardLately(now time.Duration, but *peer) (addrs []string) {
	for _, p := range r.sortedPeers() {
		if p != but && p.heardWithin(now, heardNow) {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

// acknowledge tells peers that sent adds how far they are on disk here.
func (r *Replica) acknowledge(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.acknowledgeTo(now, p, out)
	}
}

func (r *Replica) acknowledgeTo(now time.Duration, p *peer, out *Output) {
	held := map[Origin]uint64{}
	for origin := range p.owed {
		if r.set.Held(origin) < r.reserved[origin] {
			continue // when it is on disk
		}
		held[origin] = r.set.Held(origin)
		delete(p.owed, origin)
	}
	if len(held) == 0 {
		return
	}
	m := r.message(now, p)
	m.Held = held
	out.Messages = append(out.Messages, Envelope{p.addr, m})
}

// send sends peers in reach what they lack.
func (r *Replica) send(now time.Duration, out *Output) {
	for _, p := range r.sortedPeers() {
		r.sendTo(now, p, out)
	}
}

func (r *Replica) sendTo(now time.Duration, p *peer, out *Output) {
	reached := r.inReach(now, p) || p.heardWithin(now, r.options.Timing.Recent)
	for _, origin := range r.set.sorted() {
		held, l := r.set.Held(origin), p.link(origin)
		if !reached || p.failed || l.known >= held {
			l.lacking, l.relaying = never, false
			continue
		}
		if l.lacking == never {
			l.lacking = now
		}
		if !r.mayServe(now, p, origin, l) {
			continue
		}
		r.sendRuns(now, p, origin, l, out)
	}
}

// mayServe tells whether this machine is to send an origin's adds to a peer: its own ones at once, and others that the peer has lacked for
// a while. Machines wait for different times, so that mostly one of them sends.
func (r *Replica) mayServe(now time.Duration, p *peer, origin Origin, l *link) bool {
	if r.own[origin] || l.relaying {
		return true
	}
	l.relaying = now-l.lacking >= r.options.Timing.Relay+r.stagger(p.addr)
	return l.relaying
}

// stagger is a part of the relay's time that differs between machines.
func (r *Replica) stagger(addr string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(r.options.Self + "/" + addr))
	const steps = 8
	return r.options.Timing.Relay * time.Duration(h.Sum32()%steps) / steps
}

func (r *Replica) sendRuns(now time.Duration, p *peer, origin Origin, l *link, out *Output) {
	if l.sent > l.known && now-l.moved >= r.options.Timing.Resend {
		l.sent = l.known
	}
	held := r.set.Held(origin)
	for l.sent < held && l.sent-l.known < windowAdds {
		if l.sent == l.known {
			l.moved = now
		}
		run := r.set.slice(origin, l.sent, pieceAdds)
		l.sent = run.last()
		m := r.message(now, p)
		m.Runs = []Run{run}
		out.Messages = append(out.Messages, Envelope{p.addr, m})
	}
}
