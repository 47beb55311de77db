package fleetdemo

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a play of streams.
const (
	streamEvents     = 24
	streamsBrokenOff = 0.75
	streamDeadline   = 6 * time.Second
	streamKey1       = "key-1"
	mostTries        = 12
	enginePauseEvery = 3 * time.Second
	enginePause      = 2200 * time.Millisecond // longer than a stall that another engine takes over
	restartEvery     = 2500 * time.Millisecond
	restartGrace     = 4 * time.Second
	unreachedPause   = 100 * time.Millisecond
)

// streamPaths are the routes of a play of streams, by kind.
var streamPaths = []string{"/again/", "/once/", "/body/"}

// streamConfiguration has a route whose streams may be resumed, one whose streams may not, and one whose answers are bodies of any kind.
const streamConfiguration = `{"version":1,"routes":[
 {"name":"again","host":"demo.example","path_prefix":"/again/","kind":"streaming","timeout_ms":6000,"target_latency_ms":1000,"max_attempts":3,"service":"llm","resumable":true},
 {"name":"once","host":"demo.example","path_prefix":"/once/","kind":"streaming","timeout_ms":6000,"target_latency_ms":1000,"max_attempts":3,"service":"llm"},
 {"name":"body","host":"demo.example","path_prefix":"/body/","kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":1000,"max_attempts":3,"service":"llm"}],
 "services":[{"name":"llm","connection_limit":400,"engine":{"slots":64,"kv_capacity_tokens":500000,"models":[{"name":"toy"}]}}],
 "tenants":[{"name":"t1","api_keys":["key-1"],"priority":1}]}`

// StreamOptions say what a play of streams does.
type StreamOptions struct {
	Seed    uint64
	Streams int
	Clients int // that read at the same time
}

// streamPlay has clients read streams that engines end in all ways.
type streamPlay struct {
	world   *world
	options StreamOptions

	mu       sync.Mutex
	counts   map[string]int // of tries, by what they were and how they ended
	findings []string
}

// PlayStreams has clients read streams of a fleet of real processes, whose engines end them in all ways and whose fronts are killed or told
// to end now and then, and continue those that are cut at another front. It fails if a client got bytes that aren't those of one run, or an
// answer that looks complete and is not.
func PlayStreams(program string, o StreamOptions, out io.Writer) error {
	w, err := newWorld(program, size{controllers: 3, fronts: 2, engines: 4}, append([]string{"bounds.config_apply_ms=2000"}, demoBounds...))
	if err != nil {
		return err
	}
	defer w.close()
	p := &streamPlay{world: w, options: o, counts: map[string]int{}}
	w.engines.log = newRunLog()
	w.engines.streams = func(request string, run int) (streamForm, streamEnding) {
		return p.form(request), drawEnding(o.Seed, request, run, streamEvents, streamsBrokenOff)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if err := w.order("PUT", "/v1/configuration", "0", streamConfiguration); err != nil {
		return err
	}
	for i := range w.size.fronts {
		if err := await("front ready", func() bool { return ready(i) }); err != nil {
			return err
		}
	}
	p.run()
	for _, key := range slices.Sorted(maps.Keys(p.counts)) {
		fmt.Fprintf(out, "%5d  %s\n", p.counts[key], key)
	}
	for _, text := range p.findings {
		fmt.Fprintln(out, "ORDER", text)
	}
	if len(p.findings) > 0 {
		return fmt.Errorf("seed %d: %d of %d streams broke ORDER", o.Seed, len(p.findings), o.Streams)
	}
	return nil
}

// form returns the form of a request's events.
func (p *streamPlay) form(request string) streamForm {
	return drawForm(p.options.Seed, request, streamEvents)
}

// run has the clients ask, pauses an engine now and then, and restarts a front.
func (p *streamPlay) run() {
	done := make(chan struct{})
	var troubles, clients sync.WaitGroup
	troubles.Go(func() { p.pauseEngines(done) })
	troubles.Go(func() { p.restartFronts(done) })
	numbers := make(chan int)
	for range p.options.Clients {
		clients.Go(func() {
			for number := range numbers {
				p.read(number)
			}
		})
	}
	for number := range p.options.Streams {
		numbers <- number
	}
	close(numbers)
	clients.Wait()
	close(done)
	troubles.Wait()
}

// restartFronts kills one front after the other, or tells it to end, and starts it again.
func (p *streamPlay) restartFronts(done chan struct{}) {
	repeat(restartEvery, done, func(i int) {
		front, grace := i/2%p.world.size.fronts, time.Duration(0)
		if i%2 == 1 {
			grace = restartGrace
		}
		p.world.endProcesses(grace, frontProcess(front, "proxy"), frontProcess(front, "agent"))
		p.world.startFront(front)
	})
}

// repeat calls a function with the numbers from 0 on, an interval before each, until done is closed.
func repeat(interval time.Duration, done chan struct{}, do func(i int)) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		do(i)
	}
}

// pauseEngines has one engine after the other stand still for a while.
func (p *streamPlay) pauseEngines(done chan struct{}) {
	repeat(enginePauseEvery, done, func(i int) {
		resume := p.world.list[i%len(p.world.list)].pause()
		time.Sleep(enginePause)
		resume()
	})
}

// read reads one stream, and continues it elsewhere while it is cut and may be resumed.
func (p *streamPlay) read(number int) {
	random := rand.New(rand.NewPCG(p.options.Seed, uint64(number)))
	request := streamRequest{
		path: streamPaths[random.IntN(len(streamPaths))] + "x", key: streamKey1, front: number % p.world.size.fronts, http10: random.IntN(3) == 0,
	}
	for try := 1; try <= mostTries; try++ {
		request.id = fmt.Sprintf("s%d-%d.%d", p.options.Seed, number, try)
		answer := request.ask(streamDeadline)
		p.judge(request, answer)
		if answer.status == 0 || answer.status == http.StatusServiceUnavailable { // the front is away
			time.Sleep(unreachedPause)
			request.front = (request.front + 1) % p.world.size.fronts
			continue
		}
		if answer.complete || answer.status != 200 || request.path != "/again/x" {
			return
		}
		if last := lastEventID(answer.body); last > 0 {
			request.lastEvent = last
		}
		request.front = (request.front + 1) % p.world.size.fronts
	}
}

// lastEventID returns the number of the last whole event with an ID, 0 if there is none.
func lastEventID(body string) (last int) {
	body = strings.ReplaceAll(body, "\r\n", "\n")
	events := strings.SplitAfter(body, "\n\n")
	for _, event := range events {
		if !strings.HasSuffix(event, "\n\n") {
			break
		}
		for line := range strings.Lines(event) {
			if value, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
				last, _ = strconv.Atoi(value)
			}
		}
	}
	return last
}

// judge holds an answer to what was due, and counts it.
func (p *streamPlay) judge(request streamRequest, answer streamAnswer) {
	log := p.world.engines.log
	log.mu.Lock()
	endings := slices.Clone(log.endings[request.id])
	log.mu.Unlock()
	form := p.form(request.id)
	fault := ""
	if answer.status == 200 {
		fault = streamFault(form.text(request.id, request.lastEvent), answer.body, answer.complete, looksWhole(endings, request.path))
	}
	how := "whole"
	if len(endings) > 0 {
		last := endings[len(endings)-1]
		how = fmt.Sprintf("%s, %s, in an event: %v, long: %v", last.framing, last.end, last.inEvent, form.long > 0)
	}
	kind := fmt.Sprintf("%s HTTP/1.0: %v, %s", request.path, request.http10, how)
	outcome := fmt.Sprint(answer.status)
	switch answer.status {
	case 0:
		outcome = "no answer"
	case 200:
		outcome = map[bool]string{true: "complete", false: "cut"}[answer.complete]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[outcome]++
	if fault != "" {
		p.findings = append(p.findings, fmt.Sprintf("%s after %d: %s, %d runs broken off: %s", request.id, request.lastEvent, kind, len(endings), fault))
	}
}

// looksWhole reports whether one of the runs of a request was broken off so that nobody could know. On a route whose answers aren't
// streams that is so at any byte.
func looksWhole(endings []streamEnding, path string) bool {
	return slices.ContainsFunc(endings, func(e streamEnding) bool {
		return e.looksWhole() || e.framing == framingNone && e.end != endReset && path == "/body/x"
	})
}
