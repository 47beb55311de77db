package fleetdemo

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	listenPoll = 5 * time.Millisecond
	// killDelay is how long after its grace a process that was told to end is killed.
	killDelay = time.Second
)

// processLife is what the parent of a process saw of it.
type processLife struct {
	Name      string // of machine and program
	IP        string // of its machine
	Started   time.Time
	Listening time.Time // since when it listens at all of its addresses; zero: it doesn't
	Told      time.Time // when it was first told to end, by SIGTERM; zero: it was not
	Killed    time.Time // when it was killed; zero: it was not
	Ended     time.Time // zero: it runs
	State     string    // in which it ended

	PeakBytes  int64     // the most resident memory that was seen
	OverMemory time.Time // when it was killed as its memory was over the limit; zero: it was not
}

// process is a program of the fleet that runs, or has run.
type process struct {
	command *exec.Cmd
	program string
	addrs   []string      // at which it listens
	ended   chan struct{} // closed when it has ended

	mu   sync.Mutex
	life processLife
}

// startProcess starts a program by a command. It is the process with a name, on the machine with an address.
func startProcess(command *exec.Cmd, program, name, ip string, addrs []string) (*process, error) {
	p := &process{command: command, program: program, addrs: addrs, ended: make(chan struct{})}
	p.life = processLife{Name: name, IP: ip, Started: time.Now()}
	if err := command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.ended)
		command.Wait()
		p.note(func(life *processLife) { life.Ended, life.State = time.Now(), command.ProcessState.String() })
	}()
	return p, nil
}

// note changes what is known of the process.
func (p *process) note(change func(life *processLife)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.life)
}

// seen returns what is known of the process.
func (p *process) seen() processLife {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// endsWithin reports whether the process ends within a time.
func (p *process) endsWithin(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// hasEnded returns the error that the process has ended by itself.
func (p *process) hasEnded() error {
	return fmt.Errorf("%s ended by itself: %v", p.program, p.seen().State)
}

// kill ends the process as a loss of power would, and waits until it has ended.
func (p *process) kill() {
	p.note(func(life *processLife) { life.Killed = time.Now() })
	p.command.Process.Kill()
	<-p.ended
}

// tellToEnd sends SIGTERM.
func (p *process) tellToEnd() {
	p.note(func(life *processLife) {
		if life.Told.IsZero() {
			life.Told = time.Now()
		}
	})
	p.command.Process.Signal(syscall.SIGTERM)
}

// end tells the process to end, kills it if it has not done so some time after its grace, and waits until it has ended. Without a grace
// it is killed at once.
func (p *process) end(grace time.Duration) {
	if grace > 0 {
		p.tellToEnd()
		p.endsWithin(grace + killDelay)
	}
	p.kill()
}

// watchListening notes when the process listens at all of its addresses.
func (p *process) watchListening() {
	for _, addr := range p.addrs {
		for !isListening(addr) {
			if p.endsWithin(listenPoll) {
				return
			}
		}
	}
	p.note(func(life *processLife) { life.Listening = time.Now() })
}

// isListening reports whether somebody accepts connections at an address.
func isListening(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// ownsHangup reports whether the process has replaced the default action of SIGHUP, by ignoring or catching it.
func (p *process) ownsHangup() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return false
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, mask, _ := strings.Cut(line, ":")
		var bits uint64
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		if _, err := fmt.Sscanf(strings.TrimSpace(mask), "%x", &bits); err == nil && bits>>(syscall.SIGHUP-1)&1 == 1 {
			return true
		}
	}
	return false
}

// hangUp sends SIGHUP in series from the first moment at which the process has replaced the signal's default. What comes before, while
// the kernel and the dynamic loader prepare the process, no program can do anything about. It returns once it has sent the series, or the
// process has ended.
func (p *process) hangUp(signals int) {
	for !p.ownsHangup() {
		if p.endsWithin(0) {
			return
		}
	}
	for range signals {
		p.command.Process.Signal(syscall.SIGHUP)
		if p.endsWithin(hangupInterval) {
			return
		}
	}
}

// hangupInterval is the time between two SIGHUP of a series.
const hangupInterval = 500 * time.Microsecond

// awaitListening waits until the process listens at all of its addresses. It fails if the process ends before.
func (s *process) awaitListening() error {
	deadline := time.Now().Add(startLimit)
	for _, addr := range s.addrs {
		for !isListening(addr) {
			switch {
			case s.endsWithin(startPoll):
				return s.hasEnded()
			case time.Now().After(deadline):
				return fmt.Errorf("%s doesn't listen at %s within %v", s.program, addr, startLimit)
			}
		}
	}
	return nil
}

// stop sends SIGTERM, and fails if the process doesn't end by itself with status 0 within its grace.
func (s *process) stop() error {
	defer s.kill()
	select {
	case <-s.ended:
		return s.hasEnded()
	default:
	}
	s.tellToEnd()
	if !s.endsWithin(startGrace) {
		return fmt.Errorf("%s doesn't end within %v of SIGTERM", s.program, startGrace)
	}
	if !s.command.ProcessState.Success() {
		return fmt.Errorf("%s ended on SIGTERM with %v", s.program, s.command.ProcessState)
	}
	return nil
}

// listens waits until a process listens, and kills it.
func (s *process) listens() error {
	defer s.kill()
	return s.awaitListening()
}

// listensAndStops waits until a process listens and ends it by SIGTERM.
func (s *process) listensAndStops() error {
	if err := s.awaitListening(); err != nil {
		s.kill()
		return err
	}
	return s.stop()
}
