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
	// flushInterval is the shortest interval between two flushes of gossip. A hub uses a longer one
	// if it would otherwise send more than hubMessagesPerSecond to the agents of its zone or use
	// more than gossipLinkShare of its machine's link: CPU and link are shared with the proxy and
	// with configuration updates. The link share extends the interval to maxFlushInterval at most,
	// because loads are soon out of date.
	flushInterval        = 60 * time.Millisecond
	maxFlushInterval     = 300 * time.Millisecond
	hubMessagesPerSecond = 400
	gossipLinkShare      = 0.25
	// bulkLinkShare is the share of its machine's link that a hub spends on bulky traffic that
	// isn't urgent: the index batches. They are sent apart from loads, so that loads need not wait
	// for them, and less often, but at least every maxBulkInterval.
	bulkLinkShare   = 0.15
	maxBulkInterval = 600 * time.Millisecond
	// fullLoadsInterval is how often all loads are sent, for agents that missed a change. loadsTTL
	// is how long received loads stay valid.
	fullLoadsInterval = time.Second
	loadsTTL          = 2500 * time.Millisecond
	// phaseAnnounceInterval is how often the phases of backends in a rollout are announced again.
	phaseAnnounceInterval = time.Second
)

// gossiper distributes updates: from each agent to the hub of its zone, between hubs, and from a
// hub to the agents of its zone, in a large zone through some of them as relays. So an agent sends
// and receives one message per interval, whatever the number of agents, and an update crosses to
// each other zone once.
//
// Hubs are ordinary agents, picked by rendezvous hashing. A hub that is gone is replaced with the
// next membership update. Receivers detect what was lost meanwhile: loads expire and are sent in
// full each second, a lost batch leaves a gap, and agents that miss the list request it.
type gossiper struct {
	agent         *Agent
	send          func(to []string, message *feed.GossipMessage) (bytes int)
	flushedAt     time.Time // time of the last flush
	zoneBytes     int       // as a hub: bytes of the last flush to this zone, without bulk
	bulkAt        time.Time // as a hub: time of the last bulk messages
	bulkBytes     int       // bytes of the last bulk messages to this zone
	loadsRevision uint64    // number of the last change of the other agents' loads

	toHub       outbox // to the hub of this zone
	toOtherHubs outbox // as a hub: to the other hubs
	toZone      outbox // as a hub: to the agents of this zone

	sentLocalLoads  loadTable            // loads of the proxy beside this agent, as last sent
	zoneLoads       map[string]loadTable // as a hub: loads of this zone's agents by address
	otherZoneLoads  map[string]loadTable // as a hub: loads of the other zones by the address of their hub
	totalLoads      loadTable            // loads of all agents, as received from this zone's hub
	sentToHub       sentLoads            // loads sent to this zone's hub
	sentToOtherHubs sentLoads            // loads sent to the other hubs
	sentToZone      sentLoads            // loads sent to this zone's agents
}

// outbox collects updates until they are sent.
type outbox struct {
	list       *feed.ListUpdate
	listReadAt time.Time // start of the list's read
	batches    []*kvindex.Batch
	phases     map[string]feed.Phase
}

// add adds the list, batches and phases of a message.
func (o *outbox) add(message *feed.GossipMessage) {
	if message.List != nil {
		o.list = o.list.Merge(message.List)
		o.listReadAt = time.Now().Add(-time.Duration(message.List.AgeMS) * time.Millisecond)
	}
	o.batches = append(o.batches, message.Batches...)
	for id, phase := range message.Phases {
		if o.phases == nil {
			o.phases = map[string]feed.Phase{}
		}
		o.phases[id] = phase
	}
}

// currentList returns the list update with its present age, nil if there is none.
func (o *outbox) currentList() *feed.ListUpdate {
	if o.list == nil {
		return nil
	}
	list := *o.list
	list.AgeMS = time.Since(o.listReadAt).Milliseconds()
	return &list
}

// hasUrgent reports whether there is an update that is sent with the next flush. Batches wait for
// their share of the link; loads are sent with each flush and aren't in the outbox.
func (o *outbox) hasUrgent() bool { return o.list != nil || len(o.phases) > 0 }

// empty reports whether there is nothing to send.
func (o *outbox) empty() bool { return o.list == nil && len(o.batches) == 0 && len(o.phases) == 0 }

// loadTable is loads by backend and the time of their last update.
type loadTable struct {
	loads     map[feed.BackendKey]dispatch.Load
	updatedAt time.Time
}

// apply applies received loads. A zero load removes the backend.
func (s *loadTable) apply(update *feed.Loads) {
	if update.Full || s.loads == nil {
		s.loads = map[feed.BackendKey]dispatch.Load{}
	}
	for key, load := range update.Changed {
		if load == (dispatch.Load{}) {
			delete(s.loads, key)
		} else {
			s.loads[key] = load
		}
	}
	s.updatedAt = time.Now()
}

// sentLoads is the loads that were last sent to a destination. Only changes to it are sent.
type sentLoads struct {
	loads      map[feed.BackendKey]dispatch.Load
	fullSentAt time.Time
}

// next returns the update that brings the destination to the current loads, nil if none is needed.
func (s *sentLoads) next(current map[feed.BackendKey]dispatch.Load) *feed.Loads {
	update := &feed.Loads{Changed: changedLoads(s.loads, current)}
	if time.Since(s.fullSentAt) >= fullLoadsInterval {
		s.fullSentAt = time.Now()
		update.Changed, update.Full = current, true
	}
	s.loads = current
	if !update.Full && len(update.Changed) == 0 {
		return nil
	}
	return update
}

func newGossiper(a *Agent) *gossiper {
	return &gossiper{agent: a, send: a.sendGossip, zoneLoads: map[string]loadTable{}, otherZoneLoads: map[string]loadTable{}}
}

// hubAddr returns the address of a zone's hub, "" if no agent of the zone is known.
func (g *gossiper) hubAddr(zone string) string {
	var addrs []string
	for _, m := range g.agent.members.Agents {
		if m.Zone == zone {
			addrs = append(addrs, m.Addr)
		}
	}
	return rendezvous.Owner("hub/"+zone, addrs)
}

// publish queues an update by this agent for the next flush.
func (g *gossiper) publish(message *feed.GossipMessage) { g.toHub.add(message) }

// interval returns the time between two flushes.
func (g *gossiper) interval() time.Duration {
	interval := max(flushInterval, time.Duration(len(g.zonePeers())+1)*time.Second/hubMessagesPerSecond)
	return max(interval, min(g.linkTime(g.zoneBytes, gossipLinkShare), maxFlushInterval))
}

// due reports whether a flush is due at now, with a tolerance of half a ticker period.
func (g *gossiper) due(now time.Time) bool {
	return now.Sub(g.flushedAt) >= g.interval()-flushInterval/2
}

// flush sends the collected updates.
func (g *gossiper) flush() {
	a := g.agent
	g.flushedAt, g.zoneBytes = time.Now(), 0
	hub := g.hubAddr(a.self.Zone)
	if hub == "" {
		return
	}
	g.sentLocalLoads.loads = loadsByKey(a.localLoads)
	loads := g.sentToHub.next(g.sentLocalLoads.loads)
	if hub == a.self.Addr {
		g.receive(&feed.GossipMessage{From: a.self.Addr, Hop: feed.HopToHub, Loads: loads, List: g.toHub.currentList(), Batches: g.toHub.batches, Phases: g.toHub.phases})
	} else if loads != nil || !g.toHub.empty() {
		g.send([]string{hub}, &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopToHub, Loads: loads, List: g.toHub.currentList(), Batches: g.toHub.batches, Phases: g.toHub.phases})
	}
	g.toHub = outbox{}
	g.flushAsHub(hub == a.self.Addr)
}

// flushAsHub forwards, as a hub, the updates of this zone's agents and of the other hubs. An agent
// that isn't the hub any more forwards what it has left.
func (g *gossiper) flushAsHub(isHub bool) {
	if !isHub && len(g.zoneLoads) == 0 && g.toOtherHubs.empty() && g.toZone.empty() {
		return
	}
	a := g.agent
	zone := sumLoads(g.zoneLoads)
	if loads := g.sentToOtherHubs.next(zone); loads != nil || g.toOtherHubs.hasUrgent() {
		message := &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopHubToHub, Loads: loads, List: g.toOtherHubs.currentList(), Phases: g.toOtherHubs.phases}
		g.toOtherHubs.attachBulkInTrial(message)
		g.send(slices.Collect(maps.Keys(g.otherHubs())), message)
	}
	all := addLoads(zone, sumLoads(g.otherZoneLoads))
	if loads := g.sentToZone.next(all); loads != nil || g.toZone.hasUrgent() {
		message := &feed.GossipMessage{From: a.self.Addr, Hop: feed.HopFromHub, Loads: loads, List: g.toZone.currentList(), Phases: g.toZone.phases}
		g.toZone.attachBulkInTrial(message)
		g.zoneBytes = g.sendToZone(message)
		if loads != nil {
			g.applyTotalLoads(loads)
		}
	}
	g.toOtherHubs, g.toZone = outbox{batches: g.toOtherHubs.batches}, outbox{batches: g.toZone.batches}
	if g.bulkDue(g.flushedAt) {
		g.flushBulk()
	}
}

// attachBulkInTrial adds the index batches to a message of loads in trial builds that don't
// separate them. A trial build disables a mechanism to measure its effect.
func (o *outbox) attachBulkInTrial(message *feed.GossipMessage) {
	if trial.Disabled(trial.SeparateLoadUpdates) {
		message.Batches, o.batches = o.batches, nil
	}
}

// flushBulk forwards the collected index batches as a hub.
func (g *gossiper) flushBulk() {
	from := g.agent.self.Addr
	g.bulkAt, g.bulkBytes = g.flushedAt, 0
	if len(g.toOtherHubs.batches) > 0 {
		g.send(slices.Collect(maps.Keys(g.otherHubs())), &feed.GossipMessage{From: from, Hop: feed.HopHubToHub, Batches: g.toOtherHubs.batches})
	}
	if len(g.toZone.batches) > 0 {
		g.bulkBytes = g.sendToZone(&feed.GossipMessage{From: from, Hop: feed.HopFromHub, Batches: g.toZone.batches})
	}
	g.toOtherHubs.batches, g.toZone.batches = nil, nil
}

// bulkDue reports whether at now the link has had time to carry the last bulk messages at
// bulkLinkShare, so that the next may be sent.
func (g *gossiper) bulkDue(now time.Time) bool {
	return now.Sub(g.bulkAt) >= min(g.linkTime(g.bulkBytes, bulkLinkShare), maxBulkInterval)
}

// linkTime returns the time that sending bytes takes at a share of the machine's link, 0 if the
// link's rate is unknown.
func (g *gossiper) linkTime(bytes int, share float64) time.Duration {
	bytesPerSecond := share * g.agent.settings.LinkMbps * 1e6 / 8
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}

// sendGossip sends a message to some agents and returns the bytes sent. It encodes the message
// once: encoding it for each receiver would take a quarter of a hub's CPU.
func (a *Agent) sendGossip(to []string, message *feed.GossipMessage) (bytes int) {
	if len(to) == 0 {
		return 0
	}
	encoded, err := rpc.EncodeOneWay(feed.KindGossip, message)
	if err != nil {
		a.log.Error().Err(err).Str("step", "news").Msg("encoding a gossip message failed")
		return 0
	}
	for _, addr := range to {
		a.pool.PostEncoded(addr, encoded)
	}
	a.gossipBytesSent += uint64(len(encoded) * len(to))
	return len(encoded) * len(to)
}

// zonePeers returns the addresses of the other agents in this zone.
func (g *gossiper) zonePeers() (addrs []string) {
	for _, m := range g.agent.members.Agents {
		if m.Zone == g.agent.self.Zone && m.Addr != g.agent.self.Addr {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// otherHubs returns the addresses of the other zones' hubs.
func (g *gossiper) otherHubs() map[string]bool {
	hubs, zones := map[string]bool{}, map[string]bool{g.agent.self.Zone: true}
	for _, m := range g.agent.members.Agents {
		if !zones[m.Zone] {
			zones[m.Zone] = true
			hubs[g.hubAddr(m.Zone)] = true
		}
	}
	return hubs
}

// receive applies a message and queues what has to be forwarded.
func (g *gossiper) receive(message *feed.GossipMessage) {
	a := g.agent
	if message.From != a.self.Addr { // an agent's own updates are already applied
		a.applyPushedList(message.List, message.From)
		for _, batch := range message.Batches {
			a.applyBatch(batch, message.From)
		}
		a.applyPhases(message.Phases)
	}
	switch message.Hop {
	case feed.HopToHub:
		if message.Loads != nil {
			table := g.zoneLoads[message.From]
			table.apply(message.Loads)
			g.zoneLoads[message.From] = table
		}
		g.toOtherHubs.add(message)
		g.toZone.add(message)
	case feed.HopHubToHub:
		if message.Loads != nil {
			table := g.otherZoneLoads[message.From]
			table.apply(message.Loads)
			g.otherZoneLoads[message.From] = table
		}
		g.toZone.add(message)
	case feed.HopFromHub:
		g.relay(message)
		if message.Loads != nil {
			g.applyTotalLoads(message.Loads)
		}
	}
}

// applyTotalLoads applies the loads of all agents and notifies the proxy.
func (g *gossiper) applyTotalLoads(loads *feed.Loads) {
	g.totalLoads.apply(loads)
	g.loadsRevision++
	g.agent.notifyProxy()
}

// expireLoads drops loads that have not been updated for loadsTTL.
func (g *gossiper) expireLoads() {
	for _, tables := range []map[string]loadTable{g.zoneLoads, g.otherZoneLoads} {
		for addr, table := range tables {
			if time.Since(table.updatedAt) > loadsTTL {
				delete(tables, addr)
			}
		}
	}
	if len(g.totalLoads.loads) > 0 && time.Since(g.totalLoads.updatedAt) > loadsTTL {
		g.totalLoads = loadTable{}
		g.loadsRevision++
	}
}

// remoteLoads returns the loads of all other agents at the listed backends.
func (g *gossiper) remoteLoads() map[string]dispatch.Load {
	remote := make(map[string]dispatch.Load, len(g.totalLoads.loads))
	for _, backend := range g.agent.backends {
		key := feed.BackendKeyOf(backend.ID)
		if load := g.totalLoads.loads[key].Sub(g.sentLocalLoads.loads[key]); load != (dispatch.Load{}) {
			remote[backend.ID] = load
		}
	}
	return remote
}

// loadsByKey returns loads by backend key.
func loadsByKey(loads map[string]dispatch.Load) map[feed.BackendKey]dispatch.Load {
	byKey := make(map[feed.BackendKey]dispatch.Load, len(loads))
	for id, load := range loads {
		byKey[feed.BackendKeyOf(id)] = load
	}
	return byKey
}

// sumLoads returns the sum of the tables by backend.
func sumLoads(tables map[string]loadTable) map[feed.BackendKey]dispatch.Load {
	sum := map[feed.BackendKey]dispatch.Load{}
	for _, table := range tables {
		for key, load := range table.loads {
			sum[key] = sum[key].Add(load)
		}
	}
	return sum
}

// addLoads adds the loads in b to a and returns a.
func addLoads(a, b map[feed.BackendKey]dispatch.Load) map[feed.BackendKey]dispatch.Load {
	for key, load := range b {
		a[key] = a[key].Add(load)
	}
	return a
}

// changedLoads returns the loads that differ from old. A load that is gone is a zero load.
func changedLoads(old, current map[feed.BackendKey]dispatch.Load) map[feed.BackendKey]dispatch.Load {
	changed := map[feed.BackendKey]dispatch.Load{}
	for key, load := range current {
		if old[key] != load {
			changed[key] = load
		}
	}
	for key := range old {
		if _, ok := current[key]; !ok {
			changed[key] = dispatch.Load{}
		}
	}
	return changed
}
