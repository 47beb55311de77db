package fleetdemo

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Clients that show which configuration is in force.
const (
	probeKeys       = 6
	probeTimeout    = 2 * time.Second
	probeGap        = 40 * time.Millisecond // at most, between two writes to one of fullRateFronts fronts
	fullRateFronts  = 3                     // with more of them, each is asked less often
	pipelinedAtMost = 4                     // requests that are written before the first answer is read
	reconnectAfter  = 50 * time.Millisecond
)

// configProber asks one front on a connection that it keeps for as long as the front does, several requests at a
// time.
type configProber struct {
	play   *configPlay
	front  int
	number int
	random *rand.Rand
	sent   int
}

// run asks until done is closed.
func (c *configProber) run(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", frontAddr(c.front), probeTimeout)
		if err != nil {
			time.Sleep(reconnectAfter)
			continue
		}
		c.useConnection(conn, done)
		conn.Close()
	}
}

// useConnection asks on a connection until it fails or done is closed.
func (c *configProber) useConnection(conn net.Conn, done chan struct{}) {
	reader := bufio.NewReader(conn)
	for {
		select {
		case <-done:
			return
		case <-time.After(rand.N(probeGap * time.Duration(max(1, c.play.options.Fronts/fullRateFronts)))):
		}
		conn.SetDeadline(time.Now().Add(probeTimeout))
		probes, err := c.write(conn)
		if err != nil {
			return
		}
		for _, p := range probes {
			response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
			if err != nil {
				return
			}
			io.Copy(io.Discard, response.Body)
			p.End = time.Now()
			p.Answer = probeAnswer{response.StatusCode, response.Header.Get(servedByHeader), response.Header.Get(servedTenant), response.Header.Get(servedForKey)}
			c.play.addProbe(p)
			if response.Close {
				return
			}
		}
	}
}

// write writes some requests in a row.
func (c *configProber) write(conn net.Conn) (probes []probe, err error) {
	text := ""
	for range 1 + c.random.IntN(pipelinedAtMost) {
		p := probe{Front: c.front, Place: c.random.IntN(len(places)), Key: c.drawKey()}
		c.sent++
		at := places[p.Place]
		text += fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %d-%d-%d\r\nX-Request-Deadline-Ms: 1500\r\nX-Tenant-Name: pretended\r\nContent-Length: 3\r\n",
			at.Path, at.RequestHost, c.front, c.number, c.sent)
		if p.Key != "" {
			text += "Api-Key: " + p.Key + "\r\n"
		}
		text += "\r\nask"
		probes = append(probes, p)
	}
	now := time.Now()
	for i := range probes {
		probes[i].Sent = now
	}
	_, err = conn.Write([]byte(text))
	return probes, err
}

// drawKey returns a key that tenants may have, sometimes one that none ever has, or "".
func (c *configProber) drawKey() string {
	switch n := c.random.IntN(probeKeys + 2); n {
	case probeKeys:
		return ""
	case probeKeys + 1:
		return "key-of-nobody"
	default:
		return keyName(n)
	}
}

func keyName(n int) string { return fmt.Sprint("key-", n) }
