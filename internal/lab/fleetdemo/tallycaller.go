package fleetdemo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// What the callers of tallies do.
const (
	tallyCallers  = 3
	tallyNames    = 4
	tallyReads    = 0.4                   // share of calls that read
	tallyMostBy   = 9                     // of one add
	tallyEvery    = 50 * time.Millisecond // between two calls of one caller
	tallyCallTime = time.Second           // without an answer the caller turns to the next controller
	tallyAttempts = 6                     // of one add, at controllers in turn
	tallyEndTime  = 10 * time.Second      // in which a tally is to be readable when all is quiet
	tallyContract = "contracts=apart"     // of the settings
)

// tallyCall is one call of a tally's API, and what came of it. Status 0: no answer in time.
type tallyCall struct {
	Read       bool
	Tally      string
	ID         string // of an add; a repeat has the same
	By, Total  int64
	Controller int
	Sent, End  time.Time
	Status     int
}

// tallyCaller adds to tallies and reads them, at one controller until that fails.
type tallyCaller struct {
	soak   *soak
	number int
	random *rand.Rand
	at     int // the controller that it calls
	sent   int
	http   *http.Client
}

func newTallyCaller(s *soak, number int) *tallyCaller {
	return &tallyCaller{
		soak: s, number: number, at: number % s.world.size.controllers, http: &http.Client{Timeout: tallyCallTime},
		random: rand.New(rand.NewPCG(s.seed, uint64(1<<32+number))),
	}
}

// run calls until it is stopped.
func (c *tallyCaller) run(done chan struct{}) {
	defer c.http.CloseIdleConnections()
	for {
		select {
		case <-done:
			return
		case <-time.After(tallyEvery):
		}
		name := tallyName(c.random.IntN(tallyNames))
		if c.random.Float64() < tallyReads {
			c.turn(c.call(tallyCall{Read: true, Tally: name}))
			continue
		}
		c.sent++
		c.add(tallyCall{Tally: name, ID: fmt.Sprintf("%d-%d", c.number, c.sent), By: 1 + c.random.Int64N(tallyMostBy)})
	}
}

func tallyName(i int) string { return fmt.Sprint("tally-", i+1) }

// add sends an add to controllers in turn until one acknowledges it.
func (c *tallyCaller) add(call tallyCall) {
	for range tallyAttempts {
		answered := c.call(call)
		c.turn(answered)
		if answered.Status == http.StatusOK {
			return
		}
	}
}

// turn turns to the next controller after a call that failed.
func (c *tallyCaller) turn(call tallyCall) {
	if call.Status != http.StatusOK {
		c.at = (c.at + 1) % c.soak.world.size.controllers
	}
}

// call makes one call, and notes it.
func (c *tallyCaller) call(call tallyCall) tallyCall {
	call.Controller, call.Sent = c.at, time.Now()
	call.Status, call.Total = c.exchange(call)
	call.End = time.Now()
	c.soak.mu.Lock()
	c.soak.record.Tallies = append(c.soak.record.Tallies, call)
	c.soak.mu.Unlock()
	return call
}

// exchange gives the status of a call, 0 without an answer, and the total of a read.
func (c *tallyCaller) exchange(call tallyCall) (status int, total int64) {
	method, body := http.MethodPost, fmt.Sprintf(`{"id":%q,"by":%d}`, call.ID, call.By)
	if call.Read {
		method, body = http.MethodGet, ""
	}
	request, err := http.NewRequest(method, "http://"+controlAddr(call.Controller)+"/v1/tallies/"+call.Tally, bytes.NewBufferString(body))
	if err != nil {
		return 0, 0
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return 0, 0
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, 0
	}
	var read struct{ Total *int64 }
	if call.Read && answer.StatusCode == http.StatusOK {
		if json.Unmarshal(text, &read) != nil || read.Total == nil {
			return http.StatusBadGateway, 0
		}
		total = *read.Total
	}
	return answer.StatusCode, total
}

// endTallies waits for the time of a merge, and reads all tallies at each controller.
func (s *soak) endTallies() {
	time.Sleep(soakMergeLimit + s.lag.slack())
	quiet := time.Now()
	s.readTallies()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Quiet = quiet
}

// readTallies reads all tallies at each controller. What cannot be read in time is left out.
func (s *soak) readTallies() {
	for controller := range s.world.size.controllers {
		c := newTallyCaller(s, tallyCallers+controller)
		for name := range tallyNames {
			for until := time.Now().Add(tallyEndTime); time.Now().Before(until); time.Sleep(tallyEvery) {
				c.at = controller
				if c.call(tallyCall{Read: true, Tally: tallyName(name)}).Status == http.StatusOK {
					break
				}
			}
		}
		c.http.CloseIdleConnections()
	}
}
