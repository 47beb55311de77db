// Package controller is a core machine's program: a replica of the control state, the operator's API before it, and the sessions of
// the mixers' agents behind it. One goroutine owns the replica and the tables of agents and works through a queue of commands.
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
	"nettlefold/internal/distribute"
	"nettlefold/internal/durable"
	"nettlefold/internal/leases"
	"nettlefold/internal/replicated"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/superseded"
	"nettlefold/internal/tally"
)

const (
	tickEvery    = 50 * time.Millisecond
	commandQueue = 1024
	reopenAfter  = 400 * time.Millisecond // of a failed write
	// leaveMargin is kept of the grace, from which the calls that run take their time to end.
	leaveMargin   = 1200 * time.Millisecond
	firstIdentity = "/first" // ends the identity of a seed at the first start, which all machines can tell
)

// Controller is one core machine's program.
type Controller struct {
	settings *local.Settings
	log      zerolog.Logger
	network  rpc.Network
	pool     *rpc.Pool
	commands chan command
	urgent   chan command // messages of other replicas, worked through first
	start    time.Time
	public   atomic.Pointer[public]
	tallies  *tallies // nil: none are kept
	replied  replyCounts
	done     chan struct{}

	// What follows is the owner's.
	store     *durable.Store
	replica   *chain.Replica
	opened    uint64    // replicas made so far: another one follows a failed disk
	broken    time.Time // when a write failed, zero while the disk works
	readers   map[uint64]chan struct{}
	sessions  map[string]*session
	elsewhere map[string]*remoteTable
	told      time.Time // when the table of agents was last sent
	tableDue  bool      // another one is to be sent
	showedAt  time.Time // when other members were last shown
	// rosterChanged tells that sessions or tables changed since members were last made of them.
	rosterChanged bool
	shown         []*distribute.MemberSet // before those shown now, the newest last
	inTouch       time.Duration           // when it last had the newest state for sure
	leaving       time.Time               // when it was told to end, zero before
	duties        leases.RenewalTracker   // who asked for confirmations here
	spread        spread                  // of committed numbers among the agents
	work          ownerWork               // of the last second at most
	worked        ownerWork               // before
}

// service is what a call's answer is bound to: the epoch, and which of this program's replicas was asked. Numbers that a replica gave out
// before its disk failed may mean other operations at the next one, in the same epoch.
type service struct {
	epoch  uint64
	opened uint64
}

// public is what other goroutines may see of the owner's state: replaced whole, and changed is closed when it is.
type public struct {
	state       *replicated.State
	view        chain.View
	self        chain.NodeID
	opened      uint64
	current     bool
	controllers []string
	seeds       []string
	members     *distribute.MemberSet
	deltas      memberDeltas
	named       map[string]superseded.History // since when models' versions are known to be wanted
	changed     chan struct{}
}

// New opens the state on disk and makes a controller of it.
func New(settings *local.Settings, log zerolog.Logger) (*Controller, error) {
	return newOn(rpc.TCP{}, settings, log)
}

// newOn makes a controller that meets the others, and the operator, over a network.
func newOn(network rpc.Network, settings *local.Settings, log zerolog.Logger) (*Controller, error) {
	c := &Controller{
		network:   network,
		settings:  settings,
		log:       log,
		pool:      rpc.NewPoolWithNetwork(network),
		commands:  make(chan command, commandQueue),
		urgent:    make(chan command, commandQueue),
		start:     time.Now(),
		done:      make(chan struct{}),
		readers:   map[uint64]chan struct{}{},
		sessions:  map[string]*session{},
		elsewhere: map[string]*remoteTable{},
		inTouch:   superseded.DistantPast,
		work:      ownerWork{since: time.Now()},
	}
	if settings.HasContract(contractTallies) {
		// Before the control state: where that is on disk without tallies, none were kept there before.
		if err := c.newTallies(); err != nil {
			return nil, err
		}
	}
	if err := c.open(); err != nil {
		return nil, err
	}
	c.publish(true)
	return c, nil
}

func (c *Controller) now() time.Duration { return time.Since(c.start) }

func (c *Controller) self(id chain.NodeID) chain.Member {
	return chain.Member{ID: id, Addr: c.settings.InternalAddr(c.settings.IP), Control: c.settings.ControlAddr, Zone: c.settings.Zone}
}

func (c *Controller) seedAddrs() []string {
	var addrs []string
	for _, seed := range c.settings.Seeds {
		addrs = append(addrs, c.settings.InternalAddr(seed))
	}
	return addrs
}

// Reload takes settings that changed: the seeds.
func (c *Controller) Reload(settings *local.Settings) {
	c.enqueue(commandOther, func() {
		c.settings.Seeds = settings.Seeds
		c.replica.SetSeeds(c.seedAddrs())
		c.publish(true)
	})
}

func (c *Controller) tick() {
	if !c.broken.IsZero() {
		c.tryReopen()
		return
	}
	c.expireSessions()
	c.expireTables()
	c.tellDueTable()
	c.perform(c.replica.Tick(c.now()))
	if c.broken.IsZero() {
		c.store.Mark() // a disk that fails shows at the next write
	}
	c.duties.SetEpoch(c.now(), c.replica.View().Epoch)
	if c.replica.HasQuorum(c.now()) {
		c.inTouch = c.now()
	}
	c.publish(false)
}

// perform does what a step wants, in its order. If it cannot be made durable nothing of it is told, and the replica stays silent until
// the disk works again: then it starts anew from what is there.
func (c *Controller) perform(out chain.Output) {
	if !c.broken.IsZero() {
		return
	}
	if err := c.store.Write(out.Records); err != nil {
		c.log.Error().Err(err).Str("step", "write").Msg("disk failed")
		c.broken = time.Now()
		c.publish(true)
		return
	}
	c.logProposals(&out)
	for i := range out.Messages {
		e := &out.Messages[i]
		c.pool.Post(e.To.Addr, distribute.KindCore, &e.Message)
	}
	if out.StateChanged || out.ViewChanged {
		c.spread.committed(c.now(), c.replica.State().Seq)
		c.publish(true)
	}
	for _, nonce := range out.ConfirmedReads {
		if reader := c.readers[nonce]; reader != nil {
			close(reader)
			delete(c.readers, nonce)
		}
	}
	if out.ViewChanged {
		view := c.replica.View()
		c.log.Info().Str("step", "view").Uint64("epoch", view.Epoch).Interface("chain", view.Chain).Int("acceptors", len(view.Acceptors)).Msg("view in force")
		c.perform(c.replica.SendHeartbeat(c.now())) // nobody is in touch under a view before others have told that they have it
	}
}

// namedVersions notes when versions that are wanted came to be so: not before this program last knew that they were not, which it
// does while it is in touch.
func namedVersions(old *public, state *replicated.State, inTouch time.Duration) map[string]superseded.History {
	named := map[string]superseded.History{}
	for model, wanted := range state.Models {
		if old == nil {
			named[model] = superseded.History{}.With(wanted.Version, superseded.DistantPast)
			continue
		}
		named[model] = old.named[model].With(wanted.Version, inTouch)
	}
	return named
}

// publish shows others what is in force, when it differs or is known to. While the disk fails that is what was before: the replica may
// have gone further than its disk.
func (c *Controller) publish(changed bool) {
	old := c.public.Load()
	current := c.broken.IsZero() && c.replica.HasQuorum(c.now())
	members := c.pacedMembers(old)
	if old != nil && !changed && old.current == current && old.members.Digest == members.Digest {
		return
	}
	next := &public{
		state:   c.replica.State(),
		view:    c.replica.View(),
		self:    c.replica.Self().ID,
		opened:  c.opened,
		current: current,
		members: members,
		seeds:   c.seedAddrs(),
		changed: make(chan struct{}),
	}
	if old != nil {
		next.deltas = old.deltas
		if old.members.Digest != members.Digest {
			next.deltas = c.showMembers(old.members, members)
		}
	}
	if !c.broken.IsZero() && old != nil {
		next.state, next.view, next.self, next.opened = old.state, old.view, old.self, old.opened
	}
	for _, m := range next.view.Members() {
		next.controllers = append(next.controllers, m.Addr)
	}
	next.named = namedVersions(old, next.state, c.inTouch)
	c.public.Store(next)
	if old != nil {
		close(old.changed)
	}
}

// service is what the replica answers for now.
func (p *public) service() service { return service{p.view.Epoch, p.opened} }

// handle serves the other machines' calls.
func (c *Controller) handle(ctx context.Context, kind string, body []byte) (any, error) {
	switch kind {
	case distribute.KindCore:
		m := new(chain.Message)
		if err := cbor.Unmarshal(body, m); err != nil {
			return nil, err
		}
		c.enqueue(commandChain, func() { c.receive(m) })
		return nil, nil
	case distribute.KindAgents:
		table := new(distribute.AgentTable)
		if err := cbor.Unmarshal(body, table); err != nil {
			return nil, err
		}
		c.enqueue(commandTable, func() { c.takeTable(table) })
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
		return c.readHere(ctx, request)
	}
	return nil, merry.New("no such call: " + kind)
}

func (c *Controller) receive(m *chain.Message) {
	if c.broken.IsZero() {
		c.perform(c.replica.Receive(c.now(), m))
	}
}

// unclear tells that an operation may have been taken or not.
func unclear(reasons ...string) *distribute.SubmitReply {
	return &distribute.SubmitReply{Outcome: distribute.OutcomeUnknown, Reason: strings.Join(reasons, ": ")}
}
