package fleetdemo

import (
	"syscall"
	"time"
)

// hangUpEarly sends SIGHUP again and again, soon after a start.
func (p *startPlay) hangUpEarly(role startRole) error {
	const starts, hangups = 5, 15
	for range starts {
		s, err := p.start(role, nil)
		if err != nil {
			return err
		}
		s.hangUp(hangups)
		if err := s.listens(); err != nil {
			return err
		}
	}
	return nil
}

// hangupMachine is the number of the machines whose programs HangupsAfter starts.
const hangupMachine = 0

// HangupsAfter starts a role so many times, sends SIGHUP a time after each start, and returns how many of the processes it ended.
func HangupsAfter(program, role string, delay time.Duration, starts int) (ended int, err error) {
	p, err := newStartPlay(program)
	if err != nil {
		return 0, err
	}
	defer p.close()
	for _, r := range startRoles(hangupMachine) {
		for range starts {
			if r.program != role {
				continue
			}
			s, err := p.start(r, nil)
			if err != nil {
				return ended, err
			}
			time.Sleep(delay)
			s.command.Process.Signal(syscall.SIGHUP)
			if s.awaitListening() != nil {
				ended++
			}
			s.kill()
		}
	}
	return ended, nil
}
