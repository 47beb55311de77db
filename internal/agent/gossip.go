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
	flushInterval        = 60 * time.Millisecond
	maxFlushInterval     = 300 * time.Millisecond
	hubMessagesPerSecond = 400
	gossipLinkShare      = 0.25
	// bulkShare is the share of its machine's link that a hub spends on what is bulky and not urgent, the changes of kept prompts. It tells
	// them apart from loads, so that those need not wait, and rarer, but once in bulkSlowest.
	bulkLinkShare   = 0.15
	maxBulkInterval = 600 * time.Millisecond
	// allEvery is how often all loads are told, for those that missed a change, and loadsKeep how long they are believed.
	fullLoadsInterval = time.Second
	loadsTTL          = 2500 * time.Millisecond
	// retellEvery is how often the phases of backends under orders are told again.
	phaseAnnounceInterval = time.Second
)

// exchange spreads news: from each agent to the hub of its zone, between hubs, and from a hub to the agents of its zone, in a large zone by
// way of some of them. So an agent sends and hears once per interval, whatever their number, and each piece crosses to another zone once. A hub is an agent like others,
// picked by rendezvous hashing; one that is gone is replaced as soon as the members are told, and what was lost meanwhile is noticed:
// loads run out and are told whole each second, a batch leaves a gap, the list is asked for by those that miss it.
type gossiper struct {
	agent         *Agent
	send          func(to []string, n *feed.GossipMessage) (bytes int)
	flushedAt     time.Time // when news was last sent
	zoneBytes     int       // bytes that the hub of this zone, if this is it, told its agents then, without what is bulky
	bulkAt        time.Time // when changes of kept prompts were last sent on, as a hub
	bulkBytes     int       // bytes of what was sent then
	loadsRevision uint64    // of changes to what others have at backends

	toHub       outbox // to the hub of this zone
	toOtherHubs outbox // to the other hubs, as a hub
	toZone      outbox // to the agents of this zone, as a hub

	localLoads      loadTable            // loads of the proxy beside this agent, as told
	zoneLoads       map[string]loadTable // as a hub: loads of the agents of this zone, by address
	otherZoneLoads  map[string]loadTable // as a hub: loads of the other zones, by their hub's address
	totalLoads      loadTable            // loads of all mixers, as this zone's hub tells
	sentToHub       sentLoads            // what was told up
	sentToOtherHubs sentLoads            // what was told to other hubs
	sentToZone      sentLoads            // and to the agents of this zone
}

// outgoing is what comes together until it is sent.
type outbox struct {
	list       *feed.ListUpdate
	listReadAt time.Time // when the list's reading began
	batches    []*kvindex.Batch
	phases     map[string]feed.Phase
}

func (o *outbox) add(n *feed.GossipMessage) {
	if n.List != nil {
		o.list = o.list.Merge(n.List)
		o.listReadAt = time.Now().Add(-time.Duration(n.List.AgeMS) * time.Millisecond)
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
func (o *outbox) currentList() *feed.ListUpdate {
	if o.list == nil {
		return nil
	}
	list := *o.list
	list.AgeMS = time.Since(o.listReadAt).Milliseconds()
	return &list
}

// urgent tells whether there is something that does not wait for its share of the link.
func (o *outbox) hasUrgent() bool { return o.list != nil || len(o.phases) > 0 }

func (o *outbox) empty() bool { return o.list == nil && len(o.batches) == 0 && len(o.phases) == 0 }

// sums is loads by backend, and when they were last told.
type loadTable struct {
	loads     map[feed.BackendKey]dispatch.Load
	updatedAt time.Time
}

// take puts told loads in force.
func (s *loadTable) apply(l *feed.Loads) {
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
	s.updatedAt = time.Now()
}

// said remembers what was told, to tell changes only.
type sentLoads struct {
	loads      map[feed.BackendKey]dispatch.Load
	fullSentAt time.Time
}

// next gives what is to be told of loads now, nil if nothing is.
func (s *sentLoads) next(now map[feed.BackendKey]dispatch.Load) *feed.Loads {
	l := &feed.Loads{Changed: changedLoads(s.loads, now)}
	if time.Since(s.fullSentAt) >= fullLoadsInterval {
		s.fullSentAt = time.Now()
		l.Changed, l.Full = now, true
	}
	s.loads = now
	if !l.Full && len(l.Changed) == 0 {
		return nil
	}
	return l
}

func newGossiper(a *Agent) *gossiper {
	return &gossiper{agent: a, send: a.sendGossip, zoneLoads: map[string]loadTable{}, otherZoneLoads: map[string]loadTable{}}
}

// hub is the address of a zone's hub, "" where no agent of it is known.
func (x *gossiper) hubAddr(zone string) string {
	var addrs []string
	for _, m := range x.agent.members.Agents {
		if m.Zone == zone {
			addrs = append(addrs, m.Addr)
		}
	}
	return rendezvous.Owner("hub/"+zone, addrs)
}

// tell adds news of this agent's own.
func (x *gossiper) publish(n *feed.GossipMessage) { x.toHub.add(n) }

// interval is the time between two pieces of news of one agent.
func (x *gossiper) interval() time.Duration {
	interval := max(flushInterval, time.Duration(len(x.zonePeers())+1)*time.Second/hubMessagesPerSecond)
	return max(interval, min(x.linkTime(x.zoneBytes, gossipLinkShare), maxFlushInterval))
}

// due tells whether the interval has passed at now, to half a tick of the ticker.
func (x *gossiper) due(now time.Time) bool {
	return now.Sub(x.flushedAt) >= x.interval()-flushInterval/2
}

// flush sends what has come together.
func (x *gossiper) flush() {
	a := x.agent
	x.flushedAt, x.zoneBytes = time.Now(), 0
	hub := x.hubAddr(a.self.Zone)
	if hub == "" {
		return
	}
	x.localLoads.loads = loadsByKey(a.localLoads)
	mine := x.sentToHub.next(x.localLoads.loads)
	if hub == a.self.Addr {
		x.receive(&feed.GossipMessage{From: a.self.Addr, Hop: feed.HopToHub, Loads: mine, List: x.toHub.currentList(), Batches: x.toHub.batches, Phases: x.toHub.phases})
	} else if mine != nil || !x.toHub.empty() {
		x.send([]string{hub}, &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopToHub, Loads: mine, List: x.toHub.currentList(), Batches: x.toHub.batches, Phases: x.toHub.phases})
	}
	x.toHub = outbox{}
	x.flushAsHub(hub == a.self.Addr)
}

// flushHub sends on, as a hub, what agents of this zone and other hubs told.
func (x *gossiper) flushAsHub(isHub bool) {
	if !isHub && len(x.zoneLoads) == 0 && x.toOtherHubs.empty() && x.toZone.empty() {
		return
	}
	a := x.agent
	zone := sumLoads(x.zoneLoads)
	if loads := x.sentToOtherHubs.next(zone); loads != nil || x.toOtherHubs.hasUrgent() {
		news := &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopHubToHub, Loads: loads, List: x.toOtherHubs.currentList(), Phases: x.toOtherHubs.phases}
		x.toOtherHubs.attachBulkInTrial(news)
		x.send(slices.Collect(maps.Keys(x.otherHubs())), news)
	}
	all := addLoads(zone, sumLoads(x.otherZoneLoads))
	if loads := x.sentToZone.next(all); loads != nil || x.toZone.hasUrgent() {
		news := &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopFromHub, Loads: loads, List: x.toZone.currentList(), Phases: x.toZone.phases}
		x.toZone.attachBulkInTrial(news)
		x.zoneBytes = x.sendToZone(news)
		if loads != nil {
			x.applyTotalLoads(loads)
		}
	}
	x.toOtherHubs, x.toZone = outbox{batches: x.toOtherHubs.batches}, outbox{batches: x.toZone.batches}
	if x.bulkDue(x.flushedAt) {
		x.flushBulk()
	}
}

// withBulk puts changes of kept prompts into news of loads, in trial builds that do not tell them apart.
func (o *outbox) attachBulkInTrial(n *feed.GossipMessage) {
	if trial.Disabled(trial.SeparateLoadUpdates) {
		n.Batches, o.batches = o.batches, nil
	}
}

// flushBulk sends on, as a hub, the changes of kept prompts that came together.
func (x *gossiper) flushBulk() {
	from := x.agent.self.Addr
	x.bulkAt, x.bulkBytes = x.flushedAt, 0
	if len(x.toOtherHubs.batches) > 0 {
		x.send(slices.Collect(maps.Keys(x.otherHubs())), &feed.GossipMessage{From: from, Hop: feed.HopHubToHub, Batches: x.toOtherHubs.batches})
	}
	if len(x.toZone.batches) > 0 {
		x.bulkBytes = x.sendToZone(&feed.GossipMessage{From: from, Hop: feed.HopFromHub, Batches: x.toZone.batches})
	}
	x.toOtherHubs.batches, x.toZone.batches = nil, nil
}

// bulkDue tells whether what was told last of kept prompts is paid for by its share of the link at now.
func (x *gossiper) bulkDue(now time.Time) bool {
	return now.Sub(x.bulkAt) >= min(x.linkTime(x.bulkBytes, bulkLinkShare), maxBulkInterval)
}

// paidAfter is how long a share of the machine's link takes for so many bytes, 0 where the link is not stated.
func (x *gossiper) linkTime(bytes int, share float64) time.Duration {
	perSecond := share * x.agent.settings.LinkMbps * 1e6 / 8
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / perSecond * float64(time.Second))
}

// postNews sends news to some agents, and encodes it once: a hub's machine would spend a quarter of its processor on doing so for each.
func (a *Agent) sendGossip(to []string, n *feed.GossipMessage) (bytes int) {
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
	a.gossipBytesSent += uint64(len(encoded) * len(to))
	return len(encoded) * len(to)
}

// fellows gives the other agents of this zone.
func (x *gossiper) zonePeers() (addrs []string) {
	for _, m := range x.agent.members.Agents {
		if m.Zone == x.agent.self.Zone && m.Addr != x.agent.self.Addr {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// otherZones gives the hubs of the other zones.
func (x *gossiper) otherHubs() map[string]bool {
	hubs, zones := map[string]bool{}, map[string]bool{x.agent.self.Zone: true}
	for _, m := range x.agent.members.Agents {
		if !zones[m.Zone] {
			zones[m.Zone] = true
			hubs[x.hubAddr(m.Zone)] = true
		}
	}
	return hubs
}

// take takes news, and keeps what it has to send on.
func (x *gossiper) receive(n *feed.GossipMessage) {
	a := x.agent
	if n.From != a.self.Addr { // its own is in force already
		a.applyPushedList(n.List, n.From)
		for _, b := range n.Batches {
			a.applyBatch(b, n.From)
		}
		a.applyPhases(n.Phases)
	}
	switch n.Hop {
	case feed.HopToHub:
		if n.Loads != nil {
			s := x.zoneLoads[n.From]
			s.apply(n.Loads)
			x.zoneLoads[n.From] = s
		}
		x.toOtherHubs.add(n)
		x.toZone.add(n)
	case feed.HopHubToHub:
		if n.Loads != nil {
			s := x.otherZoneLoads[n.From]
			s.apply(n.Loads)
			x.otherZoneLoads[n.From] = s
		}
		x.toZone.add(n)
	case feed.HopFromHub:
		x.relay(n)
		if n.Loads != nil {
			x.applyTotalLoads(n.Loads)
		}
	}
}

func (x *gossiper) applyTotalLoads(l *feed.Loads) {
	x.totalLoads.apply(l)
	x.loadsRevision++
	x.agent.notifyProxy()
}

// expire drops loads that nobody tells any more.
func (x *gossiper) expireLoads() {
	for _, told := range []map[string]loadTable{x.zoneLoads, x.otherZoneLoads} {
		for addr, s := range told {
			if time.Since(s.updatedAt) > loadsTTL {
				delete(told, addr)
			}
		}
	}
	if len(x.totalLoads.loads) > 0 && time.Since(x.totalLoads.updatedAt) > loadsTTL {
		x.totalLoads = loadTable{}
		x.loadsRevision++
	}
}

// others is what all other mixers have at backends that are listed.
func (x *gossiper) remoteLoads() map[string]dispatch.Load {
	others := make(map[string]dispatch.Load, len(x.totalLoads.loads))
	for _, l := range x.agent.backends {
		key := feed.BackendKeyOf(l.ID)
		if load := x.totalLoads.loads[key].Sub(x.localLoads.loads[key]); load != (dispatch.Load{}) {
			others[l.ID] = load
		}
	}
	return others
}

// keyed gives loads by the keys of their backends.
func loadsByKey(loads map[string]dispatch.Load) map[feed.BackendKey]dispatch.Load {
	byKey := make(map[feed.BackendKey]dispatch.Load, len(loads))
	for id, l := range loads {
		byKey[feed.BackendKeyOf(id)] = l
	}
	return byKey
}

func sumLoads(told map[string]loadTable) map[feed.BackendKey]dispatch.Load {
	sum := map[feed.BackendKey]dispatch.Load{}
	for _, s := range told {
		for id, l := range s.loads {
			sum[id] = sum[id].Add(l)
		}
	}
	return sum
}

func addLoads(a, b map[feed.BackendKey]dispatch.Load) map[feed.BackendKey]dispatch.Load {
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
