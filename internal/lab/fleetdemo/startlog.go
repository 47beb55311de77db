package fleetdemo

import (
	"errors"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// startWithoutLogReader starts a role whose standard error is a pipe that nobody reads any more, and ends it.
func (p *startPlay) startWithoutLogReader(role startRole) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer writer.Close()
	reader.Close()
	s, err := p.start(role, writer)
	if err != nil {
		return err
	}
	return s.listensAndStops()
}

// startWithFullLog starts a role whose standard error is a pipe that is full, and ends it.
func (p *startPlay) startWithFullLog(role startRole) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer reader.Close()
	defer writer.Close()
	if err := fillPipe(writer); err != nil {
		return err
	}
	s, err := p.start(role, writer)
	if err != nil {
		return err
	}
	return s.listensAndStops()
}

// fillPipe writes to a pipe until it takes no more.
func fillPipe(writer *os.File) error {
	fd := int(writer.Fd())
	if err := unix.SetNonblock(fd, true); err != nil {
		return err
	}
	defer unix.SetNonblock(fd, false)
	for line := []byte(strings.Repeat("x", 1<<10)); len(line) > 0; {
		_, err := unix.Write(fd, line)
		switch {
		case errors.Is(err, unix.EAGAIN):
			line = line[:len(line)/2]
		case err != nil:
			return err
		}
	}
	return nil
}
