// Package fleetdemo plays a small router fleet of real processes on the loopback: three controllers, two fronts with agent and proxy, and
// stand-ins of ours for model engines, the platform's list, the operator and clients. It shows the fleet at work, and judges it by what
// the stand-ins saw.
package fleetdemo

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the stand-in engine.
const (
	model        = "toy"
	tokensPerMS  = 60.0
	fetchedPerMS = 5000.0
	eventGap     = 4 * time.Millisecond
	eventsOfRun  = 8
	loadTime     = 400 * time.Millisecond
	keptEvents   = 4000
)

// engine is a stand-in of a model engine: it reads prompts but for the parts that it keeps under the request's salt, streams events, tells
// what it keeps, and takes orders for new weights.
type engine struct {
	addr  string
	fleet *engines
	slots chan struct{} // held by requests that run; nil for as many as come

	mu       sync.Mutex
	id       string // of this life
	lives    int
	server   *http.Server
	resumed  chan struct{} // closed when the engine goes on; nil while it runs
	slow     int           // by how many times it is slowed, 0 if it is not
	version  int64
	loading  bool
	draining bool                // as the platform's list shows it
	kept     map[string]keptPart // by salt and part
	events   [][]any
	read     int // tokens read so far
	reused   int // tokens found kept or fetched
	fences   uint64
}

// keptPart is a part of a prompt that an engine keeps.
type keptPart struct {
	tokens int
	maker  promptMaker
}

// engines is all of them, and what ran where.
type engines struct {
	mu   sync.Mutex
	all  map[string]*engine // by address
	runs map[string]int     // by the request's identity
	log  *runLog            // nil where nobody wants to know more
	// streams says how a run of a request, the first one has number 1, is answered; nil: plainly and whole.
	streams func(request string, run int) (streamForm, streamEnding)
}

// ran books that an engine begins a request, and returns the number of this run.
func (f *engines) ran(id, engine string, version int64) (run int) {
	f.mu.Lock()
	f.runs[id]++
	run = f.runs[id]
	f.mu.Unlock()
	f.log.began(id, engine, version)
	return run
}

func (f *engines) at(addr string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all[addr]
}

func newEngine(f *engines, id, addr string) (*engine, error) {
	e := &engine{id: id, addr: addr, fleet: f, version: 1, kept: map[string]keptPart{}}
	f.mu.Lock()
	f.all[addr] = e
	f.mu.Unlock()
	return e, e.serve()
}

// serve begins a life of the engine.
func (e *engine) serve() error {
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-events", e.tellEvents)
	mux.HandleFunc("GET /v1/kv-list", e.tellKept)
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("POST /v1/order", e.order)
	mux.HandleFunc("/", e.generate)
	server := &http.Server{Handler: mux}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go server.Serve(listener)
	return nil
}

// close ends the engine's life at once, with all its connections.
func (e *engine) close() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	server.Close()
}

// refused tells whether a request is meant for another instance or version, or cannot begin now, and answers so.
func (e *engine) refused(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	version, loading, id := e.version, e.loading, e.id
	e.mu.Unlock()
	expected := r.Header.Get("Expect-Version")
	switch {
	case r.Header.Get("X-Expected-Instance") != id, expected != "" && expected != strconv.FormatInt(version, 10):
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case loading:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	io.Copy(io.Discard, r.Body) // only then does the server see that its caller has gone
	if e.refused(w, r) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	life := r.Header.Get("X-Expected-Instance")
	e.fleet.log.reached(id, life)
	if e.slots != nil {
		select {
		case e.slots <- struct{}{}:
			defer func() { <-e.slots }()
		case <-r.Context().Done():
			return
		}
	}
	if !e.work(r, e.prefill(r, arrived)) || e.refused(w, r) { // an order came while it was read, or its caller has gone
		return
	}
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	e.answer(w, r, id, life, e.fleet.ran(id, life, version))
}

// work takes a time, longer while the engine is slowed, and stands still while it does. It tells whether the caller is still there.
func (e *engine) work(r *http.Request, takes time.Duration) bool {
	e.mu.Lock()
	resumed, slow := e.resumed, max(1, e.slow)
	e.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-r.Context().Done():
			return false
		}
	}
	select {
	case <-time.After(takes * time.Duration(slow)):
		return true
	case <-r.Context().Done():
		return false
	}
}

// prefill books what a prompt of a request that arrived at some time has read, and gives the time it takes.
func (e *engine) prefill(r *http.Request, arrived time.Time) time.Duration {
	salt, missing, fetched := r.Header.Get("Cache-Salt"), 0, 0
	source := e.fleet.at(r.Header.Get("Kv-Fetch"))
	user := promptMaker{Request: r.Header.Get("X-Request-Id"), Tenant: r.Header.Get("X-Tenant-Name")}
	for _, item := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		part, count, _ := strings.Cut(item, ":")
		tokens, _ := strconv.Atoi(count)
		key := salt + " " + part
		kept, found := e.keeps(key)
		if found {
			e.fleet.log.used(promptUse{User: user, Maker: kept.maker, Part: part, At: arrived})
			e.book(0, tokens)
			continue
		}
		if source != nil {
			kept, found = source.keeps(key)
		}
		if found {
			e.fleet.log.used(promptUse{User: user, Maker: kept.maker, Part: part, At: arrived})
			fetched += tokens
			e.book(0, tokens)
		} else {
			kept = keptPart{tokens, user}
			missing += tokens
			e.book(tokens, 0)
		}
		e.keep(salt, part, kept)
	}
	return time.Duration((float64(missing)/tokensPerMS + float64(fetched)/fetchedPerMS) * float64(time.Millisecond))
}

func (e *engine) keeps(key string) (part keptPart, found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	part, found = e.kept[key]
	return part, found
}

func (e *engine) book(read, reused int) {
	e.mu.Lock()
	e.read += read
	e.reused += reused
	e.mu.Unlock()
}

func (e *engine) keep(salt, part string, kept keptPart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept[salt+" "+part] = kept
	e.events = append(e.events, []any{len(e.events) + 1, "+", salt, part, kept.tokens, model})
	if over := len(e.events) - keptEvents; over > 0 {
		e.events = e.events[over:]
	}
}

func (e *engine) tellEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{"epoch": e.version, "next_page_token": len(e.events), "lost": false, "events": e.events[min(since, len(e.events)):]})
}

func (e *engine) tellKept(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := [][]any{}
	for key, kept := range e.kept {
		salt, part, _ := strings.Cut(key, " ")
		held = append(held, []any{salt, part, kept.tokens, model})
	}
	writeJSON(w, map[string]any{"epoch": e.version, "next_page_token": len(e.events), "held": held})
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{"busy": e.loading, "models": []any{map[string]any{"name": model, "version": e.version}}})
}

// order takes new weights, which drop what is kept. A fence below one seen is refused.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version int64
		Holder  string
		Fence   uint64
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Fence < e.fences:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.loading:
		w.WriteHeader(http.StatusConflict)
	case order.Version == e.version:
	default:
		e.fences, e.loading = order.Fence, true
		life := e.lives
		time.AfterFunc(loadTime, func() { e.loaded(life, order.Version) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) loaded(life int, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lives != life { // it crashed meanwhile, and has the weights it had
		return
	}
	e.version, e.loading = version, false
	e.kept, e.events = map[string]keptPart{}, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// crash ends the engine's life, and gives the identity that it had. serve begins another one, with the weights it had and nothing kept.
func (e *engine) crash() (life string) {
	e.close()
	e.mu.Lock()
	defer e.mu.Unlock()
	life = e.id
	e.lives++
	e.id = fmt.Sprint(strings.Split(life, "/")[0], "/", e.lives)
	e.loading, e.draining, e.fences = false, false, 0
	e.kept, e.events = map[string]keptPart{}, nil
	return life
}

// drain has the platform's list show the engine as draining, and gives the identity that it has.
func (e *engine) drain() (life string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	return e.id
}

// pause has the engine stand still until resume is called.
func (e *engine) pause() (resume func()) {
	resumed := make(chan struct{})
	e.mu.Lock()
	e.resumed = resumed
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.resumed = nil
		e.mu.Unlock()
		close(resumed)
	}
}

// setSlow has everything take so many times as long; 0 ends that.
func (e *engine) setSlow(times int) {
	e.mu.Lock()
	e.slow = times
	e.mu.Unlock()
}
