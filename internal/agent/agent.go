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
	tickEvery    = 100 * time.Millisecond
	commandQueue = 1024
	// phasesKeep is how long an owner's phases are believed, and phasesTold how long it tells them again.
	phasesKeep   = 4 * time.Second
	phasesTold   = loadLimit + 2*time.Second
	feedHold     = 200 * time.Millisecond
	proxySilence = time.Second
	// keptBatches is how many changes of kept prompts are held for the proxy at least; the oldest go droppedAtOnce at a time, as all others move.
	keptBatches   = 2048
	droppedAtOnce = 512
)

// Agent is one mixer's agent.
type Agent struct {
	settings *local.Settings
	log      zerolog.Logger
	network  rpc.Network
	pool     *rpc.Pool
	web      *http.Client
	self     distribute.Agent
	start    time.Time
	commands chan func()
	done     chan struct{}
	changed  chan struct{} // closed and replaced by the owner when a proxy may want to hear

	// What follows is the owner's.
	snapshot    *distribute.Snapshot
	versions    map[string]superseded.History // since when models' versions are known to be wanted
	inTouch     time.Duration                 // when a call was made that a controller in touch answered, the last one
	controllers []string
	epoch       uint64 // of the view that controllers are of
	members     *distribute.MemberSet
	suspects    map[string]bool
	applied     uint64
	proxyAt     time.Time

	list     []dispatch.BackendInfo // nil if it is not known
	lists    lists
	listFeed listFeed
	phases   map[string]phaseNews

	listArrivals    metrics.Histogram // of the list, from its reading to its arrival here
	listApplied     applied
	snapshotApplied applied

	index      *kvindex.Index
	batches    []*kvindex.Batch // the newest, the last of which has number batchCount
	batchCount uint64
	readers    map[string]context.CancelFunc
	readersOf  sourcesOf // what readers were last held to
	readersAt  time.Time
	wholes     wholes

	eventOwners *rendezvous.OwnerCache // of the backends' events

	news      *exchange
	newsBytes uint64 // of news that was sent
	ownLoads  map[string]dispatch.Load
	rollouts  map[string]bool
	ownPhases map[string]ownPhase
	// phaseCount numbers the phases that this agent tells.
	phaseCount uint64

	storesOf   uint64 // number of the configuration that storeAddrs is of
	storeAddrs []string
}

// New makes an agent on the machine's own network.
func New(settings *local.Settings, log zerolog.Logger) *Agent {
	return newOn(rpc.TCP{}, newWeb(), settings, log)
}

// newOn makes an agent that meets other machines on a network, and backends and the platform through a client.
func newOn(network rpc.Network, web *http.Client, settings *local.Settings, log zerolog.Logger) *Agent {
	life := fmt.Sprintf("%s/%016x%04x", settings.NodeName, time.Now().UnixNano(), rand.IntN(1<<16))
	a := &Agent{
		settings: settings,
		log:      log,
		network:  network,
		pool:     rpc.NewPoolWithNetwork(network),
		web:      web,
		self:     distribute.Agent{ID: life, Addr: settings.InternalAddr(settings.IP), Zone: settings.Zone},
		start:    time.Now(),
		commands: make(chan func(), commandQueue),
		done:     make(chan struct{}),
		changed:  make(chan struct{}),
		members:  &distribute.MemberSet{},
		suspects: map[string]bool{},
		phases:   map[string]phaseNews{},
		versions: map[string]superseded.History{},
		inTouch:  superseded.DistantPast,
		index:    kvindex.New(),
		readers:  map[string]context.CancelFunc{},

		eventOwners: rendezvous.NewOwnerCache(),
		wholes:      wholes{wanted: map[string]bool{}},
		listFeed:    listFeed{changedIn: map[string]uint64{}},
		rollouts:    map[string]bool{},
		ownPhases:   map[string]ownPhase{},
	}
	a.news = newExchange(a)
	a.lists.heardAt, a.lists.toldAt = a.start, a.start
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
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	defer close(a.done)
	for {
		select {
		case command := <-a.commands:
			command()
		case now := <-flush.C:
			if a.news.due(now) {
				a.news.flush()
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

func (a *Agent) now() time.Duration { return time.Since(a.start) }

func (a *Agent) enqueue(command func()) {
	select {
	case a.commands <- command:
	case <-a.done:
	}
}

// ask runs a command at the owner and waits for it.
func (a *Agent) ask(ctx context.Context, command func()) error {
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
	a.dutyList(ctx)
	a.dutyEvents(ctx)
	a.dutyOrders(ctx)
	a.news.expire()
	a.retellPhases()
	a.expirePhases()
}

// notify wakes the proxy's call.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// handlePeer serves other machines.
func (a *Agent) handlePeer(ctx context.Context, kind string, body []byte) (any, error) {
	switch kind {
	case feed.KindGossip:
		news := new(feed.GossipMessage)
		if err := cbor.Unmarshal(body, news); err != nil {
			return nil, err
		}
		a.enqueue(func() { a.news.take(news) })
		return nil, nil
	case feed.KindBackendIndex:
		request := new(feed.BackendIndexRequest)
		if err := cbor.Unmarshal(body, request); err != nil {
			return nil, err
		}
		var whole *kvindex.Batch
		err := a.ask(ctx, func() {
			whole = a.index.Snapshot(request.Backend)
			a.wholes.served++
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
		return a.answerList(ctx, request)
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
		a.enqueue(func() { a.ownLoads = loads })
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
	held := time.NewTimer(feedHold)
	defer held.Stop()
	for {
		var reply *feed.Reply
		var fresh bool
		var changed chan struct{}
		if err := a.ask(ctx, func() { reply, fresh = a.feedReply(began, request); changed = a.changed }); err != nil {
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
	a.proxyAt = time.Now()
	a.applied = max(a.applied, request.SnapshotSeq)
	same := request.AgentID == a.self.ID
	reply = &feed.Reply{AgentID: a.self.ID, BatchCount: a.batchCount, LoadsRevision: a.news.number}
	if !same || request.LoadsRevision != a.news.number {
		reply.Loads, fresh = a.news.others(), true
	}
	if a.snapshot != nil && a.snapshot.Seq > request.SnapshotSeq {
		snapshot := *a.snapshot
		if snapshot.ConfigSeq == request.ConfigSeq {
			snapshot.Config = nil
		}
		reply.Snapshot, reply.VersionAges, fresh = &snapshot, a.currentAges(), true
		reply.LongPollMS = (a.now() - began).Milliseconds()
	}
	a.noteApplied(same, request)
	switch {
	case a.list == nil:
	case !same:
		reply.List, fresh = a.listFor(), true
	case request.ListRevision != a.listFeed.number:
		reply.List, fresh = a.listAfter(request.ListRevision), true
	}
	if !same || request.MembersDigest != a.members.Digest {
		reply.Members, fresh = a.members, true
	}
	return reply, a.feedIndex(request, reply, reply.Snapshot != nil) || fresh
}

// feedIndex adds what a proxy lacks of the index, as much as one reply may bring; beside a snapshot, which is urgent, nothing but the news
// that it has to begin anew. The list and the members come with it: while weights are exchanged the list changes with each call. It tells
// whether it added something.
func (a *Agent) feedIndex(request *feed.Request, reply *feed.Reply, urgent bool) (fresh bool) {
	behind := a.batchCount - request.BatchCount
	if request.AgentID != a.self.ID || behind > uint64(len(a.batches)) {
		reply.Reset, reply.KnownBackends = true, a.index.Backends()
		return true
	}
	reply.BatchCount = request.BatchCount
	if urgent {
		return false
	}
	changes := 0
	for _, b := range a.batches[uint64(len(a.batches))-behind:] {
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

func (a *Agent) currentAges() map[string][]superseded.Age {
	ages := map[string][]superseded.Age{}
	for model, times := range a.versions {
		ages[model] = times.Ages(a.now())
	}
	return ages
}
