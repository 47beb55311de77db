package main

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

// Figures of the stand-ins, as the sheets of the small deployments have them.
const (
	modelName    = "toy"
	serviceName  = "llm"
	weightsTime  = 1100 * time.Millisecond // new weights take a searcher 1.1 s
	reportLag    = 100 * time.Millisecond  // a report is some hundred ms old
	listLag      = 800 * time.Millisecond  // cloud.lag_ms
	tokensPerMS  = 37.9                    // prompt tokens that are read in a ms
	streamEvents = 5
	eventPause   = 5 * time.Millisecond
)

// order is an order for new weights as a searcher received it.
type order struct {
	At      time.Time
	Holder  string
	Fence   uint64
	Version int64
	Status  int
}

// searcherState is what reports and the platform's list tell of a searcher.
type searcherState struct {
	since    time.Time
	version  int64
	loading  bool
	sequence int
}

// keptPart is a part of a prompt that a searcher keeps under a salt.
type keptPart struct {
	tokens  int
	tenant  string // whose request made it
	version int64  // of the weights under which it was made
	request string
}

// use is the use of a kept part by a later request.
type use struct {
	At                      time.Time
	Request, Tenant, Part   string
	MadeByTenant, MadeByReq string
	Salt                    string
}

// searcher is a stand-in of a model searcher: it answers streams, keeps the parts of prompts under their
// salt, tells what it keeps, answers reports and takes orders for new weights.
type searcher struct {
	id, addr, zone string
	service        string
	events         int           // of a stream
	pause          time.Duration // between two of them
	record         *record

	mu      sync.Mutex
	states  []searcherState // oldest first; the last one is the present
	orders  []order
	ordered chan order
	kept    map[string]keptPart // by salt, model and all parts up to this one
	kvLog   [][]any             // what was kept and dropped, as the searcher tells it
	uses    []use
}

func newSearcher(id, addr, zone string, r *record) (*searcher, func(), error) {
	s := &searcher{id: id, addr: addr, zone: zone, service: serviceName, events: streamEvents, pause: eventPause, record: r, ordered: make(chan order, 256), kept: map[string]keptPart{}}
	s.states = []searcherState{{since: time.Now().Add(-time.Hour), version: 1}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.report)
	mux.HandleFunc("POST /v1/order", s.takeOrder)
	mux.HandleFunc("GET /v1/kv-events", s.kvEvents)
	mux.HandleFunc("GET /v1/kv-list", s.kvList)
	mux.HandleFunc("POST /", s.generate)
	mux.HandleFunc("GET /two/", s.lookUp)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", s.id) })
	stop, err := serve(addr, mux)
	return s, stop, err
}

// serve serves a handler at an address until stop is called.
func serve(addr string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	return func() { server.Close() }, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// stateAt returns the state as it was at a time. The caller holds the lock.
func (s *searcher) stateAt(t time.Time) searcherState {
	for i := len(s.states) - 1; i > 0; i-- {
		if !s.states[i].since.After(t) {
			return s.states[i]
		}
	}
	return s.states[0]
}

func (s *searcher) change(next searcherState) {
	next.since = time.Now()
	s.states = append(s.states, next)
}

// otherInstance answers 421 to a call that is meant for another searcher.
func (s *searcher) otherInstance(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("X-Expected-Instance")
	if expected == "" || expected == s.id {
		return false
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (s *searcher) report(w http.ResponseWriter, r *http.Request) {
	if s.otherInstance(w, r) {
		return
	}
	s.mu.Lock()
	state := s.stateAt(time.Now().Add(-reportLag))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": models(state.version), "busy": state.loading, "sequence": state.sequence,
		"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 90000, "handles": 0,
	})
}

func models(version int64) []any {
	return []any{map[string]any{"name": modelName, "version": version, "adapters": []any{}}}
}

// kvEvents answers the events after since; while there are none it holds the call for as long as it asks.
func (s *searcher) kvEvents(w http.ResponseWriter, r *http.Request) {
	var since int
	fmt.Sscan(r.URL.Query().Get("since"), &since)
	for until := time.Now().Add(waitTime(r)); ; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		events := [][]any{}
		events = append(events, s.kvLog[min(max(since, 0), len(s.kvLog)):]...)
		next := len(s.kvLog)
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next_page_token": next, "lost": false, "events": events})
			return
		}
	}
}

func (s *searcher) kvList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	held := [][]any{}
	for key, part := range s.kept {
		names := strings.Split(key, "\x00")
		held = append(held, []any{names[0], names[len(names)-1], part.tokens, names[1]})
	}
	next := len(s.kvLog)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next_page_token": next, "held": held})
}

// generate runs a request of a client: it reads the parts of the prompt that it does not keep under the
// request's salt, keeps them, and streams some events.
func (s *searcher) generate(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	if s.otherInstance(w, r) {
		return
	}
	s.mu.Lock()
	state := s.states[len(s.states)-1]
	s.mu.Unlock()
	if version := r.Header.Get("Expect-Version"); version != "" && version != fmt.Sprint(state.version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if state.loading {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Request-Id")
	time.Sleep(time.Duration(float64(s.prefill(r, id, state.version)) / tokensPerMS * float64(time.Millisecond)))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", s.id+"/"+id)
	w.Header().Set("Versions", fmt.Sprint(state.version))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range s.events {
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i+1, i+1, id)
		http.NewResponseController(w).Flush()
		time.Sleep(s.pause)
	}
}

// lookUp runs a request of the service that has no models, and answers it whole at once.
func (s *searcher) lookUp(w http.ResponseWriter, r *http.Request) {
	if s.otherInstance(w, r) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.record.printf("%s runs %s", s.id, id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", s.id+"/"+id)
	fmt.Fprintf(w, "one in stock, asked by %s", id)
}

// prefill books what a request uses of the kept parts, keeps the others, and returns the tokens that are
// read anew. A part is found only behind all parts before it.
func (s *searcher) prefill(r *http.Request, id string, version int64) (read int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	salt, tenant := r.Header.Get("Cache-Salt"), r.Header.Get("X-Tenant-Name")
	key, found := salt+"\x00"+r.Header.Get("X-Model"), true
	s.record.printf("%s runs %s: tenant %q, Cache-Salt %q, X-Prompt-Prefix %s", s.id, id, tenant, salt, r.Header.Get("X-Prompt-Prefix"))
	for _, item := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		part, count, _ := strings.Cut(item, ":")
		tokens, _ := strconv.Atoi(count)
		key += "\x00" + part
		made, kept := s.kept[key]
		if found = found && kept; found {
			s.uses = append(s.uses, use{time.Now(), id, tenant, part, made.tenant, made.request, salt})
			s.record.printf("%s: %s uses part %s, made by %s of tenant %q", s.id, id, part, made.request, made.tenant)
			continue
		}
		read += tokens
		s.kept[key] = keptPart{tokens, tenant, version, id}
		s.kvLog = append(s.kvLog, []any{len(s.kvLog) + 1, "+", salt, part, tokens, r.Header.Get("X-Model")})
	}
	return read
}

func waitTime(r *http.Request) time.Duration {
	var ms int
	fmt.Sscan(r.Header.Get("Wait-Ms"), &ms)
	return time.Duration(min(max(ms, 0), 1000)) * time.Millisecond
}

// takeOrder takes an order for new weights, which are loaded for weightsTime.
func (s *searcher) takeOrder(w http.ResponseWriter, r *http.Request) {
	if s.otherInstance(w, r) {
		return
	}
	var body struct {
		Operation, Model, Method, Holder string
		Version                          int64
		Fence                            uint64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Operation != "version" || body.Holder == "" || body.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	now := s.states[len(s.states)-1]
	o := order{time.Now(), body.Holder, body.Fence, body.Version, http.StatusAccepted}
	switch {
	case now.loading:
		o.Status = http.StatusConflict
	case now.version == body.Version:
		o.Status = http.StatusOK
	default:
		s.change(searcherState{version: now.version, loading: true, sequence: now.sequence + 1})
		time.AfterFunc(weightsTime, func() {
			s.mu.Lock()
			s.change(searcherState{version: body.Version, sequence: s.states[len(s.states)-1].sequence})
			for _, event := range s.kvLog {
				if event[1] == "+" {
					s.kvLog = append(s.kvLog, []any{len(s.kvLog) + 1, "-", event[2], event[3], 0, event[5]})
				}
			}
			s.kept = map[string]keptPart{}
			s.mu.Unlock()
		})
	}
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	s.record.printf("%s receives an order: version %d, holder %s, fence %d: %d", s.id, o.Version, o.Holder, o.Fence, o.Status)
	select {
	case s.ordered <- o:
	default:
	}
	w.WriteHeader(o.Status)
}

// version returns the version of the weights at present.
func (s *searcher) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[len(s.states)-1].version
}

// taken returns all orders so far.
func (s *searcher) taken() []order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]order(nil), s.orders...)
}

// used returns all uses of kept parts so far.
func (s *searcher) used() []use {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]use(nil), s.uses...)
}

// servePlatform serves the platform's list of searchers, which runs listLag behind.
func servePlatform(addr string, all []*searcher) (stop func(), err error) {
	return serve(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		instances := []any{}
		for _, s := range all {
			s.mu.Lock()
			state := s.stateAt(time.Now().Add(-listLag))
			s.mu.Unlock()
			entry := map[string]any{
				"id": s.id, "service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": 64, "state": "ready",
				"cold_remaining_ms": 0,
			}
			if s.service == serviceName {
				entry["stage"], entry["models"] = "both", models(state.version)
			}
			instances = append(instances, entry)
		}
		writeJSON(w, http.StatusOK, map[string]any{"instances": instances, "next_page_token": nil})
	}))
}
