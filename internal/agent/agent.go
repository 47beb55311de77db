// Package agent is the program beside each proxy: it keeps the session with a controller, watches a few peers, does the duties that
// fall to it, and feeds the proxy over loopback. One goroutine owns its tables and works through a queue of commands.
package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/metrics"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/superseded"
)

const (
	tickInterval       = 100 * time.Millisecond
	commandQueueLength = 1024
	// phasesKeep is how long an owner's phases are believed, and phasesTold how long it tells them again.
	phaseTTL            = 4 * time.Second
	phaseAnnouncePeriod = loadTimeout + 2*time.Second
	feedLongPollTimeout = 200 * time.Millisecond
	proxyTimeout        = time.Second
	// keptBatches is how many changes of kept prompts are held for the proxy at least; the oldest go droppedAtOnce at a time, as all others move.
	minRecentBatches = 2048
	batchTrimLength  = 512
)

// Agent is one mixer's agent.
type Agent struct {
	settings    *local.Settings
	log         zerolog.Logger
	network     rpc.Network
	pool        *rpc.Pool
	httpClient  *http.Client
	self        distribute.Agent
	startedAt   time.Time
	commands    chan func()
	done        chan struct{}
	feedChanged chan struct{} // closed and replaced by the owner when a proxy may want to hear

	// What follows is the owner's.
	snapshot          *distribute.Snapshot
	versionHistories  map[string]superseded.History // since when models' versions are known to be wanted
	lastQuorumContact time.Duration                 // when a call was made that a controller in touch answered, the last one
	controllers       []string
	epoch             uint64 // of the view that controllers are of
	members           *distribute.MemberSet
	suspects          map[string]bool
	appliedSeq        uint64
	lastProxyRequest  time.Time

	backends      []dispatch.BackendInfo // nil if it is not known
	listSync      listSyncState
	listRevisions listRevisions
	phases        map[string]receivedPhase

	listArrivalDelays    metrics.Histogram // of the list, from its reading to its arrival here
	listApplyTracker     applyTracker
	snapshotApplyTracker applyTracker

	index            *kvindex.Index
	recentBatches    []*kvindex.Batch // the newest, the last of which has number batchCount
	batchCount       uint64
	eventReaders     map[string]context.CancelFunc
	readerInputs     eventReaderInputs // what readers were last held to
	readersCheckedAt time.Time
	resync           indexResync

	eventOwners *rendezvous.OwnerCache // of the backends' events

	gossip          *gossiper
	gossipBytesSent uint64 // of news that was sent
	localLoads      map[string]dispatch.Load
	rollouts        map[string]bool
	announcedPhases map[string]announcedPhase
	// phaseCount numbers the phases that this agent tells.
	phaseSeq uint64

	kvStoresConfigSeq uint64 // number of the configuration that storeAddrs is of
	kvStoreAddrs      []string
}

// New makes an agent on the machine's own network.
func New(settings *local.Settings, log zerolog.Logger) *Agent {
	return newAgent(rpc.TCP{}, newHTTPClient(), settings, log)
}

// newOn makes an agent that meets other machines on a network, and backends and the platform through a client.
func newAgent(network rpc.Network, web *http.Client, settings *local.Settings, log zerolog.Logger) *Agent {
	life := fmt.Sprintf("%s/%016x%04x", settings.NodeName, time.Now().UnixNano(), rand.IntN(1<<16))
	a := &Agent{
		settings:          settings,
		log:               log,
		network:           network,
		pool:              rpc.NewPoolWithNetwork(network),
		httpClient:        web,
		self:              distribute.Agent{ID: life, Addr: settings.InternalAddr(settings.IP), Zone: settings.Zone},
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
		announcedPhases: map[string]announcedPhase{},
	}
	a.gossip = newGossiper(a)
	a.listSync.receivedAt, a.listSync.pushedAt = a.startedAt, a.startedAt
	return a
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	outside, err := a.network.Listen(a.self.Addr)
	if err != nil {
		return merry.Prepend(err, "agent: listen to machines")
	}
	defer outside.Close()
	inside, err := a.network.Listen(a.settings.LoopbackAddr())
	if err != nil {
		return merry.Prepend(err, "agent: listen to the proxy")
	}
	defer inside.Close()
	go rpc.Serve(outside, a.handlePeer)
	go rpc.Serve(inside, a.handleProxy)
	go a.runSession(ctx)
	go a.watchPeers(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	defer close(a.done)
	for {
		select {
		case command := <-a.commands:
			command()
		case now := <-flush.C:
			if a.gossip.due(now) {
				a.gossip.flush()
			}
		case <-ticker.C:
			a.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Reload takes settings that changed: the seeds.
func (a *Agent) Reload(settings *local.Settings) {
	a.enqueue(func() { a.settings.Seeds = settings.Seeds })
}

func (a *Agent) now() time.Duration { return time.Since(a.startedAt) }

func (a *Agent) enqueue(command func()) {
	select {
	case a.commands <- command:
	case <-a.done:
	}
}

// ask runs a command at the owner and waits for it.
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

func (a *Agent) tick(ctx context.Context) {
	a.readListIfDue(ctx)
	a.updateEventReaders(ctx)
	a.startRollouts(ctx)
	a.gossip.expireLoads()
	a.reannouncePhases()
	a.expirePhases()
}

// notify wakes the proxy's call.
func (a *Agent) notifyProxy() {
	close(a.feedChanged)
	a.feedChanged = make(chan struct{})
}

// handlePeer serves other machines.
func (a *Agent) handlePeer(ctx context.Context, kind string, body []byte) (any, error) {
	switch kind {
	case feed.KindGossip:
		news := new(feed.GossipMessage)
		if err := cbor.Unmarshal(body, news); err != nil {
			return nil, err
		}
		a.enqueue(func() { a.gossip.receive(news) })
		return nil, nil
	case feed.KindBackendIndex:
		request := new(feed.BackendIndexRequest)
		if err := cbor.Unmarshal(body, request); err != nil {
			return nil, err
		}
		var whole *kvindex.Batch
		err := a.runInLoop(ctx, func() {
			whole = a.index.Snapshot(request.Backend)
			a.resync.served++
		})
		if err == nil && whole == nil {
			err = merry.New("nothing is known of " + request.Backend)
		}
		return whole, err
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

// handleProxy serves the proxy beside this agent.
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
	held := time.NewTimer(feedLongPollTimeout)
	defer held.Stop()
	for {
		var reply *feed.Reply
		var fresh bool
		var changed chan struct{}
		if err := a.runInLoop(ctx, func() { reply, fresh = a.feedReply(began, request); changed = a.feedChanged }); err != nil {
			return nil, err
		}
		if fresh {
			return reply, nil
		}
		select {
		case <-changed:
		case <-held.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// feedReply makes the answer to a call of the proxy that came at a time, and tells whether there is something in it that it lacks.
func (a *Agent) feedReply(began time.Duration, request *feed.Request) (reply *feed.Reply, fresh bool) {
	a.lastProxyRequest = time.Now()
	a.appliedSeq = max(a.appliedSeq, request.SnapshotSeq)
	same := request.AgentID == a.self.ID
	reply = &feed.Reply{AgentID: a.self.ID, BatchCount: a.batchCount, LoadsRevision: a.gossip.loadsRevision}
	if !same || request.LoadsRevision != a.gossip.loadsRevision {
		reply.Loads, fresh = a.gossip.remoteLoads(), true
	}
	if a.snapshot != nil && a.snapshot.Seq > request.SnapshotSeq {
		snapshot := *a.snapshot
		if snapshot.ConfigSeq == request.ConfigSeq {
			snapshot.Config = nil
		}
		reply.Snapshot, reply.VersionAges, fresh = &snapshot, a.versionAges(), true
		reply.LongPollMS = (a.now() - began).Milliseconds()
	}
	a.observeApplied(same, request)
	switch {
	case a.backends == nil:
	case !same:
		reply.List, fresh = a.fullList(), true
	case request.ListRevision != a.listRevisions.current:
		reply.List, fresh = a.listSinceRevision(request.ListRevision), true
	}
	if !same || request.MembersDigest != a.members.Digest {
		reply.Members, fresh = a.members, true
	}
	return reply, a.addIndexUpdates(request, reply, reply.Snapshot != nil) || fresh
}

// feedIndex adds what a proxy lacks of the index, as much as one reply may bring; beside a snapshot, which is urgent, nothing but the news
// that it has to begin anew. The list and the members come with it: while weights are exchanged the list changes with each call. It tells
// whether it added something.
func (a *Agent) addIndexUpdates(request *feed.Request, reply *feed.Reply, urgent bool) (fresh bool) {
	behind := a.batchCount - request.BatchCount
	if request.AgentID != a.self.ID || behind > uint64(len(a.recentBatches)) {
		reply.Reset, reply.KnownBackends = true, a.index.Backends()
		return true
	}
	reply.BatchCount = request.BatchCount
	if urgent {
		return false
	}
	changes := 0
	for _, b := range a.recentBatches[uint64(len(a.recentBatches))-behind:] {
		if changes >= feed.MaxChangesPerReply {
			return true
		}
		changes += len(b.Changes)
		reply.Batches = append(reply.Batches, b)
		reply.BatchCount++
	}
	for _, id := range request.ResyncBackends {
		if changes >= feed.MaxChangesPerReply {
			return true
		}
		whole := a.index.Snapshot(id)
		if whole == nil {
			whole = &kvindex.Batch{Backend: id, Snapshot: true}
		}
		changes += len(whole.Changes)
		reply.Batches = append(reply.Batches, whole)
	}
	return len(reply.Batches) > 0
}

func (a *Agent) versionAges() map[string][]superseded.Age {
	ages := map[string][]superseded.Age{}
	for model, times := range a.versionHistories {
		ages[model] = times.Ages(a.now())
	}
	return ages
}
