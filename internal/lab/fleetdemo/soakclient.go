package fleetdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// What clients of a soak do.
const (
	leaves        = 0.06 // share of requests whose client leaves midway
	asksOnce      = 0.4  // share on the route whose requests run once
	asksExtra     = 0.2  // share on the newest configuration's own route, or that of one before
	http10Every   = 4    // of a front's clients, one of so many speaks HTTP/1.0
	unreachedWait = 100 * time.Millisecond
)

// soakClient is a client that keeps its connection for as long as the front does.
type soakClient struct {
	soak   *soak
	front  int
	number int
	random *rand.Rand
	http   *http.Client
	sent   int
}

func newSoakClient(s *soak, front, number int) *soakClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}
	return &soakClient{
		soak: s, front: front, number: number, http: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(s.seed, uint64(1+front*1000+number))),
	}
}

// run asks until it is stopped.
func (c *soakClient) run(done chan struct{}) {
	defer c.http.CloseIdleConnections()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.random.IntN(60)) * time.Millisecond):
		}
		a := c.ask()
		c.soak.mu.Lock()
		c.soak.record.Asks = append(c.soak.record.Asks, a)
		c.soak.mu.Unlock()
		if a.Outcome == outcomeNoReach {
			time.Sleep(unreachedWait)
		}
	}
}

// draw chooses what to ask for next.
func (c *soakClient) draw() (a ask, path string) {
	c.sent++
	c.soak.mu.Lock()
	config := c.soak.config
	c.soak.mu.Unlock()
	a = ask{ID: fmt.Sprintf("%d-%d-%d", c.front, c.number, c.sent), Front: c.front, Deadline: shortestDeadline}
	switch kind := c.random.Float64(); {
	case kind < asksOnce:
		return a, "/once/"
	case kind < asksOnce+asksExtra:
		a.Repeats, a.Extra = true, max(1, config-c.random.IntN(3))
		return a, extraPath(a.Extra)
	}
	a.Repeats = true
	return a, "/again/"
}

// request returns what is sent for an ask, about a prompt that is drawn.
func (c *soakClient) request(a ask, path string) streamRequest {
	return streamRequest{
		id: a.ID, path: path + "x", key: fmt.Sprint("key-", 1+c.number%soakTenants), front: c.front,
		prompt: fmt.Sprintf("sys:500,doc%d:800,%s:200", c.random.IntN(prompts), a.ID),
	}
}

// ask sends one request and reads its answer to the end.
func (c *soakClient) ask() ask {
	a, path := c.draw()
	if c.number%http10Every == http10Every-1 {
		return c.askHTTP10(a, path)
	}
	ctx, leave := context.WithTimeout(context.Background(), 2*shortestDeadline)
	defer leave()
	left := false
	if c.random.Float64() < leaves {
		timer := time.AfterFunc(time.Duration(c.random.IntN(200))*time.Millisecond, func() { leave() })
		defer timer.Stop()
		left = true
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+frontAddr(c.front)+path+"x", io.NopCloser(strings.NewReader("a question")))
	if err != nil {
		a.Outcome = outcomeNoReach
		return a
	}
	request.ContentLength = int64(len("a question"))
	request.Host = "demo.example"
	request.Header = c.request(a, path).header(shortestDeadline)
	a.Sent = time.Now()
	answer, err := c.http.Do(request)
	c.note(&a, answer, err)
	a.End = time.Now()
	if left && ctx.Err() != nil {
		a.Outcome = outcomeLeft
	}
	return a
}

// note books the answer.
func (c *soakClient) note(a *ask, answer *http.Response, err error) {
	if err != nil {
		a.Outcome = outcomeCut
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			a.Outcome = outcomeNoReach
		}
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	c.noteBody(a, streamAnswer{answer.StatusCode, answer.Header.Get("X-Response-Seal"), string(text), err == nil, err})
}

// noteBody books an answer whose head was read.
func (c *soakClient) noteBody(a *ask, answer streamAnswer) {
	a.Status = answer.status
	a.Outcome = outcomeServed
	switch {
	case !answer.complete:
		a.Outcome = outcomeCut
	case answer.status != http.StatusOK:
		a.Outcome = outcomeAnswer
	}
	if answer.status != http.StatusOK {
		return
	}
	missing := 0
	a.Mismatch, missing = streamMismatch(c.soak.form(a.ID).text(a.ID, 0), answer.body)
	a.OwnPart = a.Outcome == outcomeServed && a.Mismatch == "" && strings.HasSuffix(answer.seal, "/"+a.ID)
	a.Whole = a.OwnPart && missing == 0
}

// askHTTP10 sends one request in HTTP/1.0 and reads its answer to the end of the connection.
func (c *soakClient) askHTTP10(a ask, path string) ask {
	request := c.request(a, path)
	request.http10 = true
	a.Sent = time.Now()
	answer := request.ask(shortestDeadline)
	a.End = time.Now()
	if answer.status == 0 {
		c.note(&a, nil, answer.err)
		return a
	}
	c.noteBody(&a, answer)
	return a
}
