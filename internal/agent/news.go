package agent

import (
	"maps"
	"slices"
	"time"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/feed"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/rpc"
	"nettlefold/internal/trial"
)

const (
	// flushEvery is the interval of news. It grows where a hub would send more than hubMessages a second to the agents of its zone, or spend
	// more than newsShare of its machine's link on them: processor and link are its proxy's, and the configuration's. It grows to
	// flushSlowest for the link's sake, so that loads stay of use.
	flushEvery   = 60 * time.Millisecond
	flushSlowest = 300 * time.Millisecond
	hubMessages  = 400
	newsShare    = 0.25
	// bulkShare is the share of its machine's link that a hub spends on what is bulky and not urgent, the changes of kept prompts. It tells
	// them apart from loads, so that those need not wait, and rarer, but once in bulkSlowest.
	bulkShare   = 0.15
	bulkSlowest = 600 * time.Millisecond
	// allEvery is how often all loads are told, for those that missed a change, and loadsKeep how long they are believed.
	allEvery  = time.Second
	loadsKeep = 2500 * time.Millisecond
	// retellEvery is how often the phases of backends under orders are told again.
	retellEvery = time.Second
)

// exchange spreads news: from each agent to the hub of its zone, between hubs, and from a hub to the agents of its zone, in a large zone by
// way of some of them. So an agent sends and hears once per interval, whatever their number, and each piece crosses to another zone once. A hub is an agent like others,
// picked by rendezvous hashing; one that is gone is replaced as soon as the members are told, and what was lost meanwhile is noticed:
// loads run out and are told whole each second, a batch leaves a gap, the list is asked for by those that miss it.
type exchange struct {
	agent  *Agent
	send   func(to []string, n *feed.GossipMessage) (bytes int)
	sent   time.Time // when news was last sent
	told   int       // bytes that the hub of this zone, if this is it, told its agents then, without what is bulky
	bulkAt time.Time // when changes of kept prompts were last sent on, as a hub
	bulk   int       // bytes of what was sent then
	number uint64    // of changes to what others have at backends

	up    outgoing // to the hub of this zone
	cross outgoing // to the other hubs, as a hub
	down  outgoing // to the agents of this zone, as a hub

	own    sums            // loads of the proxy beside this agent, as told
	zone   map[string]sums // as a hub: loads of the agents of this zone, by address
	zones  map[string]sums // as a hub: loads of the other zones, by their hub's address
	all    sums            // loads of all mixers, as this zone's hub tells
	said   said            // what was told up
	across said            // what was told to other hubs
	below  said            // and to the agents of this zone
}

// outgoing is what comes together until it is sent.
type outgoing struct {
	list    *feed.ListUpdate
	read    time.Time // when the list's reading began
	batches []*kvindex.Batch
	phases  map[string]feed.Phase
}

func (o *outgoing) add(n *feed.GossipMessage) {
	if n.List != nil {
		o.list = o.list.Merge(n.List)
		o.read = time.Now().Add(-time.Duration(n.List.AgeMS) * time.Millisecond)
	}
	o.batches = append(o.batches, n.Batches...)
	for id, p := range n.Phases {
		if o.phases == nil {
			o.phases = map[string]feed.Phase{}
		}
		o.phases[id] = p
	}
}

// listNow is the list as it is to be sent now, nil if there is none.
func (o *outgoing) listNow() *feed.ListUpdate {
	if o.list == nil {
		return nil
	}
	list := *o.list
	list.AgeMS = time.Since(o.read).Milliseconds()
	return &list
}

// urgent tells whether there is something that does not wait for its share of the link.
func (o *outgoing) urgent() bool { return o.list != nil || len(o.phases) > 0 }

func (o *outgoing) empty() bool { return o.list == nil && len(o.batches) == 0 && len(o.phases) == 0 }

// sums is loads by backend, and when they were last told.
type sums struct {
	loads map[feed.BackendKey]dispatch.Load
	at    time.Time
}

// take puts told loads in force.
func (s *sums) take(l *feed.Loads) {
	if l.Full || s.loads == nil {
		s.loads = map[feed.BackendKey]dispatch.Load{}
	}
	for id, load := range l.Changed {
		if load == (dispatch.Load{}) {
			delete(s.loads, id)
		} else {
			s.loads[id] = load
		}
	}
	s.at = time.Now()
}

// said remembers what was told, to tell changes only.
type said struct {
	loads map[feed.BackendKey]dispatch.Load
	allAt time.Time
}

// next gives what is to be told of loads now, nil if nothing is.
func (s *said) next(now map[feed.BackendKey]dispatch.Load) *feed.Loads {
	l := &feed.Loads{Changed: changedLoads(s.loads, now)}
	if time.Since(s.allAt) >= allEvery {
		s.allAt = time.Now()
		l.Changed, l.Full = now, true
	}
	s.loads = now
	if !l.Full && len(l.Changed) == 0 {
		return nil
	}
	return l
}

func newExchange(a *Agent) *exchange {
	return &exchange{agent: a, send: a.postNews, zone: map[string]sums{}, zones: map[string]sums{}}
}

// hub is the address of a zone's hub, "" where no agent of it is known.
func (x *exchange) hub(zone string) string {
	var addrs []string
	for _, m := range x.agent.members.Agents {
		if m.Zone == zone {
			addrs = append(addrs, m.Addr)
		}
	}
	return rendezvous.Owner("hub/"+zone, addrs)
}

// tell adds news of this agent's own.
func (x *exchange) tell(n *feed.GossipMessage) { x.up.add(n) }

// interval is the time between two pieces of news of one agent.
func (x *exchange) interval() time.Duration {
	interval := max(flushEvery, time.Duration(len(x.fellows())+1)*time.Second/hubMessages)
	return max(interval, min(x.paidAfter(x.told, newsShare), flushSlowest))
}

// due tells whether the interval has passed at now, to half a tick of the ticker.
func (x *exchange) due(now time.Time) bool { return now.Sub(x.sent) >= x.interval()-flushEvery/2 }

// flush sends what has come together.
func (x *exchange) flush() {
	a := x.agent
	x.sent, x.told = time.Now(), 0
	hub := x.hub(a.self.Zone)
	if hub == "" {
		return
	}
	x.own.loads = keyed(a.ownLoads)
	mine := x.said.next(x.own.loads)
	if hub == a.self.Addr {
		x.take(&feed.GossipMessage{From: a.self.Addr, Hop: feed.HopToHub, Loads: mine, List: x.up.listNow(), Batches: x.up.batches, Phases: x.up.phases})
	} else if mine != nil || !x.up.empty() {
		x.send([]string{hub}, &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopToHub, Loads: mine, List: x.up.listNow(), Batches: x.up.batches, Phases: x.up.phases})
	}
	x.up = outgoing{}
	x.flushHub(hub == a.self.Addr)
}

// flushHub sends on, as a hub, what agents of this zone and other hubs told.
func (x *exchange) flushHub(isHub bool) {
	if !isHub && len(x.zone) == 0 && x.cross.empty() && x.down.empty() {
		return
	}
	a := x.agent
	zone := total(x.zone)
	if loads := x.across.next(zone); loads != nil || x.cross.urgent() {
		news := &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopHubToHub, Loads: loads, List: x.cross.listNow(), Phases: x.cross.phases}
		x.cross.withBulk(news)
		x.send(slices.Collect(maps.Keys(x.otherZones())), news)
	}
	all := plus(zone, total(x.zones))
	if loads := x.below.next(all); loads != nil || x.down.urgent() {
		news := &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopFromHub, Loads: loads, List: x.down.listNow(), Phases: x.down.phases}
		x.down.withBulk(news)
		x.told = x.tellZone(news)
		if loads != nil {
			x.takeAll(loads)
		}
	}
	x.cross, x.down = outgoing{batches: x.cross.batches}, outgoing{batches: x.down.batches}
	if x.bulkDue(x.sent) {
		x.flushBulk()
	}
}

// withBulk puts changes of kept prompts into news of loads, in trial builds that do not tell them apart.
func (o *outgoing) withBulk(n *feed.GossipMessage) {
	if trial.Disabled(trial.SeparateLoadUpdates) {
		n.Batches, o.batches = o.batches, nil
	}
}

// flushBulk sends on, as a hub, the changes of kept prompts that came together.
func (x *exchange) flushBulk() {
	from := x.agent.self.Addr
	x.bulkAt, x.bulk = x.sent, 0
	if len(x.cross.batches) > 0 {
		x.send(slices.Collect(maps.Keys(x.otherZones())), &feed.GossipMessage{From: from, Hop: feed.HopHubToHub, Batches: x.cross.batches})
	}
	if len(x.down.batches) > 0 {
		x.bulk = x.tellZone(&feed.GossipMessage{From: from, Hop: feed.HopFromHub, Batches: x.down.batches})
	}
	x.cross.batches, x.down.batches = nil, nil
}

// bulkDue tells whether what was told last of kept prompts is paid for by its share of the link at now.
func (x *exchange) bulkDue(now time.Time) bool {
	return now.Sub(x.bulkAt) >= min(x.paidAfter(x.bulk, bulkShare), bulkSlowest)
}

// paidAfter is how long a share of the machine's link takes for so many bytes, 0 where the link is not stated.
func (x *exchange) paidAfter(bytes int, share float64) time.Duration {
	perSecond := share * x.agent.settings.LinkMbps * 1e6 / 8
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / perSecond * float64(time.Second))
}

// postNews sends news to some agents, and encodes it once: a hub's machine would spend a quarter of its processor on doing so for each.
func (a *Agent) postNews(to []string, n *feed.GossipMessage) (bytes int) {
	if len(to) == 0 {
		return 0
	}
	encoded, err := rpc.EncodeOneWay(feed.KindGossip, n)
	if err != nil {
		a.log.Error().Err(err).Str("step", "news").Msg("news cannot be encoded")
		return 0
	}
	for _, addr := range to {
		a.pool.PostEncoded(addr, encoded)
	}
	a.newsBytes += uint64(len(encoded) * len(to))
	return len(encoded) * len(to)
}

// fellows gives the other agents of this zone.
func (x *exchange) fellows() (addrs []string) {
	for _, m := range x.agent.members.Agents {
		if m.Zone == x.agent.self.Zone && m.Addr != x.agent.self.Addr {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// otherZones gives the hubs of the other zones.
func (x *exchange) otherZones() map[string]bool {
	hubs, zones := map[string]bool{}, map[string]bool{x.agent.self.Zone: true}
	for _, m := range x.agent.members.Agents {
		if !zones[m.Zone] {
			zones[m.Zone] = true
			hubs[x.hub(m.Zone)] = true
		}
	}
	return hubs
}

// take takes news, and keeps what it has to send on.
func (x *exchange) take(n *feed.GossipMessage) {
	a := x.agent
	if n.From != a.self.Addr { // its own is in force already
		a.toldList(n.List, n.From)
		for _, b := range n.Batches {
			a.takeBatch(b, n.From)
		}
		a.takePhases(n.Phases)
	}
	switch n.Hop {
	case feed.HopToHub:
		if n.Loads != nil {
			s := x.zone[n.From]
			s.take(n.Loads)
			x.zone[n.From] = s
		}
		x.cross.add(n)
		x.down.add(n)
	case feed.HopHubToHub:
		if n.Loads != nil {
			s := x.zones[n.From]
			s.take(n.Loads)
			x.zones[n.From] = s
		}
		x.down.add(n)
	case feed.HopFromHub:
		x.passOn(n)
		if n.Loads != nil {
			x.takeAll(n.Loads)
		}
	}
}

func (x *exchange) takeAll(l *feed.Loads) {
	x.all.take(l)
	x.number++
	x.agent.notify()
}

// expire drops loads that nobody tells any more.
func (x *exchange) expire() {
	for _, told := range []map[string]sums{x.zone, x.zones} {
		for addr, s := range told {
			if time.Since(s.at) > loadsKeep {
				delete(told, addr)
			}
		}
	}
	if len(x.all.loads) > 0 && time.Since(x.all.at) > loadsKeep {
		x.all = sums{}
		x.number++
	}
}

// others is what all other mixers have at backends that are listed.
func (x *exchange) others() map[string]dispatch.Load {
	others := make(map[string]dispatch.Load, len(x.all.loads))
	for _, l := range x.agent.list {
		key := feed.BackendKeyOf(l.ID)
		if load := x.all.loads[key].Sub(x.own.loads[key]); load != (dispatch.Load{}) {
			others[l.ID] = load
		}
	}
	return others
}

// keyed gives loads by the keys of their backends.
func keyed(loads map[string]dispatch.Load) map[feed.BackendKey]dispatch.Load {
	byKey := make(map[feed.BackendKey]dispatch.Load, len(loads))
	for id, l := range loads {
		byKey[feed.BackendKeyOf(id)] = l
	}
	return byKey
}

func total(told map[string]sums) map[feed.BackendKey]dispatch.Load {
	sum := map[feed.BackendKey]dispatch.Load{}
	for _, s := range told {
		for id, l := range s.loads {
			sum[id] = sum[id].Add(l)
		}
	}
	return sum
}

func plus(a, b map[feed.BackendKey]dispatch.Load) map[feed.BackendKey]dispatch.Load {
	for id, l := range b {
		a[id] = a[id].Add(l)
	}
	return a
}

// changedLoads gives the loads that differ; one that ended is told as none.
func changedLoads(old, now map[feed.BackendKey]dispatch.Load) map[feed.BackendKey]dispatch.Load {
	changed := map[feed.BackendKey]dispatch.Load{}
	for id, l := range now {
		if old[id] != l {
			changed[id] = l
		}
	}
	for id := range old {
		if _, still := now[id]; !still {
			changed[id] = dispatch.Load{}
		}
	}
	return changed
}
