// Package controller implements a core machine: a replica of the control state, the operator's HTTP
// API, and the sessions of the mixers' agents. Each mixer machine runs a proxy and an agent; the
// members are the agents with a session at any controller. A single goroutine, the event loop, owns
// the replica and the tables of agents and executes queued commands.
package controller

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"nettlefold/internal/chain"
	"nettlefold/internal/config"
	"nettlefold/internal/dirlock"
	"nettlefold/internal/distribute"
	"nettlefold/internal/durable"
	"nettlefold/internal/leases"
	"nettlefold/internal/memlimit"
	"nettlefold/internal/replicated"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/superseded"
	"nettlefold/internal/tally"
)

const (
	tickInterval         = 50 * time.Millisecond
	commandQueueCapacity = 1024
	reopenDelay          = 400 * time.Millisecond // after a failed write
	// shutdownMargin is the part of the time for a graceful shutdown (Bounds.Grace) that is reserved
	// for requests in progress to finish.
	shutdownMargin = 1200 * time.Millisecond
	// seedIdentitySuffix is the suffix of a seed's identity at the first start. It is fixed, so that
	// all machines derive the same identities.
	seedIdentitySuffix = "/first"
)

// Controller is the program of one core machine.
type Controller struct {
	settings       *local.Settings
	memory         *memlimit.Budget // for requests to the API
	log            zerolog.Logger
	network        rpc.Network
	pool           *rpc.Pool
	commands       chan command
	urgentCommands chan command // messages of other replicas, executed before commands
	startTime      time.Time
	published      atomic.Pointer[publishedState]
	tallies        *tallyService // nil if tallies are disabled
	replies        replyCounters
	done           chan struct{}
	directoryLock  *dirlock.Lock // held until the process ends; nil in tests

	// The fields below belong to the event loop.
	store               *durable.Store
	replica             *chain.Replica
	incarnation         uint64                   // replicas created so far; a new one is created after a disk failure
	diskFailedAt        time.Time                // zero while the disk works
	confirmationWaiters map[uint64]chan struct{} // by nonce; closed when the quorum confirms the view
	sessions            map[string]*session
	remoteTables        map[string]*remoteTable // by the address of the other controller
	tableSentAt         time.Time               // when the table of agents was last sent
	tablePending        bool                    // a changed table is still to be sent
	membersPublishedAt  time.Time               // when the member set was last published
	// membersChanged reports that sessions or remote tables changed since the member set was last
	// computed.
	membersChanged     bool
	previousMemberSets []*distribute.MemberSet // published before the present set, newest last
	lastCurrentAt      time.Duration           // when this replica was last known to have the newest state
	leaveStartedAt     time.Time               // when the shutdown began, zero before
	leaseRenewals      leases.RenewalTracker   // renewals that holders sent to this controller
	configFault        error                   // why this build would refuse the configuration in force, nil if it wouldn't
	propagation        propagationTracker      // of committed sequence numbers to the agents
	recentStats        loopStats               // since the last log interval, about a second
	totalStats         loopStats               // before recentStats
}

// replicaInstance identifies the replica that assigned a sequence number: its epoch, and which of
// this process's replicas it was. After a disk failure the next replica may assign the same numbers
// to other operations within the same epoch.
type replicaInstance struct {
	epoch       uint64
	incarnation uint64
}

// publishedState is the part of the event loop's state that other goroutines may read. It is
// replaced as a whole, and changed is closed when it is replaced.
type publishedState struct {
	state            *replicated.State
	view             chain.View
	self             chain.NodeID
	incarnation      uint64
	current          bool // in contact with a quorum, and the disk works
	controllerAddrs  []string
	seedAddrs        []string
	members          *distribute.MemberSet
	deltas           memberDeltas
	versionHistories map[string]superseded.History // by model: when each wanted version came into force at the earliest
	configDigest     string                        // config.TextDigest of the configuration in state
	changed          chan struct{}
}

// newWithNetwork opens the state on disk and returns a controller for it, which communicates with the
// others and with the operator over network.
func newWithNetwork(network rpc.Network, settings *local.Settings, log zerolog.Logger) (*Controller, error) {
	c := &Controller{
		network:             network,
		settings:            settings,
		memory:              memlimit.ForPeers(settings.MemoryMB),
		log:                 log,
		pool:                rpc.NewPoolWithNetwork(network),
		commands:            make(chan command, commandQueueCapacity),
		urgentCommands:      make(chan command, commandQueueCapacity),
		startTime:           time.Now(),
		done:                make(chan struct{}),
		confirmationWaiters: map[uint64]chan struct{}{},
		sessions:            map[string]*session{},
		remoteTables:        map[string]*remoteTable{},
		lastCurrentAt:       superseded.DistantPast,
		recentStats:         loopStats{since: time.Now()},
	}
	if settings.HasContract(contractTallies) {
		// Prepared before the control state is opened: a control state on disk without a tally log
		// means that no tallies were stored here before.
		if err := c.newTallies(); err != nil {
			return nil, err
		}
	}
	if err := c.openReplica(); err != nil {
		return nil, err
	}
	c.publish(true)
	return c, nil
}

// sinceStart returns the monotonic time since the controller was created.
func (c *Controller) sinceStart() time.Duration { return time.Since(c.startTime) }

// selfMember returns this machine as a chain member with the given identity.
func (c *Controller) selfMember(id chain.NodeID) chain.Member {
	return chain.Member{ID: id, Addr: c.settings.InternalAddr(c.settings.IP), Control: c.settings.ControlAddr, Zone: c.settings.Zone}
}

func (c *Controller) seedAddrs() []string {
	var addrs []string
	for _, seed := range c.settings.Seeds {
		addrs = append(addrs, c.settings.InternalAddr(seed))
	}
	return addrs
}

// Reload applies changed settings; only the seeds can change.
func (c *Controller) Reload(settings *local.Settings) {
	c.enqueue(commandOther, func() {
		c.settings.Seeds = settings.Seeds
		c.replica.SetSeeds(c.seedAddrs())
		c.publish(true)
	})
}

// tick does the periodic work.
func (c *Controller) tick() {
	if !c.diskFailedAt.IsZero() {
		c.tryReopen()
		return
	}
	c.expireSessions()
	c.expireTables()
	c.sendTableIfDue()
	c.applyOutput(c.replica.Tick(c.sinceStart()))
	if c.diskFailedAt.IsZero() {
		c.store.MarkSynced() // a disk failure is detected by the next write
	}
	c.leaseRenewals.SetEpoch(c.sinceStart(), c.replica.View().Epoch)
	if c.replica.HasQuorum(c.sinceStart()) {
		c.lastCurrentAt = c.sinceStart()
	}
	c.publish(false)
}

// applyOutput writes the records of a step, then sends its messages and publishes its results. If
// the records cannot be made durable, nothing is sent or published, and the replica stays silent
// until the disk works again and a new replica starts from the stored state.
func (c *Controller) applyOutput(out chain.Output) {
	if !c.diskFailedAt.IsZero() {
		return
	}
	if err := c.store.Write(out.Records); err != nil {
		c.log.Error().Err(err).Str("step", "write").Msg("write to disk failed; replica stays silent until the store is reopened")
		c.diskFailedAt = time.Now()
		c.publish(true)
		return
	}
	c.logProposals(&out)
	for i := range out.Messages {
		envelope := &out.Messages[i]
		c.pool.Post(envelope.To.Addr, distribute.KindCore, &envelope.Message)
	}
	if out.StateChanged || out.ViewChanged {
		c.propagation.recordCommit(c.sinceStart(), c.replica.State().Seq)
		c.publish(true)
	}
	for _, nonce := range out.ConfirmedReads {
		if waiter := c.confirmationWaiters[nonce]; waiter != nil {
			close(waiter)
			delete(c.confirmationWaiters, nonce)
		}
	}
	if out.ViewChanged {
		view := c.replica.View()
		c.log.Info().Str("step", "view").Uint64("epoch", view.Epoch).Interface("chain", view.Chain).
			Int("acceptors", len(view.Acceptors)).Msg("view installed")
		// No replica is current under a view before others have confirmed that they have it.
		c.applyOutput(c.replica.SendHeartbeat(c.sinceStart()))
	}
}

// updateVersionHistories records the earliest time at which the wanted version of each model can
// have come into force: the last time that this controller had the newest state, which still named
// another version.
func updateVersionHistories(
	old *publishedState, state *replicated.State, lastCurrentAt time.Duration,
) map[string]superseded.History {
	histories := map[string]superseded.History{}
	for model, wanted := range state.Models {
		if old == nil {
			histories[model] = superseded.History{}.With(wanted.Version, superseded.DistantPast)
			continue
		}
		histories[model] = old.versionHistories[model].With(wanted.Version, lastCurrentAt)
	}
	return histories
}

// publish replaces the published state if the quorum contact or the members changed, or if force is
// set. Callers set force when the state, view or seeds may have changed. While the disk fails, state
// and view stay as published before, because the replica may be ahead of its disk.
func (c *Controller) publish(force bool) {
	old := c.published.Load()
	current := c.diskFailedAt.IsZero() && c.replica.HasQuorum(c.sinceStart())
	members := c.membersToPublish(old)
	if old != nil && !force && old.current == current &&
		old.members.Digest == members.Digest {
		return
	}
	next := &publishedState{
		state:       c.replica.State(),
		view:        c.replica.View(),
		self:        c.replica.Self().ID,
		incarnation: c.incarnation,
		current:     current,
		members:     members,
		seedAddrs:   c.seedAddrs(),
		changed:     make(chan struct{}),
	}
	if old != nil {
		next.deltas = old.deltas
		if old.members.Digest != members.Digest {
			next.deltas = c.memberDeltasTo(old.members, members)
		}
	}
	if !c.diskFailedAt.IsZero() && old != nil {
		next.state, next.view, next.self, next.incarnation = old.state, old.view, old.self, old.incarnation
	}
	for _, m := range next.view.Members() {
		next.controllerAddrs = append(next.controllerAddrs, m.Addr)
	}
	next.versionHistories = updateVersionHistories(old, next.state, c.lastCurrentAt)
	if old != nil && old.state.ConfigSeq == next.state.ConfigSeq {
		next.configDigest = old.configDigest
	} else {
		next.configDigest = config.TextDigest(next.state.Config)
		c.logConfiguration(next)
		c.checkConfiguration(next.state)
	}
	c.published.Store(next)
	if old != nil {
		close(old.changed)
	}
}

// instance returns the replica instance that the published state belongs to.
func (p *publishedState) instance() replicaInstance {
	return replicaInstance{p.view.Epoch, p.incarnation}
}

// handleRPC serves the calls of other machines.
func (c *Controller) handleRPC(ctx context.Context, kind string, body []byte) (any, error) {
	switch kind {
	case distribute.KindCore:
		m := new(chain.Message)
		if err := cbor.Unmarshal(body, m); err != nil {
			return nil, err
		}
		c.enqueue(commandChain, func() { c.receiveChainMessage(m) })
		return nil, nil
	case distribute.KindAgents:
		table := new(distribute.AgentTable)
		if err := cbor.Unmarshal(body, table); err != nil {
			return nil, err
		}
		c.enqueue(commandTable, func() { c.receiveTable(table) })
		return nil, nil
	case distribute.KindTally:
		if c.tallies == nil {
			return nil, merry.New("no tallies are kept here")
		}
		m := new(tally.Message)
		if err := cbor.Unmarshal(body, m); err != nil {
			return nil, err
		}
		c.tallies.receive(m)
		return nil, nil
	case distribute.KindWatch:
		request := new(distribute.WatchRequest)
		if err := cbor.Unmarshal(body, request); err != nil {
			return nil, err
		}
		return c.watch(ctx, request)
	case distribute.KindSubmit:
		request := new(distribute.SubmitRequest)
		if err := cbor.Unmarshal(body, request); err != nil {
			return nil, err
		}
		return c.submit(ctx, request), nil
	case distribute.KindRead:
		request := new(distribute.ReadRequest)
		if err := cbor.Unmarshal(body, request); err != nil {
			return nil, err
		}
		return c.readAsTail(ctx, request)
	}
	return nil, merry.New("no such call: " + kind)
}

// receiveChainMessage passes a message of another replica to this one, unless the disk fails.
func (c *Controller) receiveChainMessage(m *chain.Message) {
	if c.diskFailedAt.IsZero() {
		c.applyOutput(c.replica.Receive(c.sinceStart(), m))
	}
}

// unknownOutcome returns a reply that says that the operation may or may not have been committed.
func unknownOutcome(reasons ...string) *distribute.SubmitReply {
	return &distribute.SubmitReply{Outcome: distribute.OutcomeUnknown, Reason: strings.Join(reasons, ": ")}
}
