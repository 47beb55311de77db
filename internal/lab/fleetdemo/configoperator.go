package fleetdemo

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// How the play's operator sends configurations.
const (
	operatorTimeout  = 3 * time.Second  // of one call
	operatorPatience = 15 * time.Second // until it counts a configuration as unclear
	invalidTries     = 8
	readsGap         = 100 * time.Millisecond
	slowChunks       = 5 // of a slow upload
	slowChunkGap     = 80 * time.Millisecond
	mostLostAckDelay = 40 * time.Millisecond
)

// configOperator changes the configuration again and again.
type configOperator struct {
	play    *configPlay
	random  *rand.Rand
	current modelledConfig // the newest that is known to be in force
}

// run sends configurations until done is closed.
func (o *configOperator) run(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(o.play.options.LeastGap + rand.N(o.play.options.LeastGap)):
		}
		if o.random.IntN(2) == 0 {
			o.sendInvalid()
		}
		o.step()
	}
}

// step sends the next configuration in one of several ways.
func (o *configOperator) step() {
	next := nextConfig(o.random, &o.current, o.play.options.Plain)
	number := o.play.addConfig(next, o.current.Version)
	switch o.random.IntN(6) {
	case 0:
		o.sendAndHangUp(number)
	case 1:
		o.sendHalf(number)
	case 2:
		o.sendSlowly(number)
	case 3:
		o.race(number)
		return
	}
	o.settle(number, o.sendUntilClear(number))
}

// settle takes over what a configuration's calls brought. Where they brought nothing clear, the operator reads what
// is in force.
func (o *configOperator) settle(number int, outcome callOutcome) {
	sent := o.play.config(number)
	switch outcome {
	case outcomeAcknowledged:
		o.current = sent.Config
		if o.random.IntN(3) == 0 {
			o.sendAgain(number)
		}
	case outcomeRefused: // rightly, if an unclear one came into force before
		if o.current = o.readCurrent(); o.current.Version == sent.Base {
			o.play.addRefused(fmt.Sprintf("version %d on top of %d, which is in force", sent.Config.Version, sent.Base))
		}
	default:
		o.current = o.readCurrent()
	}
}

// callOutcome is what the operator knows after its calls.
type callOutcome int

const (
	outcomeUnclear callOutcome = iota
	outcomeAcknowledged
	outcomeRefused
)

// sendUntilClear sends a configuration unchanged to one controller after the other until it is acknowledged or
// refused.
func (o *configOperator) sendUntilClear(number int) callOutcome {
	sent := o.play.config(number)
	controller := o.random.IntN(o.play.options.Controllers)
	for until := time.Now().Add(operatorPatience); time.Now().Before(until); controller++ {
		switch status := o.play.put(controller, sent.Base, strings.NewReader(sent.Text)); {
		case status == http.StatusOK:
			o.play.acknowledge(number)
			return outcomeAcknowledged
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return outcomeRefused
		}
		time.Sleep(tryEvery)
	}
	return outcomeUnclear
}

// sendAgain sends an acknowledged configuration once more. It must not be refused.
func (o *configOperator) sendAgain(number int) {
	sent := o.play.config(number)
	status := o.play.put(o.random.IntN(o.play.options.Controllers), sent.Base, strings.NewReader(sent.Text))
	if status >= 400 && status < 500 {
		o.play.addRefused(fmt.Sprintf("version %d with %d, which was acknowledged and sent again", sent.Config.Version, status))
	}
}

// race sends a configuration and another one on the same base at the same time, and takes over the one that is in
// force.
func (o *configOperator) race(number int) {
	rival := o.play.addConfig(nextConfig(o.random, &o.current, o.play.options.Plain), o.current.Version)
	other := &configOperator{play: o.play, random: rand.New(rand.NewPCG(o.random.Uint64(), 0)), current: o.current}
	var outcomes [2]callOutcome
	var both sync.WaitGroup
	both.Go(func() { outcomes[0] = o.sendUntilClear(number) })
	both.Go(func() { outcomes[1] = other.sendUntilClear(rival) })
	both.Wait()
	numbers := [2]int{number, rival}
	for i := range outcomes {
		if outcomes[i] == outcomeAcknowledged && outcomes[1-i] == outcomeRefused {
			o.play.lose(numbers[1-i])
			o.current = o.play.config(numbers[i]).Config
			return
		}
	}
	o.current = o.readCurrent()
}

// sendInvalid sends an invalid configuration, which must not be acknowledged.
func (o *configOperator) sendInvalid() {
	next := nextConfig(o.random, &o.current, o.play.options.Plain)
	changes := invalidChanges
	if o.play.options.Plain {
		changes = plainInvalidChanges
	}
	invalid := changes[o.random.IntN(len(changes))]
	text := invalid.change(next.text(), &o.current)
	for try := range invalidTries {
		status := o.play.put(o.random.IntN(o.play.options.Controllers)+try, o.current.Version, strings.NewReader(text))
		if status == http.StatusOK {
			o.play.addInvalid(invalid.name)
			o.current = o.readCurrent()
		}
		if status >= 200 && status < 500 {
			o.play.countInvalid()
			return
		}
		time.Sleep(tryEvery)
	}
}

// sendAndHangUp sends a configuration and closes the connection before the answer comes.
func (o *configOperator) sendAndHangUp(number int) {
	o.upload(number, func(conn net.Conn, text string) {
		io.WriteString(conn, text)
		time.Sleep(time.Duration(o.random.Int64N(int64(mostLostAckDelay))))
	})
}

// sendHalf sends half of a configuration and closes the connection.
func (o *configOperator) sendHalf(number int) {
	o.upload(number, func(conn net.Conn, text string) { io.WriteString(conn, text[:len(text)/2]) })
}

// sendSlowly sends a configuration in pieces with pauses, and hangs up after the last.
func (o *configOperator) sendSlowly(number int) {
	o.upload(number, func(conn net.Conn, text string) {
		for i := range slowChunks {
			io.WriteString(conn, text[len(text)*i/slowChunks:len(text)*(i+1)/slowChunks])
			time.Sleep(slowChunkGap)
		}
	})
}

// upload sends the head of a PUT to a controller, has write send of the text what it wants, and closes the connection
// without reading an answer. It does nothing where the controller can't be reached.
func (o *configOperator) upload(number int, write func(conn net.Conn, text string)) {
	sent := o.play.config(number)
	addr := controlAddr(o.random.IntN(o.play.options.Controllers))
	conn, err := net.DialTimeout("tcp", addr, operatorTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(operatorTimeout))
	fmt.Fprintf(conn, "PUT /v1/configuration HTTP/1.1\r\nHost: %s\r\nIf-Match: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", addr, sent.Base, len(sent.Text))
	write(conn, sent.Text)
}

// put sends a configuration to a controller and returns the status, 0 if no answer came.
func (p *configPlay) put(controller int, base int64, body io.Reader) int {
	request, err := http.NewRequest(http.MethodPut, "http://"+controlAddr(controller%p.options.Controllers)+"/v1/configuration", body)
	if err != nil {
		return 0
	}
	request.Header.Set("If-Match", fmt.Sprint(base))
	response, err := p.operatorClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// readCurrent reads the configuration in force until a controller answers, and returns what was meant by it. An
// unclear one that isn't in force now may come into force later: it then builds on an older version.
func (o *configOperator) readCurrent() modelledConfig {
	for until := time.Now().Add(operatorPatience); time.Now().Before(until); time.Sleep(tryEvery) {
		text := o.play.read(o.random.IntN(o.play.options.Controllers))
		if sent, known := o.play.configOfText(text); known {
			return sent.Config
		}
	}
	return o.current
}

// read reads the configuration at a controller and records the answer. It returns "" if there was none.
func (p *configPlay) read(controller int) string {
	sent := time.Now()
	response, err := p.operatorClient.Get("http://" + controlAddr(controller) + "/v1/configuration")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Reads = append(p.record.Reads, readBack{controller, sent, time.Now(), string(text)})
	return string(text)
}

// readAll reads the configuration at each controller in turn until done is closed.
func (p *configPlay) readAll(done chan struct{}) {
	for controller := 0; ; controller = (controller + 1) % p.options.Controllers {
		select {
		case <-done:
			return
		case <-time.After(readsGap):
		}
		p.read(controller)
	}
}
