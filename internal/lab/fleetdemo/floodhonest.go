package fleetdemo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Figures of what is long and honest, beside floods.
const (
	honestNumber     = 10 // place in the network of backends
	honestBodyBytes  = 48 << 20
	honestHeadFields = 150
	honestFieldBytes = 1000
	honestHints      = 100 // informational responses
	honestPause      = 20 * time.Millisecond
	honestDeadline   = 20 * time.Second
)

// Paths of the honest backend.
const (
	honestBody   = "/honest/body/x"
	honestStream = "/honest/stream/x"
	honestHead   = "/honest/head/x"
)

// honestBackend is a stand-in of a backend whose responses are long and end.
type honestBackend struct {
	addr, id     string
	streamLength time.Duration
	server       *http.Server
}

// newHonestBackend starts the backend. Its streams last for a time.
func newHonestBackend(streamLength time.Duration) (*honestBackend, error) {
	b := &honestBackend{addr: fmt.Sprint(loopbackIP(backendNet, honestNumber), ":", enginePort), id: "honest-1", streamLength: streamLength}
	listener, err := net.Listen("tcp", b.addr)
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(listener)
	return b, nil
}

// entry returns the backend's entry in the platform's list.
func (b *honestBackend) entry() any {
	return map[string]any{"id": b.id, "service": "honest", "address": b.addr, "zone": zoneOf(0), "slots": 64, "state": "ready",
		"models": []any{map[string]any{"name": model, "version": 1}}}
}

// ServeHTTP answers a request.
func (b *honestBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	head := w.Header()
	head.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	head.Set("X-Response-Seal", "honest/"+r.Header.Get("X-Request-Id"))
	switch r.URL.Path {
	case honestBody:
		head.Set("Content-Length", strconv.Itoa(honestBodyBytes))
		for block, sent := []byte(strings.Repeat("b", floodBlockBytes)), 0; sent < honestBodyBytes; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	case honestStream:
		head.Set("Content-Type", "text/event-stream")
		for number, until := 1, time.Now().Add(b.streamLength); time.Now().Before(until); number++ {
			fmt.Fprintf(w, "id: %d\ndata: token\n\n", number)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(honestPause)
		}
	case honestHead:
		for range honestHints {
			w.WriteHeader(http.StatusProcessing)
		}
		for number := range honestHeadFields {
			head.Set(fmt.Sprint("X-Field-", number), strings.Repeat("h", honestFieldBytes))
		}
		io.WriteString(w, "whole")
	}
}

// honestAnswer is what a client saw of an honest response.
type honestAnswer struct {
	bytes      int64
	fields     int
	longestGap time.Duration // between two reads of the body
}

// askHonest asks for an honest response and reads it to its end.
func askHonest(ctx context.Context, path, id string, front int) (answer honestAnswer, err error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", frontAddr(front))
	if err != nil {
		return answer, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * honestDeadline))
	var text strings.Builder
	fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: demo.example\r\nConnection: close\r\n", path)
	streamRequest{id: id, key: streamKey1}.header(honestDeadline).Write(&text)
	if _, err := io.WriteString(conn, text.String()+"\r\n"); err != nil {
		return answer, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("status %d", response.StatusCode)
	}
	answer.fields = len(response.Header)
	buffer, last := make([]byte, floodBlockBytes), time.Now()
	for {
		n, err := response.Body.Read(buffer)
		answer.bytes += int64(n)
		answer.longestGap, last = max(answer.longestGap, time.Since(last)), time.Now()
		if err == io.EOF {
			return answer, nil
		}
		if err != nil {
			return answer, err
		}
	}
}

// askHonestly asks for each kind of honest response, and notes those that were cut, incomplete or held up. It returns once done is
// closed and the last response has ended.
func (p *floodPlay) askHonestly(path string, done chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		default:
		}
		answer, err := askHonest(context.Background(), path, fmt.Sprintf("honest-%s-%d", strings.Split(path, "/")[2], number), 0)
		if err != nil {
			time.Sleep(tryEvery)
		}
		p.mu.Lock()
		p.result.honest++
		fault := ""
		switch {
		case err != nil:
			fault = err.Error()
		case path == honestBody && answer.bytes != honestBodyBytes:
			fault = fmt.Sprintf("%d bytes", answer.bytes)
		case path == honestHead && answer.fields < honestHeadFields:
			fault = fmt.Sprintf("%d fields", answer.fields)
		case path == honestStream:
			p.result.longestGap = max(p.result.longestGap, answer.longestGap)
		}
		if fault != "" {
			p.result.findings = append(p.result.findings, fmt.Sprintf("honest response %s: %s", path, fault))
		}
		p.mu.Unlock()
	}
}
