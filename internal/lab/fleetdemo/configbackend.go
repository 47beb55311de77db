package fleetdemo

import (
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Headers by which the stand-in backend tells what it was sent.
const (
	servedByHeader = "X-Served-By"
	servedForKey   = "X-Served-Key"
	servedTenant   = "X-Served-Tenant"
)

// plainBackend is a stand-in of a backend that serves plain requests: it tells which service it belongs to, and for
// whom it was asked.
type plainBackend struct {
	addr string
	zone string

	mu      sync.Mutex
	service string
	lives   int // each life has an identity of its own
	server  *http.Server
}

func newPlainBackend(number int, service string) *plainBackend {
	return &plainBackend{addr: fmt.Sprint(loopbackIP(backendNet, number+1), ":", enginePort), zone: zoneOf(number), service: service}
}

// id returns the identity of the present life. The lock is held.
func (b *plainBackend) id() string { return fmt.Sprint(b.addr, "/", b.lives) }

// start begins a life as a backend of a service.
func (b *plainBackend) start(service string) error {
	listener, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service = service
	b.lives++
	id := b.id()
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerPlainly(w, r, id, service) })}
	go b.server.Serve(listener)
	return nil
}

// stop ends the present life.
func (b *plainBackend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		b.server.Close()
		b.server = nil
	}
}

// entry returns the backend's entry in the platform's list, nil while it doesn't run.
func (b *plainBackend) entry() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil {
		return nil
	}
	return map[string]any{"id": b.id(), "service": b.service, "address": b.addr, "zone": b.zone, "slots": 64, "state": "ready", "cold_remaining_ms": 0}
}

// answerPlainly serves one request of a life.
func answerPlainly(w http.ResponseWriter, r *http.Request, id, service string) {
	w.Header().Set("X-Instance-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal/"+r.Header.Get("X-Request-Id"))
	w.Header().Set(servedByHeader, service)
	w.Header().Set(servedForKey, r.Header.Get("Api-Key"))
	w.Header().Set(servedTenant, r.Header.Get("X-Tenant-Name"))
	fmt.Fprintf(w, "answer of %s to %s\n", service, r.Header.Get("X-Request-Id"))
}
