// Package proxy is the data plane's program on each front machine: it takes clients' requests, has the dispatch table decide where
// each goes, forwards it and streams the answer back. What is in force it hears from the agent beside it.
package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"nettlefold/internal/config"
	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/superseded"
	"nettlefold/internal/upstream"
)

const (
	feedLimit = 700 * time.Millisecond
	feedEvery = 40 * time.Millisecond // between two calls, so that news comes in batches
	// loadsEvery is how often the agent is told of loads that changed.
	loadsEvery = 50 * time.Millisecond
	// acceptAfterTerm is how long new connections are still taken after SIGTERM: the platform looks at readiness every second and
	// hands connections out until it has missed it twice.
	acceptAfterTerm  = 2500 * time.Millisecond
	headerTimeout    = 20 * time.Second
	idleTimeout      = 75 * time.Second
	maxHeaderBytes   = 64 << 10
	commandQueue     = 256
	reservedFiles    = 300
	defaultBodyBytes = 4 << 20
)

// Proxy is one front machine's data plane.
type Proxy struct {
	settings *local.Settings
	log      zerolog.Logger
	start    time.Time
	agent    *rpc.Client
	config   atomic.Pointer[config.Table]
	stopping atomic.Pointer[stopping] // nil until it is told to end
	fellows  atomic.Int64             // mixers that share the backends' connections
	commands chan func()
	done     chan struct{}
	// afterFunc is time.AfterFunc: by it attempts that may not begin later are ended.
	afterFunc func(wait time.Duration, end func()) *time.Timer

	// What follows is the owner's.
	table *dispatch.Table
	have  feed.Request
	// weights has the versions of models that were last told in the log.
	weights map[string]int64

	counters counters
	endings  endingCounts
	splits   *splits
	attempts *attempts
	running  *openRequests
	timers   timerLateness

	poolsMu sync.Mutex
	pools   map[string]*upstream.Pool // by the backend's identity
}

// New makes a proxy.
func New(settings *local.Settings, log zerolog.Logger) *Proxy {
	p := &Proxy{
		settings: settings,
		log:      log,
		start:    time.Now(),
		agent:    rpc.NewClient(settings.LoopbackAddr()),
		commands: make(chan func(), commandQueue),
		done:     make(chan struct{}),
		pools:    map[string]*upstream.Pool{},
		attempts: newAttempts(),
		weights:  map[string]int64{},
		splits:   newSplits(),
		endings:  newEndingCounts(),

		afterFunc: time.AfterFunc,
		running:   newOpenRequests(),
	}
	p.table = dispatch.New(0, dispatch.Settings{
		Zone:              settings.Zone,
		VersionLimit:      settings.Bounds.Version,
		ColdOvershoot:     settings.Bounds.ColdOvershoot,
		ColdSlack:         settings.Bounds.ColdSlack,
		RetryBudgetRatio:  settings.Bounds.RetryBudgetRatio,
		RetryBudgetSlack:  settings.Bounds.RetryBudgetSlack,
		RetryBudgetWindow: max(settings.Bounds.BudgetWindow, time.Second),
		DiscoveryLag:      settings.CloudLag,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if log.GetLevel() <= zerolog.DebugLevel {
		p.table.OnFirstByte(func(c *dispatch.Choice, ms float64) {
			log.Debug().Str("step", "began").Str("peer", c.Addr).Float64("wait", c.WaitMS).Float64("read", c.PrefillMS).Float64("took", ms).
				Str("subject", c.LastSharedPart).Str("salt", c.Salt).Int("shared", c.SharedTokens).Int("kept", c.CachedTokens).Int("held", c.LocalTokens).
				Int("fit", c.FetchableTokens).Int("unfit", c.UnfetchableTokens).Str("fetch", c.FetchAddr).Msg("answer")
		})
	}
	return p
}

func (p *Proxy) now() time.Duration { return time.Since(p.start) }

// do runs a command at the owner of the table and waits for it.
func (p *Proxy) do(command func()) {
	finished := make(chan struct{})
	select {
	case p.commands <- func() { command(); close(finished) }:
		<-finished
	case <-p.done:
	}
}

func (p *Proxy) own() {
	for {
		select {
		case command := <-p.commands:
			command()
		case <-p.done:
			return
		}
	}
}

// Run serves until ctx ends, and then finishes what it has taken.
func (p *Proxy) Run(ctx context.Context) error {
	ready, err := net.Listen("tcp", p.settings.ReadyAddr)
	if err != nil {
		return merry.Prepend(err, "proxy: listen for readiness")
	}
	front, err := net.Listen("tcp", p.settings.FrontAddr)
	if err != nil {
		return merry.Prepend(err, "proxy: listen to clients")
	}
	go p.own()
	go p.follow(ctx)
	go p.tellLoads(ctx)
	go p.watchAttempts(context.WithoutCancel(ctx))
	readiness := echo.New()
	readiness.HideBanner, readiness.HidePort = true, true
	readiness.GET("/v1/readiness", p.readiness)
	readyServer := &http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go readyServer.Serve(ready)
	server := p.newServer()
	go server.Serve(clientListener{front})
	<-ctx.Done()
	p.stop(server)
	readyServer.Close()
	close(p.done)
	return nil
}

// newServer makes the server that clients connect to.
func (p *Proxy) newServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(p.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withClientConn,
	}
}

// stop ends the server: not ready at once, connections closed after the answers that run, nothing begun that may not end in time, and no
// request cut while there is time.
func (p *Proxy) stop(server *http.Server) {
	p.log.Info().Str("step", "stop").Msg("finishing what was taken")
	plan := newStopping(time.Now(), p.settings.Bounds.Grace)
	p.stopping.Store(plan)
	time.Sleep(min(acceptAfterTerm, time.Until(plan.end)))
	p.closeConnections(server, plan)
}

// closeConnections closes clients' connections, each after the answer that runs on it. What was read from one that is closed as idle could not
// be answered, so nothing is begun from then on.
func (p *Proxy) closeConnections(server *http.Server, plan *stopping) {
	p.stopping.Store(plan.close())
	ctx, cancel := context.WithDeadline(context.Background(), plan.end)
	defer cancel()
	server.SetKeepAlivesEnabled(false)
	if server.Shutdown(ctx) != nil {
		p.graceEnded(plan)
	}
}

func (p *Proxy) readiness(ctx echo.Context) error {
	if p.stopping.Load() != nil || p.config.Load() == nil {
		return ctx.NoContent(http.StatusServiceUnavailable)
	}
	return ctx.NoContent(http.StatusOK)
}

// follow keeps asking the agent for news.
func (p *Proxy) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var request feed.Request
		p.do(func() { request = p.have })
		call, cancel := context.WithTimeout(ctx, feedLimit)
		reply := new(feed.Reply)
		asked := p.now()
		err := p.agent.Call(call, feed.KindFeed, &request, reply)
		cancel()
		if err == nil {
			table := p.compile(reply, request.ConfigSeq)
			p.do(func() { p.takeCompiled(asked, reply, table) })
		}
		select {
		case <-time.After(feedEvery):
		case <-ctx.Done():
		}
	}
}

// compile makes the table of a reply's configuration, nil if there is none but that which is in force. It runs beside the owner, for which all
// requests wait.
func (p *Proxy) compile(reply *feed.Reply, inForce uint64) *config.Table {
	s := reply.Snapshot
	if s == nil || len(s.Config) == 0 || s.ConfigSeq == inForce {
		return nil
	}
	doc, err := config.Decode(s.Config)
	if err != nil {
		p.log.Error().Err(err).Str("step", "apply").Uint64("seq", s.Seq).Msg("a committed configuration cannot be read")
		return nil
	}
	return config.Compile(doc)
}

// take puts news in force, the reply to a call that was made at a time.
func (p *Proxy) take(asked time.Duration, reply *feed.Reply) {
	p.takeCompiled(asked, reply, p.compile(reply, p.have.ConfigSeq))
}

// takeCompiled is take with the table of the reply's configuration, nil if it brought none that can be read.
func (p *Proxy) takeCompiled(asked time.Duration, reply *feed.Reply, table *config.Table) {
	now := p.now()
	if reply.AgentID != p.have.AgentID {
		p.have.AgentID, p.have.ListRevision, p.have.MembersDigest, p.have.LoadsRevision = reply.AgentID, 0, 0, 0
	}
	if s := reply.Snapshot; s != nil && s.Seq > p.have.SnapshotSeq {
		p.takeSnapshot(now, s, table, versionsOf(asked, reply))
	}
	if reply.Members != nil {
		p.takeMembers(reply.Members)
	}
	if reply.List != nil {
		p.takeList(now, reply.List)
	}
	p.have.ApplyIndex(p.table.Index(), reply)
	if reply.Loads != nil || reply.LoadsRevision != p.have.LoadsRevision {
		p.table.SetOtherLoads(reply.Loads)
	}
	p.have.LoadsRevision = reply.LoadsRevision
}

// takeList puts the list, or changes to the one in force, in force.
func (p *Proxy) takeList(now time.Duration, list *feed.List) {
	gone := list.Removed
	switch list.BaseRevision {
	case 0:
		gone = p.table.SetBackends(now, list.Backends, list.Phases)
	case p.have.ListRevision:
		p.table.UpdateBackends(now, list.Backends, list.Phases, gone)
	default: // changes to another list: the whole is asked for
		p.have.ListRevision = 0
		return
	}
	p.have.ListRevision = list.Revision
	for _, id := range gone {
		p.have.RemoveBackend(p.table.Index(), id)
		p.dropPool(id)
		p.attempts.left(id)
	}
}

// tellLoads tells the agent what is at backends from here, when it changes.
func (p *Proxy) tellLoads(ctx context.Context) {
	var told map[string]dispatch.Load
	ticker := time.NewTicker(loadsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var loads map[string]dispatch.Load
		p.do(func() { loads = p.table.OwnLoads() })
		if maps.Equal(loads, told) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, feedLimit)
		if p.agent.Send(call, feed.KindLoads, loads) == nil {
			told = loads
		}
		cancel()
	}
}

// versionsOf dates the versions of models that a reply tells of.
func versionsOf(asked time.Duration, reply *feed.Reply) map[string]superseded.History {
	written := asked + time.Duration(reply.LongPollMS)*time.Millisecond
	versions := map[string]superseded.History{}
	for model, ages := range reply.VersionAges {
		versions[model] = superseded.FromAges(written, ages)
	}
	return versions
}

func (p *Proxy) takeSnapshot(now time.Duration, s *distribute.Snapshot, table *config.Table, versions map[string]superseded.History) {
	if len(s.Config) > 0 && s.ConfigSeq != p.have.ConfigSeq {
		if table == nil {
			return
		}
		p.config.Store(table)
		p.table.SetConfig(table)
		p.have.ConfigSeq = s.ConfigSeq
	}
	p.logWeights(now, s, versions)
	p.table.SetState(now, s.Evacuated, s.Restored, s.Models, versions)
	p.limitBegins(now)
	p.have.SnapshotSeq = s.Seq
}

// logWeights tells which versions of models are wanted now, and since when they are known to be.
func (p *Proxy) logWeights(now time.Duration, s *distribute.Snapshot, versions map[string]superseded.History) {
	for model, wanted := range s.Models {
		if p.weights[model] == wanted.Version {
			continue
		}
		p.weights[model] = wanted.Version
		p.log.Info().Str("step", "weights").Str("model", model).Int64("version", wanted.Version).Uint64("seq", s.Seq).Interface("ages", versions[model].Ages(now)).Msg("version wanted")
	}
}

func (p *Proxy) takeMembers(set *distribute.MemberSet) {
	p.have.MembersDigest = set.Digest
	members := dispatch.Members{}
	own := p.settings.InternalAddr(p.settings.IP)
	for _, a := range set.Agents {
		members.All = append(members.All, a.Addr)
		if a.Addr == own {
			members.Self = a.Addr
		}
	}
	p.fellows.Store(int64(len(members.All)))
	p.table.SetMembers(members)
}

// pool gives the connections to a backend.
func (p *Proxy) pool(id, addr string, limit int) *upstream.Pool {
	p.poolsMu.Lock()
	defer p.poolsMu.Unlock()
	pool := p.pools[id]
	if pool == nil {
		pool = upstream.NewPool(addr, limit)
		p.pools[id] = pool
	}
	pool.SetLimit(limit)
	return pool
}

func (p *Proxy) dropPool(id string) {
	p.poolsMu.Lock()
	pool := p.pools[id]
	delete(p.pools, id)
	p.poolsMu.Unlock()
	if pool != nil {
		pool.Close()
	}
}
