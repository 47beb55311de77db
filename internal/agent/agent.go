// Package agent implements the agent that runs beside each proxy. It keeps a session with a
// controller, pings a few peers as a failure detector, does the work that rendezvous hashing or a
// lease assigns to it, and feeds the proxy over loopback. One goroutine, the command loop, owns the
// agent's state and runs a queue of commands.
package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/listen"
	"nettlefold/internal/memlimit"
	"nettlefold/internal/metrics"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/superseded"
)

const (
	tickInterval       = 100 * time.Millisecond
	commandQueueLength = 1024
	// phaseTTL is how long a received phase stays valid without being announced again.
	phaseTTL = 4 * time.Second
	// phaseAnnouncePeriod is how long the holder of a rollout lease keeps announcing a phase, unless
	// a newer one replaces it. It covers the loading of weights and the last query of their state.
	phaseAnnouncePeriod = weightLoadTimeout + 2*time.Second
	feedLongPollTimeout = 200 * time.Millisecond
	proxyTimeout        = time.Second
	// minRecentBatches is the minimum number of index batches that are kept for the proxy. The
	// oldest are dropped batchTrimLength at a time, because dropping one moves all others.
	minRecentBatches = 2048
	batchTrimLength  = 512
)

// Agent is the agent of one proxy.
type Agent struct {
	settings    *local.Settings
	log         zerolog.Logger
	network     rpc.Network
	pool        *rpc.Pool
	httpClient  *http.Client
	memory      *memlimit.Budget // for responses of backends
	faults      responseFaults
	self        distribute.Agent
	startedAt   time.Time
	commands    chan func()
	done        chan struct{}
	feedChanged chan struct{} // closed and replaced to wake the waiting feed requests

	// The fields below are owned by the command loop.
	snapshot          *distribute.Snapshot
	configDigest      string                        // config.TextDigest of the snapshot's configuration, "" if there is none
	versionHistories  map[string]superseded.History // by model: when its wanted versions were set at the earliest
	lastQuorumContact time.Duration                 // start of the last call that a controller with a quorum answered
	controllers       []string
	epoch             uint64 // of the chain view that the controllers are from
	members           *distribute.MemberSet
	suspects          map[string]bool
	appliedSeq        uint64
	lastProxyRequest  time.Time

	backends      []dispatch.BackendInfo // the platform's instance list, nil until one is known
	listSync      listSyncState
	listRevisions listRevisions
	phases        map[string]receivedPhase

	listArrivalDelays    metrics.Histogram // delays from the start of a list read to the list's arrival
	listApplyTracker     applyTracker
	snapshotApplyTracker applyTracker

	index            *kvindex.Index
	recentBatches    []*kvindex.Batch // newest last; the last one has number batchCount
	batchCount       uint64
	eventReaders     map[string]context.CancelFunc
	readerInputs     eventReaderInputs // the inputs of the last update of eventReaders
	readersCheckedAt time.Time
	resync           indexResync

	eventOwners *rendezvous.OwnerCache // rendezvous owners of the backends' events

	gossip          *gossiper
	gossipBytesSent uint64
	localLoads      map[string]dispatch.Load
	rollouts        map[string]bool
	ownLeases       map[string]*lease // by name: the last lease of that name that this agent claimed
	announcedPhases map[string]announcedPhase
	// phaseSeq numbers the phases that this agent announces.
	phaseSeq uint64

	kvStoresConfigSeq uint64 // number of the configuration that kvStoreAddrs was read from
	kvStoreAddrs      []string
}

// New returns an agent that uses the machine's own network.
func New(settings *local.Settings, log zerolog.Logger) *Agent {
	return newAgent(rpc.TCP{}, newHTTPClient(), settings, log)
}

// newAgent returns an agent that reaches other machines through network, and backends and the
// platform through httpClient.
func newAgent(network rpc.Network, httpClient *http.Client, settings *local.Settings, log zerolog.Logger) *Agent {
	id := fmt.Sprintf("%s/%016x%04x", settings.NodeName, time.Now().UnixNano(), rand.IntN(1<<16))
	a := &Agent{
		settings:          settings,
		log:               log,
		network:           network,
		pool:              rpc.NewPoolWithNetwork(network),
		httpClient:        httpClient,
		memory:            memlimit.ForPeers(settings.MemoryMB),
		faults:            newResponseFaults(log),
		self:              distribute.Agent{ID: id, Addr: settings.InternalAddr(settings.IP), Zone: settings.Zone},
		startedAt:         time.Now(),
		commands:          make(chan func(), commandQueueLength),
		done:              make(chan struct{}),
		feedChanged:       make(chan struct{}),
		members:           &distribute.MemberSet{},
		suspects:          map[string]bool{},
		phases:            map[string]receivedPhase{},
		versionHistories:  map[string]superseded.History{},
		lastQuorumContact: superseded.DistantPast,
		index:             kvindex.New(),
		eventReaders:      map[string]context.CancelFunc{},

		eventOwners:     rendezvous.NewOwnerCache(),
		resync:          indexResync{pending: map[string]bool{}},
		listRevisions:   listRevisions{changedAt: map[string]uint64{}},
		rollouts:        map[string]bool{},
		ownLeases:       map[string]*lease{},
		announcedPhases: map[string]announcedPhase{},
	}
	a.gossip = newGossiper(a)
	a.listSync.receivedAt, a.listSync.pushedAt = a.startedAt, a.startedAt
	return a
}

// Run serves peers and the proxy and runs the command loop until ctx is done. It waits for addresses
// that are in use, and returns an error if it can never listen.
func (a *Agent) Run(ctx context.Context) error {
	peerListener, err := a.listen(ctx, a.self.Addr)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "agent: listen for peers")
	}
	defer peerListener.Close()
	proxyListener, err := a.listen(ctx, a.settings.LoopbackAddr())
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "agent: listen for the proxy")
	}
	defer proxyListener.Close()
	go rpc.Serve(peerListener, a.handlePeer)
	go rpc.Serve(proxyListener, a.handleProxy)
	go a.runSession(ctx)
	go a.watchPeers(ctx)
	tickTicker := time.NewTicker(tickInterval)
	defer tickTicker.Stop()
	flushTicker := time.NewTicker(flushInterval)
	defer flushTicker.Stop()
	defer close(a.done)
	for {
		select {
		case command := <-a.commands:
			command()
		case now := <-flushTicker.C:
			if a.gossip.due(now) {
				a.gossip.flush()
			}
		case <-tickTicker.C:
			a.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// listen listens at an address once that is possible.
func (a *Agent) listen(ctx context.Context, addr string) (net.Listener, error) {
	return listen.Await(ctx, func() (net.Listener, error) { return a.network.Listen(addr) }, listen.LogTo(a.log, addr))
}

// Reload applies changed settings. Only the seeds can change at run time.
func (a *Agent) Reload(settings *local.Settings) {
	a.enqueue(func() { a.settings.Seeds = settings.Seeds })
}

// now returns the time since the agent's start.
func (a *Agent) now() time.Duration { return time.Since(a.startedAt) }

// enqueue queues a command for the command loop. It blocks while the queue is full, and drops the
// command once the agent has stopped.
func (a *Agent) enqueue(command func()) {
	select {
	case a.commands <- command:
	case <-a.done:
	}
}

// runInLoop runs a command in the command loop and waits until it has finished. The command loop
// itself must not call it.
func (a *Agent) runInLoop(ctx context.Context, command func()) error {
	finished := make(chan struct{})
	a.enqueue(func() { command(); close(finished) })
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-a.done:
		return context.Canceled
	}
}

// tick runs the periodic work of the command loop.
func (a *Agent) tick(ctx context.Context) {
	a.readListIfDue(ctx)
	a.updateEventReaders(ctx)
	a.startRollouts(ctx)
	a.gossip.expireLoads()
	a.reannouncePhases()
	a.expirePhases()
}

// notifyProxy wakes the proxy's long-polling feed request.
func (a *Agent) notifyProxy() {
	close(a.feedChanged)
	a.feedChanged = make(chan struct{})
}

// handlePeer handles the calls of other agents. The texts of its errors travel to the caller and
// stay the same across releases.
func (a *Agent) handlePeer(ctx context.Context, kind string, body []byte) (any, error) {
	switch kind {
	case feed.KindGossip:
		message := new(feed.GossipMessage)
		if err := cbor.Unmarshal(body, message); err != nil {
			return nil, err
		}
		a.enqueue(func() { a.gossip.receive(message) })
		return nil, nil
	case feed.KindBackendIndex:
		request := new(feed.BackendIndexRequest)
		if err := cbor.Unmarshal(body, request); err != nil {
			return nil, err
		}
		var snapshot *kvindex.Batch
		err := a.runInLoop(ctx, func() {
			snapshot = a.index.Snapshot(request.Backend)
			a.resync.served++
		})
		if err == nil && snapshot == nil {
			err = merry.New("nothing is known of " + request.Backend)
		}
		return snapshot, err
	case feed.KindList:
		request := new(feed.ListRequest)
		if err := cbor.Unmarshal(body, request); err != nil {
			return nil, err
		}
		return a.serveList(ctx, request)
	case feed.KindPing:
		return struct{}{}, nil
	}
	return nil, merry.New("no such call: " + kind)
}

// handleProxy handles the calls of the proxy beside this agent. The texts of its errors travel to
// the proxy and stay the same across releases.
func (a *Agent) handleProxy(ctx context.Context, kind string, body []byte) (any, error) {
	if kind == feed.KindLoads {
		loads := map[string]dispatch.Load{}
		if err := cbor.Unmarshal(body, &loads); err != nil {
			return nil, err
		}
		a.enqueue(func() { a.localLoads = loads })
		return nil, nil
	}
	if kind != feed.KindFeed {
		return nil, merry.New("no such call: " + kind)
	}
	request := new(feed.Request)
	if err := cbor.Unmarshal(body, request); err != nil {
		return nil, err
	}
	began := a.now()
	timeout := time.NewTimer(feedLongPollTimeout)
	defer timeout.Stop()
	for {
		var reply *feed.Reply
		var isNew bool
		var changed chan struct{}
		if err := a.runInLoop(ctx, func() { reply, isNew = a.feedReply(began, request); changed = a.feedChanged }); err != nil {
			return nil, err
		}
		if isNew {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// feedReply returns the reply to a feed request that arrived at began, and whether it contains
// anything that the proxy is missing.
func (a *Agent) feedReply(began time.Duration, request *feed.Request) (reply *feed.Reply, isNew bool) {
	a.lastProxyRequest = time.Now()
	a.appliedSeq = max(a.appliedSeq, request.SnapshotSeq)
	sameAgent := request.AgentID == a.self.ID
	reply = &feed.Reply{AgentID: a.self.ID, BatchCount: a.batchCount, LoadsRevision: a.gossip.loadsRevision}
	if !sameAgent || request.LoadsRevision != a.gossip.loadsRevision {
		reply.Loads, isNew = a.gossip.remoteLoads(), true
	}
	if a.snapshot != nil && a.snapshot.Seq > request.SnapshotSeq {
		snapshot := *a.snapshot
		if snapshot.ConfigSeq == request.ConfigSeq {
			snapshot.Config = nil
		}
		reply.Snapshot, reply.VersionAges, isNew = &snapshot, a.versionAges(), true
		reply.LongPollMS = (a.now() - began).Milliseconds()
	}
	a.observeApplied(sameAgent, request)
	switch {
	case a.backends == nil:
	case !sameAgent:
		reply.List, isNew = a.fullList(), true
	case request.ListRevision != a.listRevisions.current:
		reply.List, isNew = a.listSinceRevision(request.ListRevision), true
	}
	if !sameAgent || request.MembersDigest != a.members.Digest {
		reply.Members, isNew = a.members, true
	}
	return reply, a.addIndexUpdates(request, reply, reply.Snapshot != nil) || isNew
}

// addIndexUpdates adds the index updates that the proxy is missing to a reply, as many as one reply
// may carry, and reports whether it added any. A reply with a snapshot, which is urgent, carries at
// most the reset of the index. A reply with a new list or new members still carries batches: during
// a rollout the list changes with each call, and the index must not wait for its end.
func (a *Agent) addIndexUpdates(request *feed.Request, reply *feed.Reply, hasSnapshot bool) (isNew bool) {
	lag := a.batchCount - request.BatchCount
	if request.AgentID != a.self.ID || lag > uint64(len(a.recentBatches)) {
		reply.Reset, reply.KnownBackends = true, a.index.Backends()
		return true
	}
	reply.BatchCount = request.BatchCount
	if hasSnapshot {
		return false
	}
	changes := 0
	for _, batch := range a.recentBatches[uint64(len(a.recentBatches))-lag:] {
		if changes >= feed.MaxChangesPerReply {
			return true
		}
		changes += len(batch.Changes)
		reply.Batches = append(reply.Batches, batch)
		reply.BatchCount++
	}
	for _, backend := range request.ResyncBackends {
		if changes >= feed.MaxChangesPerReply {
			return true
		}
		snapshot := a.index.Snapshot(backend)
		if snapshot == nil {
			snapshot = &kvindex.Batch{Backend: backend, Snapshot: true}
		}
		changes += len(snapshot.Changes)
		reply.Batches = append(reply.Batches, snapshot)
	}
	return len(reply.Batches) > 0
}

// versionAges returns the ages of the wanted versions by model.
func (a *Agent) versionAges() map[string][]superseded.Age {
	ages := map[string][]superseded.Age{}
	for model, history := range a.versionHistories {
		ages[model] = history.Ages(a.now())
	}
	return ages
}
