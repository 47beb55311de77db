package fleetdemo

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Load of the demo.
const (
	clients     = 6
	prompts     = 12 // that clients ask about
	clientPause = 15 * time.Millisecond
	calmFor     = 2 * time.Second
)

// tally is what became of requests, as clients saw it.
type tally struct {
	mu       sync.Mutex
	outcomes map[string]int
	partial  []string // answers that looked whole and were not
	first    []time.Duration
}

func (t *tally) add(outcome string, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
	if first > 0 {
		t.first = append(t.first, first)
	}
}

func configuration(version int, path string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r1","host":"demo.example","path_prefix":%q,"kind":"streaming","timeout_ms":8000,
 "target_latency_ms":1000,"max_attempts":2,"service":"llm","sticky":true,"resumable":false}],
 "services":[{"name":"llm","connection_limit":200,"cold_start_s":1,"cold_per_s":20,"engine":{"slots":64,"kv_capacity_tokens":500000,
 "kv_token_bytes":35136,"link_mbps":740000,"max_concurrency":12,"models":[{"name":%q}]}}],
 "tenants":[{"name":"t1","api_keys":["key-1"],"priority":1}]}`, version, path, model)
}

// Play runs the demo with a build of nettlefold, and writes what happens. It fails if a rule that the stand-ins can see was broken.
func Play(program string, out io.Writer) error {
	w, err := newWorld(program, demoSize, demoBounds)
	if err != nil {
		return err
	}
	defer w.close()
	began := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(out, "%6.2f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	if err := w.begin(say); err != nil {
		return err
	}
	t := &tally{outcomes: map[string]int{}}
	stop := w.load(t)
	say("%d clients ask about %d prompts", clients, prompts)
	time.Sleep(calmFor)
	if err := w.trouble(say); err != nil {
		stop()
		return err
	}
	stop()
	return w.judge(t, out)
}

// begin starts the fleet and gives it its first configuration.
func (w *world) begin(say func(string, ...any)) error {
	if err := w.startAll(); err != nil {
		return err
	}
	say("started %d controllers, %d fronts, %d engines", w.size.controllers, w.size.fronts, w.size.engines)
	if err := w.order(http.MethodPut, "/v1/configuration", "0", configuration(1, "/ask/")); err != nil {
		return err
	}
	say("configuration 1 is acknowledged")
	for i := range w.size.fronts {
		if err := await("front ready", func() bool { return ready(i) }); err != nil {
			return err
		}
	}
	return await("a request is served", func() bool { return w.ask(0, "/ask/", "warm-"+fmt.Sprint(rand.Uint64()), 0).outcome == "served" })
}

// trouble kills a controller, changes the configuration, and names new weights, all under load.
func (w *world) trouble(say func(string, ...any)) error {
	w.kill("core-1-controller")
	say("controller 1, the head of the chain, is killed")
	if err := w.order(http.MethodPut, "/v1/configuration", "1", configuration(2, "/")); err != nil {
		return err
	}
	say("configuration 2 is acknowledged by those that are left")
	if err := w.startController(0, false); err != nil {
		return err
	}
	if err := w.order(http.MethodPost, "/v1/version-put", "", `{"model":"toy","version":2}`); err != nil {
		return err
	}
	say("version 2 of the weights is named")
	err := await("new weights everywhere", func() bool {
		for _, e := range w.list {
			e.mu.Lock()
			version := e.version
			e.mu.Unlock()
			if version != 2 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	say("all engines have version 2")
	return await("the new route is in force", func() bool { return w.ask(1, "/other/", "route-"+fmt.Sprint(rand.Uint64()), 0).outcome == "served" })
}

// load has clients ask until it is stopped.
func (w *world) load(t *tally) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(c)))
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(clientPause):
				}
				a := w.ask(c%w.size.fronts, "/ask/", fmt.Sprintf("%d-%d", c, n), random.IntN(prompts))
				t.add(a.outcome, a.first)
				if a.partial {
					t.mu.Lock()
					t.partial = append(t.partial, a.id)
					t.mu.Unlock()
				}
			}
		})
	}
	return func() { close(done); all.Wait() }
}

// asked is one request's end.
type asked struct {
	id, outcome string
	first       time.Duration
	partial     bool
}

// ownTokens is the part of a prompt that is the request's own.
const ownTokens = 500

// ask sends one request of the first tenant, and reads its stream to the end.
func (w *world) ask(front int, path, id string, prompt int) asked {
	return w.askAs("key-1", front, path, id, prompt)
}

// askAs sends one request with a key.
func (w *world) askAs(key string, front int, path, id string, prompt int) asked {
	a := asked{id: id, outcome: "failed"}
	request, err := http.NewRequest(http.MethodPost, "http://"+frontAddr(front)+path+"x", bytes.NewBufferString("a question"))
	if err != nil {
		return a
	}
	request.Host = "demo.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": model, "Api-Key": key, "X-Request-Deadline-Ms": "8000", "X-Token-Usage": "4500,8",
		"X-Prompt-Prefix": fmt.Sprintf("sys:500,doc%d:3500,%s:%d", prompt, id, ownTokens),
	} {
		request.Header.Set(name, value)
	}
	began := time.Now()
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return a
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		a.outcome = "answered " + fmt.Sprint(answer.StatusCode)
		return a
	}
	a.first = time.Since(began)
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		a.outcome = "cut"
		return a
	}
	a.outcome = "served"
	a.partial = strings.Count(string(text), "data: ") != eventsOfRun || !strings.HasSuffix(answer.Header.Get("X-Response-Seal"), "/"+id)
	return a
}

// judge prints what became of requests, and fails if one ran twice or looked whole and was not, or few were served.
func (w *world) judge(t *tally, out io.Writer) error {
	total := 0
	for _, n := range t.outcomes {
		total += n
	}
	fmt.Fprintf(out, "\n%d requests:\n", total)
	for _, outcome := range slices.Sorted(maps.Keys(t.outcomes)) {
		fmt.Fprintf(out, "  %-14s %d\n", outcome, t.outcomes[outcome])
	}
	slices.Sort(t.first)
	if n := len(t.first); n > 0 {
		fmt.Fprintf(out, "first token: median %v, 99th percentile %v\n", t.first[n/2].Round(time.Millisecond), t.first[n*99/100].Round(time.Millisecond))
	}
	for _, e := range w.list {
		e.mu.Lock()
		fmt.Fprintf(out, "%s read %d tokens, found %d kept or fetched\n", e.id, e.read, e.reused)
		e.mu.Unlock()
	}
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for id, n := range w.engines.runs {
		if n > 1 {
			return fmt.Errorf("request %s ran %d times", id, n)
		}
	}
	if len(t.partial) > 0 {
		return fmt.Errorf("%d answers looked whole and were not, the first of %s", len(t.partial), t.partial[0])
	}
	if served := t.outcomes["served"]; served*2 < total {
		return fmt.Errorf("%d of %d requests were served", served, total)
	}
	return nil
}
