package fleetdemo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// streamRequest is one try of a client.
type streamRequest struct {
	id, path, key string
	front         int
	lastEvent     int    // to be continued after; 0: from the start
	prompt        string // parts of 1500 tokens in sum; "" for a short one of its own
	http10        bool   // the client speaks HTTP/1.0, so that the end of the connection is the end of an answer without a length
}

// streamAnswer is what a client got.
type streamAnswer struct {
	status   int
	seal     string
	body     string
	complete bool // by the client's reading of HTTP
	err      error
}

// header returns the header of a try.
func (r streamRequest) header(deadline time.Duration) http.Header {
	header := http.Header{}
	header.Set("X-Request-Id", r.id)
	header.Set("X-Model", model)
	header.Set("Api-Key", r.key)
	header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	prompt, usage := r.prompt, "1500,8"
	if prompt == "" {
		prompt, usage = fmt.Sprintf("sys:500,%s:200", streamKey(r.id)), "700,8"
	}
	header.Set("X-Prompt-Prefix", prompt)
	header.Set("X-Token-Usage", usage)
	if r.lastEvent > 0 {
		header.Set("Last-Event-Id", fmt.Sprint(r.lastEvent))
	}
	return header
}

// ask sends a try on a connection of its own and reads the answer to its end.
func (r streamRequest) ask(deadline time.Duration) (answer streamAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*deadline)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", frontAddr(r.front))
	if err != nil {
		return streamAnswer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * deadline))
	version := "HTTP/1.1"
	if r.http10 {
		version = "HTTP/1.0"
	}
	header := r.header(deadline)
	header.Set("Connection", "close")
	const body = "a question"
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s %s\r\nHost: demo.example\r\nContent-Length: %d\r\n", r.path, version, len(body))
	header.Write(&text)
	if _, err := io.WriteString(conn, text.String()+"\r\n"+body); err != nil {
		return streamAnswer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return streamAnswer{err: err}
	}
	raw, err := io.ReadAll(response.Body)
	return streamAnswer{response.StatusCode, response.Header.Get("X-Response-Seal"), string(raw), err == nil, err}
}
