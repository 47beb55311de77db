package fleetdemo

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a soak.
const (
	soakVersionLimit = 4 * time.Second
	soakApplyLimit   = 2 * time.Second
	soakGrace        = 3 * time.Second
	soakContact      = 3 * time.Second

	soakEvacuationLimit = 3 * time.Second
	soakDrainLimit      = 3 * time.Second
	soakMergeLimit      = 3 * time.Second

	soakMemoryMB   = 280 // of each process
	engineSlots    = 8
	slowedBy       = 8
	clientsOfFront = 8
	settleFor      = 2 * time.Second // of traffic after the last event

	// soakBrokenOff is the share of answers that engines break off.
	soakBrokenOff = 0.02
)

// SoakOptions say what a soak plays.
type SoakOptions struct {
	Seed                        uint64
	Length                      time.Duration
	Controllers, Fronts, Engine int
	LongestCut                  time.Duration // over LeastCut
	Keep                        bool          // the logs, where something was found
}

// soak is one that runs.
type soak struct {
	world  *world
	seed   uint64
	start  time.Time
	plan   []act
	busy   map[string]*sync.Mutex // machines, each in one trouble at a time
	orders sync.Mutex             // the operator sends one after the other
	lag    lagMeter

	mu     sync.Mutex
	record record
	config int // the newest that was acknowledged
}

// Soak plays a fleet of processes through a plan drawn from a seed, and fails if its judge finds a rule broken. The program is one of Build:
// the cuts of the plan do nothing to another.
func Soak(program string, o SoakOptions, out io.Writer) error {
	of := size{controllers: o.Controllers, fronts: o.Fronts, engines: o.Engine}
	w, err := newWorld(program, of, []string{
		fmt.Sprint("bounds.version_ms=", soakVersionLimit.Milliseconds()), fmt.Sprint("bounds.grace_s=", soakGrace.Seconds()), "bounds.lease_ms=1000",
		fmt.Sprint("bounds.evacuation_ms=", soakEvacuationLimit.Milliseconds()), fmt.Sprint("bounds.drain_ms=", soakDrainLimit.Milliseconds()),
		fmt.Sprint("bounds.contact_ms=", soakContact.Milliseconds()), fmt.Sprint("bounds.config_apply_ms=", soakApplyLimit.Milliseconds()),
		fmt.Sprint("bounds.merge_ms=", soakMergeLimit.Milliseconds()), tallyContract, fmt.Sprint("limits.memory_mb=", soakMemoryMB),
	})
	if err != nil {
		return err
	}
	keep := false
	defer func() { w.closeKeeping(keep) }()
	s := &soak{world: w, seed: o.Seed, plan: makePlan(o.Seed, o.Length, of, o.LongestCut), busy: map[string]*sync.Mutex{}}
	w.memoryLimit = soakMemoryMB << 20
	if w.net, err = newCutNetwork(relayAddr()); err != nil {
		return err
	}
	w.closing = append(w.closing, w.net.close)
	s.record.Drains, s.record.Controllers = map[string]time.Time{}, of.controllers
	w.engines.log = newRunLog()
	w.engines.streams = func(request string, run int) (streamForm, streamEnding) {
		return s.form(request), drawEnding(o.Seed, request, run, eventsOfRun, soakBrokenOff)
	}
	for _, e := range w.list {
		e.slots = make(chan struct{}, engineSlots)
	}
	fmt.Fprintf(out, "seed %d: %d events in %v on %d controllers, %d fronts, %d engines\n", o.Seed, len(s.plan), o.Length, of.controllers, of.fronts, of.engines)
	if err := s.begin(); err != nil {
		return err
	}
	s.run(o.Length)
	findings := judge(s.seen())
	s.report(out, findings)
	if len(findings) == 0 {
		return nil
	}
	keep = o.Keep
	s.traceFirst(out, findings)
	if keep {
		fmt.Fprintln(out, "logs:", w.dir)
	}
	return fmt.Errorf("seed %d: %d findings, the first %s", o.Seed, len(findings), findings[0].Rule)
}

// form returns the form of a request's events.
func (s *soak) form(request string) streamForm { return drawForm(s.seed, request, eventsOfRun) }

// closeKeeping ends everything, and leaves the logs if told so.
func (w *world) closeKeeping(keep bool) {
	dir := w.dir
	if keep {
		w.dir = filepath.Join(dir, "none")
	}
	w.close()
}

// soakConfiguration is a configuration with two routes that all have, one of them repeatable, and one of its own.
func soakConfiguration(number int) string {
	route := func(path string, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"demo.example","path_prefix":%q,"kind":"streaming","timeout_ms":%d,"target_latency_ms":1000,"max_attempts":2,"service":"llm","sticky":true,"resumable":%v}`,
			path, path, int(soakDeadline(number).Milliseconds()), resumable)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],
 "services":[{"name":"llm","connection_limit":200,"cold_start_s":1,"cold_per_s":20,"engine":{"slots":%d,"kv_capacity_tokens":500000,
 "kv_token_bytes":35136,"link_mbps":740000,"max_concurrency":12,"models":[{"name":%q}]}}],
 "tenants":[{"name":"t1","api_keys":["key-1"],"priority":1},{"name":"t2","api_keys":["key-2"],"priority":1,"isolated":%v}]}`,
		number, route("/once/", false), route("/again/", true), route(extraPath(number), true), engineSlots, model, soakIsolates(int64(number)))
}

// soakTenants is how many tenants ask. Each has a key of its own.
const soakTenants = 2

// isolatedTenant is the tenant that some configurations of a soak isolate.
const isolatedTenant = "t2"

// soakIsolates tells whether a configuration isolates isolatedTenant: two in a row do, and two don't.
func soakIsolates(number int64) bool { return number/2%2 == 1 }

func extraPath(number int) string { return fmt.Sprintf("/extra-%d/", number) }

// soakDeadline is the time of a configuration's routes: it changes with each.
func soakDeadline(number int) time.Duration { return time.Duration(6+number%3) * time.Second }

// shortestDeadline is what clients give: no configuration's time is shorter.
const shortestDeadline = 6 * time.Second

// begin starts the fleet and waits until it serves.
func (s *soak) begin() error {
	w := s.world
	if err := w.startAll(); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range w.size.fronts {
		if err := await("front ready", func() bool { return ready(i) }); err != nil {
			return err
		}
	}
	return nil
}

// run plays the plan under the clients' load.
func (s *soak) run(length time.Duration) {
	s.start = time.Now()
	done := make(chan struct{})
	var clients, acts sync.WaitGroup
	clients.Go(func() { s.lag.run(done) })
	for c := range tallyCallers {
		clients.Go(func() { newTallyCaller(s, c).run(done) })
	}
	for front := range s.world.size.fronts {
		for c := range clientsOfFront {
			clients.Go(func() { newSoakClient(s, front, c).run(done) })
		}
	}
	for _, a := range s.plan {
		time.Sleep(time.Until(s.start.Add(a.At)))
		acts.Go(func() { s.perform(a) })
	}
	acts.Wait()
	time.Sleep(max(time.Until(s.start.Add(length)), settleFor))
	close(done)
	clients.Wait()
	s.endTallies()
}

// seen is the whole record.
func (s *soak) seen() *record {
	log := s.world.engines.log
	log.mu.Lock()
	defer log.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Runs, s.record.Arrivals, s.record.Crashes, s.record.Uses = log.runs, log.arrivals, log.crashes, log.uses
	s.record.Endings, s.record.Processes, s.record.Over = log.endings, s.world.lives(), time.Now()
	s.record.Limits = limits{
		Version: soakVersionLimit, Apply: soakApplyLimit, Grace: soakGrace, Evacuation: soakEvacuationLimit, Drain: soakDrainLimit,
		Contact: soakContact, Merge: soakMergeLimit, Start: startLimit, Memory: soakMemoryMB << 20,
		Slack: s.lag.slack(),
	}
	return &s.record
}

// perform does one event of the plan. A machine that is in trouble already is left alone.
func (s *soak) perform(a act) {
	switch a.Kind {
	case actConfigure:
		s.configure()
		return
	case actName:
		s.nameWeights()
		return
	}
	s.mu.Lock()
	key := fmt.Sprint(strings.Fields(a.Kind)[1], a.Target)
	if s.busy[key] == nil {
		s.busy[key] = new(sync.Mutex)
	}
	busy := s.busy[key]
	s.mu.Unlock()
	if !busy.TryLock() {
		return
	}
	defer busy.Unlock()
	switch a.Kind {
	case actTermFront, actKillFront:
		s.restartFront(a)
	case actFreeze:
		s.freeze(a)
	case actHangUp:
		s.signalFront(a.Target, syscall.SIGHUP)
	case actTermCore, actKillCore:
		s.restartController(a)
	case actOutage:
		s.loseDiskInOutage(a)
	case actDrain:
		s.drain(a)
	case actEvacuate:
		s.evacuate(a)
	case actCutFront, actCutLink, actCutCore, actCutBridge, actCutZone:
		s.cut(a)
	default:
		s.troubleEngine(a)
	}
}

// configure sends the next configuration.
func (s *soak) configure() error {
	s.orders.Lock()
	defer s.orders.Unlock()
	s.mu.Lock()
	number := s.config + 1
	s.record.Configs = append(s.record.Configs, ordered{Number: int64(number), Sent: time.Now()})
	s.mu.Unlock()
	err := s.world.order(http.MethodPut, "/v1/configuration", fmt.Sprint(number-1), soakConfiguration(number))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.config = number
		s.record.Configs[len(s.record.Configs)-1].Acked = time.Now()
	}
	return err
}

// nameWeights names the next version of the model.
func (s *soak) nameWeights() {
	s.orders.Lock()
	defer s.orders.Unlock()
	s.mu.Lock()
	number := int64(len(s.record.Weights) + 2) // engines begin with version 1
	s.record.Weights = append(s.record.Weights, ordered{Number: number, Sent: time.Now()})
	s.mu.Unlock()
	if s.world.order(http.MethodPost, "/v1/version-put", "", fmt.Sprintf(`{"model":%q,"version":%d}`, model, number)) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Weights[len(s.record.Weights)-1].Acked = time.Now()
}
