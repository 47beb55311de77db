package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/fleet/desk"
)

// teller tells a relay of this mixer. Its connection is kept for a while, for the telling that follows on a version.
type teller struct {
	dial  dialer
	times times

	mu     sync.Mutex
	kept   net.Conn // unused just now, nil: none
	to     string   // its address
	unused *time.Timer
}

// conn gives the kept connection to an address, nil where there is none.
func (t *teller) conn(address string) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	nc := t.kept
	if nc == nil {
		return nil
	}
	t.kept = nil
	t.unused.Stop()
	if t.to != address {
		nc.Close()
		return nil
	}
	return nc
}

func (t *teller) keep(nc net.Conn, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept, t.to = nc, address
	t.unused = time.AfterFunc(t.times.kept, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.kept == nc {
			nc.Close()
			t.kept = nil
		}
	})
}

// close lets the kept connection go.
func (t *teller) close() {
	if nc := t.conn(""); nc != nil {
		nc.Close()
	}
}

// post tells a relay once, as the goodbye of a session that is named, by the connection that is kept or else by a new one. It takes a dial's time and twice a telling's at most.
func (t *teller) post(ctx context.Context, address string, self control.Self, bye string) error {
	raw, err := cbor.Marshal(self)
	if err != nil {
		return err
	}
	body, more := desk.Said(tableSelf, raw), ""
	if bye != "" {
		more = headerBye + ": 1\r\n" + headerSession + ": " + bye + "\r\n"
	}
	return t.put(ctx, address, pathSelf, more, body)
}

// put posts a body once, by the connection that is kept or else by a new one.
func (t *teller) put(ctx context.Context, address, path, more string, body []byte) (err error) {
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n%s\r\n%s", path, address, len(body), more, body)
	if nc := t.conn(address); nc != nil {
		if err = t.send(ctx, nc, address, text); err == nil || ctx.Err() != nil {
			return err
		}
	}
	within, done := context.WithTimeout(ctx, t.times.dial)
	nc, err := t.dial(within, "tcp", address)
	done()
	if err != nil {
		return err
	}
	return t.send(ctx, nc, address, text)
}

// send sends one request on a connection, and keeps it where the answer is as it should be.
func (t *teller) send(ctx context.Context, nc net.Conn, address string, text []byte) error {
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(t.times.tell))
	err := exchange(nc, text)
	if !stop() || err != nil {
		nc.Close()
		return err
	}
	t.keep(nc, address)
	return nil
}

func exchange(nc net.Conn, text []byte) error {
	if _, err := nc.Write(text); err != nil {
		return err
	}
	head := &io.LimitedReader{R: &patient{Conn: nc}, N: mostHeader}
	resp, err := http.ReadResponse(bufio.NewReaderSize(head, smallBuffer), nil)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusNoContent {
		return refused(resp)
	}
	return nil
}
