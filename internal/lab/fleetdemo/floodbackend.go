package fleetdemo

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// floodBackend is a stand-in of a faulty backend that answers whatever it is asked without end, until its caller closes.
type floodBackend struct {
	addr, id, zone string
	listener       net.Listener

	mu     sync.Mutex
	form   floodForm
	status int
	conns  map[net.Conn]bool // open ones

	requests atomic.Int64
	written  atomic.Int64 // bytes
}

// newFloodBackend starts a flooding backend. Its number is its place in the network of backends.
func newFloodBackend(number int, form floodForm, status int) (*floodBackend, error) {
	b := &floodBackend{
		addr: fmt.Sprint(loopbackIP(backendNet, number+1), ":", enginePort), id: fmt.Sprint("flood-", number+1), zone: zoneOf(number),
		form: form, status: status, conns: map[net.Conn]bool{},
	}
	var err error
	if b.listener, err = net.Listen("tcp", b.addr); err != nil {
		return nil, err
	}
	go b.accept()
	return b, nil
}

// entry returns the backend's entry in the platform's list.
func (b *floodBackend) entry() any {
	return map[string]any{
		"id": b.id, "service": "flood", "address": b.addr, "zone": b.zone, "slots": 64, "state": "ready",
		"models": []any{map[string]any{"name": model, "version": 1}},
	}
}

func (b *floodBackend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// recover has the backend answer plainly from now on.
func (b *floodBackend) recover() {
	b.mu.Lock()
	b.form = floodNone
	b.mu.Unlock()
}

// serve answers the first request of a connection without end.
func (b *floodBackend) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	io.Copy(io.Discard, request.Body)
	b.requests.Add(1)
	b.mu.Lock()
	form, status := b.form, b.status
	b.mu.Unlock()
	first, again := form.parts(status, request.Header.Get("X-Request-Id"), b.id)
	if _, err := io.WriteString(conn, first); err != nil || again == "" {
		return
	}
	for block := []byte(again); ; {
		n, err := conn.Write(block)
		b.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// openConns returns how many callers the backend still has.
func (b *floodBackend) openConns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// close ends the backend.
func (b *floodBackend) close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		conn.Close()
	}
}

// awaitCallersGone waits until no caller is connected, and returns how many are after a time.
func (b *floodBackend) awaitCallersGone(limit time.Duration) (open int) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(tryEvery) {
		if b.openConns() == 0 {
			return 0
		}
	}
	return b.openConns()
}
