// Package proxy implements the data plane of a front machine. It accepts client requests, picks a
// backend for each through the dispatch table, forwards the request and streams the response back.
// The configuration, the backend list, the evacuated zones and the wanted model versions come from the
// agent on the same machine. Each such proxy is a mixer, identified by the address of its agent.
package proxy

import (
	"context"
	stdlog "log"
	"maps"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
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
	"nettlefold/internal/listen"
	"nettlefold/internal/memlimit"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/superseded"
	"nettlefold/internal/upstream"
)

const (
	// feedCallTimeout bounds one call to the local agent.
	feedCallTimeout = 700 * time.Millisecond
	// feedInterval is the pause between two feed calls, so that updates arrive in batches.
	feedInterval = 40 * time.Millisecond
	// loadReportInterval is the interval at which changed loads are reported to the agent.
	loadReportInterval = 50 * time.Millisecond
	// acceptAfterSIGTERM is how long new connections are still accepted after SIGTERM. The platform
	// checks readiness every second and routes connections here until two checks have failed.
	acceptAfterSIGTERM = 2500 * time.Millisecond

	readHeaderTimeout = 20 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxReadinessHeaderBytes bounds the head of a readiness check.
	maxReadinessHeaderBytes = 8 << 10
	commandQueueLength      = 256
	defaultMaxBodyBytes     = 4 << 20
)

// Proxy is the data plane of one front machine.
type Proxy struct {
	settings     *local.Settings
	log          zerolog.Logger
	start        time.Time
	agent        *rpc.Client
	config       atomic.Pointer[config.Table]
	serving      atomic.Pointer[config.Table] // the newest configuration by which a request was routed
	shutdownPlan atomic.Pointer[shutdownPlan] // nil until shutdown begins
	mixerCount   atomic.Int64                 // mixers that share the backends' connection limits
	commands     chan func()                  // run by commandLoop
	done         chan struct{}
	// afterFunc is time.AfterFunc outside of tests; it runs the first-byte timers.
	afterFunc func(wait time.Duration, end func()) *time.Timer

	// The following fields belong to the goroutine of commandLoop.

	dispatchTable *dispatch.Table
	// applied is the next feed request: it holds the revisions that have been applied.
	applied feed.Request
	// loggedVersions maps a model to its last logged version.
	loggedVersions map[string]int64

	counters        counters
	endReasons      endReasonCounts
	failures        failureCounts
	violationLog    zerolog.Logger
	trafficSplitter *trafficSplitter
	attempts        *attemptRegistry
	openRequests    *requestTracker
	timerLateness   timerLateness

	relays  *relayScheduler
	memory  *memlimit.Budget // for data of backends and clients
	poolsMu sync.Mutex
	pools   map[string]*upstream.Pool // by backend ID
}

// New returns a proxy that has no configuration yet. Run starts it.
func New(settings *local.Settings, log zerolog.Logger) *Proxy {
	p := &Proxy{
		settings:        settings,
		log:             log,
		start:           time.Now(),
		agent:           rpc.NewClient(settings.LoopbackAddr()),
		commands:        make(chan func(), commandQueueLength),
		done:            make(chan struct{}),
		relays:          newRelayScheduler(runtime.GOMAXPROCS(0)),
		memory:          memlimit.ForPeers(settings.MemoryMB),
		pools:           map[string]*upstream.Pool{},
		attempts:        newAttemptRegistry(),
		loggedVersions:  map[string]int64{},
		trafficSplitter: newTrafficSplitter(),
		endReasons:      newEndReasonCounts(),
		failures:        newFailureCounts(),
		violationLog:    newViolationLog(log),

		afterFunc:    time.AfterFunc,
		openRequests: newRequestTracker(),
	}
	// The table's clock is that of now, which starts at 0.
	p.dispatchTable = dispatch.New(0, dispatch.Settings{
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
		// The times wait (expected in the queue), read (expected prefill) and took (until the first byte)
		// are in ms. Of dispatch.CacheTrace, subject is LastSharedPart, kept CachedTokens, held LocalTokens,
		// fit FetchableTokens and unfit UnfetchableTokens.
		p.dispatchTable.OnFirstByte(func(c *dispatch.Choice, ms float64) {
			log.Debug().Str("step", "began").Str("peer", c.Addr).Float64("wait", c.WaitMS).Float64("read", c.PrefillMS).Float64("took", ms).
				Str("subject", c.LastSharedPart).Str("salt", c.Salt).Int("shared", c.SharedTokens).Int("kept", c.CachedTokens).Int("held", c.LocalTokens).
				Int("fit", c.FetchableTokens).Int("unfit", c.UnfetchableTokens).Str("fetch", c.FetchAddr).Msg("answer")
		})
	}
	return p
}

// now returns the time since the proxy was created, on the monotonic clock.
func (p *Proxy) now() time.Duration { return time.Since(p.start) }

// execute runs a command on the goroutine of commandLoop and waits for it. It does nothing once the
// proxy is done.
func (p *Proxy) execute(command func()) {
	finished := make(chan struct{})
	select {
	case p.commands <- func() { command(); close(finished) }:
		<-finished
	case <-p.done:
	}
}

// commandLoop runs the commands of execute one after another. Its goroutine owns the dispatch table.
func (p *Proxy) commandLoop() {
	for {
		select {
		case command := <-p.commands:
			command()
		case <-p.done:
			return
		}
	}
}

// Run serves clients as soon as its addresses are free and until ctx is cancelled, then finishes the accepted requests and returns.
func (p *Proxy) Run(ctx context.Context) error {
	readyListener, err := listen.Await(ctx, listen.TCP(p.settings.ReadyAddr), listen.LogTo(p.log, p.settings.ReadyAddr))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "proxy: listen on readiness address")
	}
	defer readyListener.Close()
	frontListener, err := listen.Await(ctx, listen.TCP(p.settings.FrontAddr), listen.LogTo(p.log, p.settings.FrontAddr))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "proxy: listen on front address")
	}
	go p.commandLoop()
	go p.pollFeed(ctx)
	go p.reportLoads(ctx)
	go p.monitorAttempts(context.WithoutCancel(ctx))
	readiness := echo.New()
	readiness.HideBanner, readiness.HidePort = true, true
	readiness.Logger.SetOutput(stdlog.Writer())
	readiness.GET("/v1/readiness", p.handleReadiness)
	readyServer := &http.Server{Handler: readiness, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxReadinessHeaderBytes}
	go readyServer.Serve(readyListener)
	server := p.newServer()
	go server.Serve(clientListener{frontListener})
	<-ctx.Done()
	p.shutDown(server)
	readyServer.Close()
	close(p.done)
	return nil
}

// newServer returns the HTTP server for client connections.
func (p *Proxy) newServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(p.serve),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withClientConn,
	}
}

// shutDown stops the server gracefully: it reports not ready at once, refuses requests that might
// outlast the grace period, and closes each connection after its running response. Responses are
// aborted only when the grace period is over.
func (p *Proxy) shutDown(server *http.Server) {
	p.log.Info().Str("step", "stop").Msg("shutting down: finishing accepted requests")
	plan := newShutdownPlan(time.Now(), p.settings.Bounds.Grace)
	p.shutdownPlan.Store(plan)
	time.Sleep(min(acceptAfterSIGTERM, time.Until(plan.deadline)))
	p.closeConnections(server, plan)
}

// closeConnections closes client connections, each after its running response. A request read from
// a connection that is being closed as idle could not be answered, so none is forwarded from here on.
func (p *Proxy) closeConnections(server *http.Server, plan *shutdownPlan) {
	p.shutdownPlan.Store(plan.withConnectionsClosing())
	ctx, cancel := context.WithDeadline(context.Background(), plan.deadline)
	defer cancel()
	server.SetKeepAlivesEnabled(false)
	if server.Shutdown(ctx) != nil {
		p.recordGracePeriodOver(plan)
	}
}

// handleReadiness reports ready while a configuration is in force and no shutdown has begun.
func (p *Proxy) handleReadiness(ctx echo.Context) error {
	if p.shutdownPlan.Load() != nil || p.config.Load() == nil {
		return ctx.NoContent(http.StatusServiceUnavailable)
	}
	return ctx.NoContent(http.StatusOK)
}

// pollFeed keeps requesting updates from the agent until ctx is cancelled.
func (p *Proxy) pollFeed(ctx context.Context) {
	for ctx.Err() == nil {
		var request feed.Request
		p.execute(func() { request = p.applied })
		call, cancel := context.WithTimeout(ctx, feedCallTimeout)
		reply := new(feed.Reply)
		requestedAt := p.now()
		err := p.agent.Call(call, feed.KindFeed, &request, reply)
		cancel()
		if err == nil {
			table := p.compileConfig(reply, request.ConfigSeq)
			p.execute(func() { p.applyReplyWithConfig(requestedAt, reply, table) })
		}
		select {
		case <-time.After(feedInterval):
		case <-ctx.Done():
		}
	}
}

// compileConfig compiles the configuration of a reply. It returns nil if the reply has none, the
// one in force, or one that cannot be decoded. It must not run in commandLoop, which all requests
// wait for.
func (p *Proxy) compileConfig(reply *feed.Reply, appliedSeq uint64) *config.Table {
	s := reply.Snapshot
	if s == nil || len(s.Config) == 0 || s.ConfigSeq == appliedSeq {
		return nil
	}
	doc, err := config.Decode(s.Config)
	if err != nil {
		p.log.Error().Err(err).Str("step", "apply").Uint64("seq", s.Seq).Msg("cannot decode the committed configuration")
		return nil
	}
	return config.Compile(doc)
}

// applyReply compiles and applies the reply to a feed call made at requestedAt. Call it from
// commandLoop.
func (p *Proxy) applyReply(requestedAt time.Duration, reply *feed.Reply) {
	p.applyReplyWithConfig(requestedAt, reply, p.compileConfig(reply, p.applied.ConfigSeq))
}

// applyReplyWithConfig applies a reply whose configuration compileConfig has compiled to table, nil
// if there is none to apply. Call it from commandLoop.
func (p *Proxy) applyReplyWithConfig(requestedAt time.Duration, reply *feed.Reply, table *config.Table) {
	now := p.now()
	if reply.AgentID != p.applied.AgentID {
		p.applied.AgentID, p.applied.ListRevision, p.applied.MembersDigest, p.applied.LoadsRevision = reply.AgentID, 0, 0, 0
	}
	if s := reply.Snapshot; s != nil && s.Seq > p.applied.SnapshotSeq {
		p.applySnapshot(now, s, table, versionHistories(requestedAt, reply))
	}
	if reply.Members != nil {
		p.applyMembers(reply.Members)
	}
	if reply.List != nil {
		p.applyList(now, reply.List)
	}
	p.applied.ApplyIndex(p.dispatchTable.Index(), reply)
	// A new revision with nil loads means that there are none: the encoding omits an empty map.
	if reply.Loads != nil || reply.LoadsRevision != p.applied.LoadsRevision {
		p.dispatchTable.SetOtherLoads(reply.Loads)
	}
	p.applied.LoadsRevision = reply.LoadsRevision
}

// applyList applies a full backend list, or a delta if its base is the list in force.
func (p *Proxy) applyList(now time.Duration, list *feed.ProxyListUpdate) {
	removed := list.Removed
	switch list.BaseRevision {
	case 0:
		removed = p.dispatchTable.SetBackends(now, list.Backends, list.Phases)
	case p.applied.ListRevision:
		p.dispatchTable.UpdateBackends(now, list.Backends, list.Phases, removed)
	default: // delta to another list: request the full list
		p.applied.ListRevision = 0
		return
	}
	p.applied.ListRevision = list.Revision
	for _, id := range removed {
		p.applied.RemoveBackend(p.dispatchTable.Index(), id)
		p.closePool(id)
		p.attempts.backendRemoved(id)
	}
}

// reportLoads reports the load that this proxy puts on backends to the agent whenever it changes.
func (p *Proxy) reportLoads(ctx context.Context) {
	var reported map[string]dispatch.Load
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var loads map[string]dispatch.Load
		p.execute(func() { loads = p.dispatchTable.OwnLoads() })
		if maps.Equal(loads, reported) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, feedCallTimeout)
		if p.agent.Send(call, feed.KindLoads, loads) == nil {
			reported = loads
		}
		cancel()
	}
}

// versionHistories converts the version ages of a reply to times on the clock of the proxy. The
// earliest time at which the reply can have been written is requestedAt plus LongPollMS. Assuming that
// time may overestimate the age of a version but never underestimates it.
func versionHistories(requestedAt time.Duration, reply *feed.Reply) map[string]superseded.History {
	written := requestedAt + time.Duration(reply.LongPollMS)*time.Millisecond
	versions := map[string]superseded.History{}
	for model, ages := range reply.VersionAges {
		versions[model] = superseded.FromAges(written, ages)
	}
	return versions
}

// applySnapshot applies a snapshot as a whole, or not at all if its new configuration could not be
// decoded; the snapshot is then requested again.
func (p *Proxy) applySnapshot(now time.Duration, s *distribute.Snapshot, table *config.Table, versions map[string]superseded.History) {
	if len(s.Config) > 0 && s.ConfigSeq != p.applied.ConfigSeq {
		if table == nil {
			return
		}
		p.config.Store(table)
		p.dispatchTable.SetConfig(table)
		p.log.Info().Str("step", "configuration").Int64("version", table.Version).Uint64("seq", s.ConfigSeq).Str("digest", table.Digest).
			Int("routes", table.RouteCount).Msg("configuration applied")
		p.applied.ConfigSeq = s.ConfigSeq
	}
	p.applySharing(s)
	p.logModelVersions(now, s, versions)
	p.dispatchTable.SetState(now, s.Evacuated, s.Models, versions)
	p.armFirstByteTimers(now)
	p.applied.SnapshotSeq = s.Seq
}

// applySharing applies when the sharing of cached prompts started, and logs a change of it.
func (p *Proxy) applySharing(s *distribute.Snapshot) {
	if p.dispatchTable.SetSharingSince(s.SharingSince) {
		p.log.Info().Str("step", "sharing").Interface("since", s.SharingSince).Uint64("seq", s.Seq).Msg("cached prompts from before this configuration are not shared any more")
	}
}

// logModelVersions logs the requested model versions that changed, with the known ages of versions.
func (p *Proxy) logModelVersions(now time.Duration, s *distribute.Snapshot, versions map[string]superseded.History) {
	for model, wanted := range s.Models {
		if p.loggedVersions[model] == wanted.Version {
			continue
		}
		p.loggedVersions[model] = wanted.Version
		p.log.Info().Str("step", "weights").Str("model", model).Int64("version", wanted.Version).Uint64("seq", s.Seq).Interface("ages", versions[model].Ages(now)).Msg("requested model version changed")
	}
}

// applyMembers applies the set of mixers, each of which is listed by the address of its agent.
func (p *Proxy) applyMembers(set *distribute.MemberSet) {
	p.applied.MembersDigest = set.Digest
	members := dispatch.Members{}
	own := p.settings.InternalAddr(p.settings.IP)
	for _, a := range set.Agents {
		members.All = append(members.All, a.Addr)
		if a.Addr == own {
			members.Self = a.Addr
		}
	}
	p.mixerCount.Store(int64(len(members.All)))
	p.dispatchTable.SetMembers(members)
}

// pool returns the connection pool of a backend and sets its limit.
func (p *Proxy) pool(id, addr string, limit int) *upstream.Pool {
	p.poolsMu.Lock()
	defer p.poolsMu.Unlock()
	pool := p.pools[id]
	if pool == nil {
		pool = upstream.NewPool(addr, limit, p.memory)
		p.pools[id] = pool
	}
	pool.SetLimit(limit)
	return pool
}

// closeUnusableConnections closes the idle connections to backends that can't be used any more.
func (p *Proxy) closeUnusableConnections() {
	p.poolsMu.Lock()
	pools := slices.Collect(maps.Values(p.pools))
	p.poolsMu.Unlock()
	for _, pool := range pools {
		pool.CloseUnusable()
	}
}

// closePool closes and removes the connection pool of a backend.
func (p *Proxy) closePool(id string) {
	p.poolsMu.Lock()
	pool := p.pools[id]
	delete(p.pools, id)
	p.poolsMu.Unlock()
	if pool != nil {
		pool.Close()
	}
}
