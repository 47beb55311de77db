package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestListHeadWithoutEndIsGivenUp: a call to discovery whose response has a head without end fails after a bounded number of
// bytes.
func TestListHeadWithoutEndIsGivenUp(t *testing.T) {
	const acceptedLimit = 16 << 20
	near, far := net.Pipe()
	accepted := make(chan int)
	go func() {
		defer far.Close()
		http.ReadRequest(bufio.NewReader(far))
		io.WriteString(far, "HTTP/1.1 200 OK\r\nX-Long: ")
		sent := 0
		for text := strings.Repeat("x", 4096); sent < acceptedLimit; {
			n, err := io.WriteString(far, text)
			if sent += n; err != nil {
				break
			}
		}
		accepted <- sent
	}()
	w := &Watch{Discovery: "discovery.example:80", dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if body, err := w.get(ctx, "/list"); err == nil {
		body.Close()
		t.Error("no error")
	}
	if ctx.Err() != nil {
		t.Error("ended by its deadline")
	}
	if sent := <-accepted; sent >= maxListHeaderBytes*4 {
		t.Errorf("%d bytes were read", sent)
	}
}
