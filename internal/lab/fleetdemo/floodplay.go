package fleetdemo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a play of floods.
const (
	floodBackends  = 3
	floodMemoryMB  = 280
	floodDeadline  = 2 * time.Second
	floodEndSlack  = 500 * time.Millisecond // in which an answer is due after its deadline
	othersPerS     = 80
	othersLate     = 500 * time.Millisecond
	othersDeadline = 4 * time.Second
	callersGoneIn  = time.Second
	calmLength     = time.Second     // before the floods
	mostFindings   = 8               // that are written of one flood
	floodGrace     = 4 * time.Second // as demoBounds has it
	endedFront     = 1               // is told to end beside the floods
)

// floodConfiguration has a service of flooding backends, as bodies that may be repeated and as streams that may be resumed, beside one of
// engines.
const floodConfiguration = `{"version":1,"routes":[
 {"name":"again","host":"demo.example","path_prefix":"/again/","kind":"streaming","timeout_ms":6000,"target_latency_ms":1000,"max_attempts":3,"service":"llm","resumable":true},
 {"name":"honest","host":"demo.example","path_prefix":"/honest/","kind":"idempotent","timeout_ms":30000,"target_latency_ms":1000,"max_attempts":1,"service":"honest"},
 {"name":"long","host":"demo.example","path_prefix":"/honest/stream/","kind":"streaming","timeout_ms":30000,"target_latency_ms":1000,"max_attempts":2,"service":"honest","resumable":true},
 {"name":"body","host":"demo.example","path_prefix":"/flood/body/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"max_attempts":3,"service":"flood"},
 {"name":"stream","host":"demo.example","path_prefix":"/flood/stream/","kind":"streaming","timeout_ms":3000,"target_latency_ms":1000,"max_attempts":3,"service":"flood","resumable":true}],
 "services":[{"name":"honest","connection_limit":400},{"name":"llm","connection_limit":400,"engine":{"slots":64,"kv_capacity_tokens":500000,"models":[{"name":"toy"}]}},{"name":"flood","connection_limit":2000}],
 "tenants":[{"name":"t1","api_keys":["key-1"],"priority":1}]}`

// floodPaths are the paths of callers of the flooding backends.
var floodPaths = []string{"/flood/body/x", "/flood/stream/x"}

// FloodOptions say what a play of floods does.
type FloodOptions struct {
	Forms   []string // names of forms; none: all
	Status  []int    // behind which they are sent; none: 200 and 500
	Callers int      // that ask for floods at the same time
	Length  time.Duration
	OneCore bool // each machine's programs run on one processor
}

// floodResult is what a flood brought about.
type floodResult struct {
	requests, floodRequests int // of others, and of callers of floods
	failed, overdue         int // of others, and of callers whose answer came too late
	late                    int // of others that were served
	written                 int64
	peaks                   map[string]int64 // bytes, by process
	floodTook               []time.Duration  // by callers of floods
	took                    []time.Duration  // by others that were served
	honest                  int              // long responses that end
	longestGap              time.Duration    // between two events of a long stream
	recovered               time.Duration    // until backends that no longer flood are used again
	slack                   time.Duration    // by which the machine itself was late
	findings                []string
}

// PlayFloods has backends of a fleet of real processes send bytes without end in each form, and fails if a program of the fleet needs more
// memory than it may, or if requests of other clients suffer.
func PlayFloods(program string, o FloodOptions, out io.Writer) error {
	forms, statuses := floodForms, o.Status
	if len(o.Forms) > 0 {
		forms = nil
		for _, name := range o.Forms {
			if !slices.Contains(floodForms, floodForm(name)) {
				return fmt.Errorf("no form %q; there are %v", name, floodForms)
			}
			forms = append(forms, floodForm(name))
		}
	}
	if len(statuses) == 0 {
		statuses = []int{http.StatusOK, http.StatusInternalServerError}
	}
	broken := 0
	for _, form := range forms {
		for _, status := range statuses {
			result, err := playFlood(program, form, status, o)
			if err != nil {
				return fmt.Errorf("%s behind %d: %w", form, status, err)
			}
			fmt.Fprintf(out, "%-15s %d: %s\n", form, status, result)
			if len(result.findings) > 0 {
				broken++
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d floods broke a rule", broken, len(forms)*len(statuses))
	}
	return nil
}

func (r *floodResult) String() string {
	var highest int64
	var name string
	for process, bytes := range r.peaks {
		if bytes > highest {
			highest, name = bytes, process
		}
	}
	var slowest time.Duration
	if len(r.took) > 0 {
		slowest = slices.Max(r.took)
	}
	text := fmt.Sprintf("others %d, late %d, failed %d, slowest %v, slack %v; honest %d, longest gap %v; floods %d, %d MB sent, overdue %d, used again after %v; memory %d MB at most (%s)",
		r.requests, r.late, r.failed, slowest.Round(time.Millisecond), r.slack.Round(time.Millisecond), r.honest, r.longestGap.Round(time.Millisecond), r.floodRequests, r.written>>20, r.overdue, r.recovered.Round(time.Millisecond), highest>>20, name)
	for _, finding := range r.findings[:min(len(r.findings), mostFindings)] {
		text += "\n    " + finding
	}
	return text
}

// floodPlay is one flood that is played.
type floodPlay struct {
	world    *world
	options  FloodOptions
	backends []*floodBackend
	lag      lagMeter
	calm     time.Duration // that the slowest request took before there were floods

	mu     sync.Mutex
	result floodResult
}

// playFlood plays one form of flood behind a status.
func playFlood(program string, form floodForm, status int, o FloodOptions) (*floodResult, error) {
	w, err := newWorld(program, size{controllers: 3, fronts: 2, engines: 3}, append([]string{
		"bounds.config_apply_ms=2000", fmt.Sprint("limits.memory_mb=", floodMemoryMB), "limits.cores=1", "limits.file_descriptors=4096",
	}, demoBounds...))
	if err != nil {
		return nil, err
	}
	defer w.close()
	w.memoryLimit = floodMemoryMB << 20
	if o.OneCore {
		w.coreOf = coreOfMachine(w.size)
	}
	p := &floodPlay{world: w, options: o}
	for i := range floodBackends {
		backend, err := newFloodBackend(i, form, status)
		if err != nil {
			return nil, err
		}
		p.backends = append(p.backends, backend)
		w.closing = append(w.closing, backend.close)
	}
	honest, err := newHonestBackend(o.Length / 2)
	if err != nil {
		return nil, err
	}
	w.closing = append(w.closing, func() { honest.server.Close() })
	w.backends = func() (entries []any) {
		entries = append(entries, honest.entry())
		for _, backend := range p.backends {
			entries = append(entries, backend.entry())
		}
		return entries
	}
	if err := w.startAll(); err != nil {
		return nil, err
	}
	if err := w.order("PUT", "/v1/configuration", "0", floodConfiguration); err != nil {
		return nil, err
	}
	for i := range w.size.fronts {
		if err := await("front ready", func() bool { return ready(i) }); err != nil {
			return nil, err
		}
	}
	if err := await("a request served", func() bool { return p.served("warm-up", 0) && p.served("warm-up", 1) }); err != nil {
		return nil, err
	}
	p.run()
	return p.judge(), nil
}

// coreOfMachine gives each machine a processor of its own, as far as there are.
func coreOfMachine(of size) func(ip string) int {
	cores := map[string]int{}
	for i := range of.fronts {
		cores[frontIP(i)] = i % runtime.NumCPU()
	}
	for i := range of.controllers {
		cores[controllerIP(i)] = (of.fronts + i) % runtime.NumCPU()
	}
	return func(ip string) int { return cores[ip] }
}

// served reports whether a request of another client is served at a front.
func (p *floodPlay) served(id string, front int) bool {
	answer := streamRequest{id: id, path: "/again/x", key: streamKey1, front: front}.ask(othersDeadline)
	return answer.status == http.StatusOK && answer.complete
}

// run has the callers ask for floods, and others for what is theirs.
func (p *floodPlay) run() {
	done := make(chan struct{})
	var others, callers sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	others.Go(func() { p.lag.run(done) })
	p.calm = p.playCalm()
	for number := range p.options.Callers {
		callers.Go(func() { p.call(ctx, number) })
	}
	others.Go(func() { p.askOthers(done) })
	for _, path := range []string{honestBody, honestStream, honestHead} {
		others.Go(func() { p.askHonestly(path, done) })
	}
	time.Sleep(p.options.Length / 2)
	p.hangUpAll()
	time.Sleep(p.options.Length / 2)
	close(done)
	others.Wait()
	p.world.endProcesses(floodGrace, frontProcess(endedFront, "proxy"), frontProcess(endedFront, "agent"))
	cancel()
	callers.Wait()
	p.recover()
}

// playCalm asks for others before there are floods, and returns how long the slowest took: the machine may have other work on the
// same processors.
func (p *floodPlay) playCalm() time.Duration {
	done := make(chan struct{})
	time.AfterFunc(calmLength, func() { close(done) })
	p.askOthers(done)
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest := time.Duration(0)
	if len(p.result.took) > 0 {
		slowest = slices.Max(p.result.took)
	}
	p.result = floodResult{}
	return slowest
}

// hangUpAll sends SIGHUP to all programs.
func (p *floodPlay) hangUpAll() {
	for _, name := range p.world.names() {
		if process := p.world.process(name); process != nil {
			process.command.Process.Signal(syscall.SIGHUP)
		}
	}
}

// recover has the backends answer plainly, and notes whether they are used again.
func (p *floodPlay) recover() {
	for _, backend := range p.backends {
		backend.recover()
	}
	began := time.Now()
	err := await("a request served", func() bool {
		answer := streamRequest{id: fmt.Sprint("whole-", time.Since(began)), path: floodPaths[0], key: streamKey1, front: 0}.ask(othersDeadline)
		return answer.status == http.StatusOK && answer.complete
	})
	p.result.recovered = time.Since(began)
	if err != nil {
		p.result.findings = append(p.result.findings, "backends that no longer flood are not used again: "+err.Error())
	}
}

// askOthers sends requests of other clients at a steady rate, whatever becomes of those before.
func (p *floodPlay) askOthers(done chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(time.Second / othersPerS)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		open.Go(func() {
			began := time.Now()
			served := p.served(fmt.Sprint("other-", number), number%p.world.size.fronts)
			took := time.Since(began)
			p.mu.Lock()
			defer p.mu.Unlock()
			r := &p.result
			r.requests++
			if !served {
				r.failed++
				return
			}
			r.took = append(r.took, took)
		})
	}
}

// call asks for one flood after the other, and reads each for as long as it is sent.
func (p *floodPlay) call(ctx context.Context, number int) {
	for try := 0; ctx.Err() == nil; try++ {
		id, began := fmt.Sprintf("flood-%d-%d", number, try), time.Now()
		err := askForFlood(ctx, id, number%p.world.size.fronts, floodPaths[(number/p.world.size.fronts)%len(floodPaths)])
		took := time.Since(began)
		if ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		p.result.floodRequests++
		p.result.floodTook = append(p.result.floodTook, took)
		p.mu.Unlock()
		if err != nil {
			time.Sleep(tryEvery / 10)
		}
	}
}

// askForFlood sends a request and reads its answer to the end, for twice its deadline at most.
func askForFlood(ctx context.Context, id string, front int, path string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*floodDeadline)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", frontAddr(front))
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: demo.example\r\nConnection: close\r\nContent-Length: 0\r\n", path)
	streamRequest{id: id, key: streamKey1}.header(floodDeadline).Write(&text)
	if _, err := io.WriteString(conn, text.String()+"\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// judge holds what was seen to the rules.
func (p *floodPlay) judge() *floodResult {
	r := &p.result
	found := func(format string, args ...any) { r.findings = append(r.findings, fmt.Sprintf(format, args...)) }
	var open int
	r.slack = max(p.lag.slack(), slackFactor*p.calm)
	for _, took := range r.took {
		if took > othersLate+r.slack {
			r.late++
		}
	}
	for _, backend := range p.backends {
		r.written += backend.written.Load()
		open += backend.awaitCallersGone(callersGoneIn)
	}
	if open > 0 {
		found("%d connections are open to flooding backends %v after the last caller has gone", open, callersGoneIn)
	}
	r.peaks = map[string]int64{}
	for _, life := range p.world.lives() {
		r.peaks[life.Name] = max(r.peaks[life.Name], life.PeakBytes)
		switch {
		case !life.OverMemory.IsZero():
			found("FAULT: %s was ended %v after its start with %d MB", life.Name, life.OverMemory.Sub(life.Started).Round(time.Millisecond), life.PeakBytes>>20)
		case !life.Told.IsZero() && life.Ended.Sub(life.Told) > floodGrace+r.slack:
			found("FAULT: %s ended %v after it was told to", life.Name, life.Ended.Sub(life.Told).Round(time.Millisecond))
		case life.endedByItself():
			found("FAULT: %s ended by itself: %s", life.Name, life.State)
		}
	}
	if r.late+r.failed > 0 {
		found("%d of %d requests of other clients were late and %d failed", r.late, r.requests, r.failed)
	}
	for _, took := range r.floodTook {
		if took > floodDeadline+floodEndSlack+r.slack {
			r.overdue++
		}
	}
	if r.longestGap > othersLate+r.slack {
		found("%v between two events of a long stream", r.longestGap.Round(time.Millisecond))
	}
	if r.overdue > 0 {
		found("%d callers had no answer %v after their deadline", r.overdue, floodEndSlack)
	}
	return r
}
