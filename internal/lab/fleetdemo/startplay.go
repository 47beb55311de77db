package fleetdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"nettlefold/internal/rpc"
)

// Times of a play of starts.
const (
	startLimit    = 5 * time.Second        // in which a program has to listen once nothing hinders it
	startGrace    = 4 * time.Second        // that the settings give a program to end
	hindranceTime = 500 * time.Millisecond // that whatever hinders a start lasts
	startPoll     = 2 * time.Millisecond
	fileMode      = 0o644
)

// startRole is a program of the fleet and the addresses at which it listens.
type startRole struct {
	program, name, ip string
	addrs             []string
	settings          func(w *world, more ...string) (path string, err error)
}

// startRoles returns the programs of the fleet, one of each, on the machines with a number.
func startRoles(machine int) []startRole {
	frontName := fmt.Sprint("front-", machine+1)
	front := func(w *world, more ...string) (string, error) {
		return w.settings(frontName, frontIP(machine), zoneOf(machine), true,
			append([]string{"listen_addresses.front=" + frontAddr(machine), "listen_addresses.ready=" + readyAddr(machine)}, more...)...)
	}
	core := func(w *world, more ...string) (string, error) {
		return w.settings(controllerName(machine), controllerIP(machine), zoneOf(machine), true, append([]string{
			"listen_addresses.control=" + controlAddr(machine), "counts_for_quorum=true", "data_directory=" + w.controllerDisk(machine)}, more...)...)
	}
	return []startRole{
		{"controller", controllerName(machine), controllerIP(machine), controllerAddrs(machine), core},
		{"agent", frontName, frontIP(machine), agentAddrs(machine), front},
		{"proxy", frontName, frontIP(machine), proxyAddrs(machine), front},
	}
}

// startPlay starts programs of the fleet while something hinders them.
type startPlay struct {
	world *world
}

func newStartPlay(program string) (*startPlay, error) {
	dir, err := os.MkdirTemp("", "starts")
	if err != nil {
		return nil, err
	}
	bounds := []string{fmt.Sprint("bounds.grace_s=", startGrace.Seconds())}
	return &startPlay{&world{dir: dir, program: program, size: size{controllers: 3, fronts: 1}, bounds: bounds, running: map[string]*process{}}}, nil
}

func (p *startPlay) close() { os.RemoveAll(p.world.dir) }

// start writes a role's settings and starts it. Its standard error goes to log; nil: to a file.
func (p *startPlay) start(role startRole, log *os.File) (*process, error) {
	settings, err := role.settings(p.world)
	if err != nil {
		return nil, err
	}
	return p.startWith(role, settings, log)
}

// startWith starts a role with a settings file.
func (p *startPlay) startWith(role startRole, settings string, log *os.File) (*process, error) {
	if log == nil {
		file, err := os.OpenFile(filepath.Join(p.world.dir, role.program+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		log = file
	}
	return p.run(role, settings, log, exec.Command(p.world.program, role.program))
}

// run starts a role by a command.
func (p *startPlay) run(role startRole, settings string, log *os.File, command *exec.Cmd) (*process, error) {
	command.Env = append(os.Environ(), "NETTLEFOLD_SETTINGS="+settings)
	command.Stderr = log
	return startProcess(command, role.program, role.name, role.ip, role.addrs)
}

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

// startBehindListeners starts a role while its addresses are held by listeners, as by its life before.
func (p *startPlay) startBehindListeners(role startRole) error {
	var held []io.Closer
	for _, addr := range role.addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		held = append(held, listener)
	}
	return p.startBehind(role, held)
}

// startBehindConnections starts a role while outgoing connections have its addresses as their own.
func (p *startPlay) startBehindConnections(role startRole) error {
	sink, err := net.Listen("tcp", listAddr())
	if err != nil {
		return err
	}
	defer sink.Close()
	var held []io.Closer
	for _, addr := range role.addrs {
		local, err := net.ResolveTCPAddr("tcp", addr)
		if err != nil {
			return err
		}
		conn, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", listAddr())
		if err != nil {
			return err
		}
		conn.(*net.TCPConn).SetLinger(0) // so that the address is free at once
		held = append(held, conn)
	}
	return p.startBehind(role, held)
}

// startBehind starts a role and lets go of what holds its addresses a while later.
func (p *startPlay) startBehind(role startRole, held []io.Closer) error {
	s, err := p.start(role, nil)
	if err != nil {
		return err
	}
	ended := s.endsWithin(hindranceTime)
	for _, h := range held {
		h.Close()
	}
	if ended {
		return s.hasEnded()
	}
	return s.listensAndStops()
}

// stopBehindListeners ends a program that waits for its addresses.
func (p *startPlay) stopBehindListeners(role startRole) error {
	for _, addr := range role.addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		defer listener.Close()
	}
	s, err := p.start(role, nil)
	if err != nil {
		return err
	}
	time.Sleep(hindranceTime)
	return s.stop()
}

// startBesideFormerLife starts a controller while another one, whose addresses differ, has its data directory.
func (p *startPlay) startBesideFormerLife(role startRole) error {
	if role.program != "controller" {
		return nil
	}
	former, err := p.start(role, nil)
	if err != nil {
		return err
	}
	defer former.kill()
	if err := former.awaitListening(); err != nil {
		return err
	}
	disk := p.world.diskOf(role.name)
	const machine = firstStartMachine - 1
	other := startRole{program: "controller", name: controllerName(machine), ip: controllerIP(machine), addrs: []string{controlAddr(machine)}}
	settings, err := p.world.settings(other.name, other.ip, zoneOf(0), true, "listen_addresses.control="+controlAddr(machine), "data_directory="+disk)
	if err != nil {
		return err
	}
	next, err := p.startWith(other, settings, nil)
	if err != nil {
		return err
	}
	if next.endsWithin(hindranceTime) {
		return next.hasEnded()
	}
	if file := openFileIn(next.command.Process.Pid, disk); file != "" {
		next.kill()
		return fmt.Errorf("two controllers have the data directory open, the second one %s", file)
	}
	former.kill()
	return next.listens()
}

// startOnFullDisk starts a controller whose files may not grow, for a while.
func (p *startPlay) startOnFullDisk(role startRole) error {
	if role.program != "controller" {
		return nil
	}
	settings, err := role.settings(p.world)
	if err != nil {
		return err
	}
	nowhere, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer nowhere.Close()
	s, err := p.run(role, settings, nowhere, exec.Command("sh", "-c", `ulimit -S -f 0; exec "$0" "$1"`, p.world.program, role.program))
	if err != nil {
		return err
	}
	if s.endsWithin(hindranceTime) {
		return s.hasEnded()
	}
	unlimited := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(s.command.Process.Pid, unix.RLIMIT_FSIZE, &unlimited, nil); err != nil {
		return err
	}
	return s.listens()
}

// openFileIn returns a file in a directory that a process has open, "" if there is none.
func openFileIn(pid int, directory string) string {
	entries, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, entry := range entries {
		if path, err := os.Readlink(entry); err == nil && strings.HasPrefix(path, directory+"/") {
			return path
		}
	}
	return ""
}

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

// runOutOfDescriptors has a role accept connections until it has no descriptor left, and asks it again when it has some.
func (p *startPlay) runOutOfDescriptors(role startRole) error {
	const connections, margin = 60, 8
	s, err := p.start(role, nil)
	if err != nil {
		return err
	}
	defer s.kill()
	if err := s.awaitListening(); err != nil {
		return err
	}
	pid := s.command.Process.Pid
	var former unix.Rlimit
	open, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	limit := unix.Rlimit{Cur: uint64(len(open) + margin), Max: 1 << 12}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, &former); err != nil {
		return err
	}
	var conns []net.Conn
	for i := range connections {
		if conn, err := net.DialTimeout("tcp", role.addrs[i%len(role.addrs)], time.Second); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(hindranceTime / 2)
	for _, conn := range conns {
		conn.Close()
	}
	limit.Cur = limit.Max
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return err
	}
	time.Sleep(hindranceTime / 2)
	for _, addr := range role.addrs {
		if err := answers(addr); err != nil {
			return fmt.Errorf("%s is deaf at %s after it had run out of descriptors: %w", role.program, addr, err)
		}
	}
	return s.stop()
}

// answers asks at an address in HTTP, or in the fleet's own protocol if HTTP gets no answer.
func answers(addr string) error {
	const askLimit = 2 * time.Second
	conn, err := net.DialTimeout("tcp", addr, askLimit)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(askLimit))
	fmt.Fprintf(conn, "GET /v1/readiness HTTP/1.1\r\nHost: %s\r\n\r\n", addr)
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	client := rpc.NewClient(addr)
	defer client.Close()
	err = client.Call(ctx, "unknown kind", struct{}{}, nil)
	var refused *rpc.RemoteError // the program has read the call
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// startWithUnknownFields starts a role whose settings have fields that it doesn't know, with values of all kinds.
func (p *startPlay) startWithUnknownFields(role startRole) error {
	settings, err := role.settings(p.world)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(settings)
	if err != nil {
		return err
	}
	for _, unknown := range []string{
		`new.field=C:\users`, `new.field=\uZZZZ`, `new.field=ends with a backslash\`, "new.field=${ip}", "new.field=${new.field}", "=no name", "no value",
		"new.field=\xff\xfe", "new.field=" + strings.Repeat("x", 200<<10), "new:field=1", "new field=1", "#", "!", "new.field==", "\ufeffnew.field=1",
	} {
		if err := os.WriteFile(settings, []byte(unknown+"\n"+string(text)), fileMode); err != nil {
			return err
		}
		s, err := p.startWith(role, settings, nil)
		if err != nil {
			return err
		}
		if err := s.listens(); err != nil {
			return fmt.Errorf("settings that begin with %.40q: %w", unknown, err)
		}
	}
	return nil
}

// startWhileSettingsAreWritten starts a role while its settings file is missing, empty or written in part.
func (p *startPlay) startWhileSettingsAreWritten(role startRole) error {
	settings, err := role.settings(p.world)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(settings)
	if err != nil {
		return err
	}
	for _, part := range []int{-1, 0, len(text) / 3, len(text) - 3} {
		os.Remove(settings)
		if part >= 0 {
			if err := os.WriteFile(settings, text[:part], fileMode); err != nil {
				return err
			}
		}
		s, err := p.startWith(role, settings, nil)
		if err != nil {
			return err
		}
		if part < len(text)/2 {
			time.Sleep(hindranceTime)
		}
		if err := os.WriteFile(settings, text, fileMode); err != nil {
			return err
		}
		if err := s.listens(); err != nil {
			return fmt.Errorf("%d of %d bytes of the settings written: %w", part, len(text), err)
		}
	}
	return nil
}

// startCase is one hindrance of a start.
type startCase struct {
	name string
	play func(p *startPlay, role startRole) error
}

// startCases are the hindrances that a play of starts goes through.
var startCases = []startCase{
	{"hangups from the program's first instruction on", (*startPlay).hangUpEarly},
	{"addresses held by listeners", (*startPlay).startBehindListeners},
	{"addresses held by connections", (*startPlay).startBehindConnections},
	{"told to end while it waits for addresses", (*startPlay).stopBehindListeners},
	{"data directory of another process", (*startPlay).startBesideFormerLife},
	{"disk that takes no bytes", (*startPlay).startOnFullDisk},
	{"log whose reader is gone", (*startPlay).startWithoutLogReader},
	{"log that nobody reads", (*startPlay).startWithFullLog},
	{"no descriptors left", (*startPlay).runOutOfDescriptors},
	{"unknown settings", (*startPlay).startWithUnknownFields},
	{"settings being written", (*startPlay).startWhileSettingsAreWritten},
}

// firstStartMachine is the number of the machines on which the first hindrance is played. Each has machines of its own: an address on
// which a process has closed connections can't be bound for a minute but by a listener.
const firstStartMachine = 100

// PlayStarts starts each program of the fleet under each hindrance, one after the other, and reports what ended by itself, didn't start,
// or didn't end when told to. It fails if anything did.
func PlayStarts(program string, out io.Writer) error {
	broken := 0
	for number, c := range startCases {
		for _, role := range startRoles(firstStartMachine + number) {
			err := playStart(program, c, role)
			outcome := "held"
			if err != nil {
				outcome = err.Error()
				broken++
			}
			fmt.Fprintf(out, "%s, %s: %s\n", c.name, role.program, outcome)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d starts broken", broken)
	}
	return nil
}

// playStart plays one hindrance on one role with an empty disk.
func playStart(program string, c startCase, role startRole) error {
	p, err := newStartPlay(program)
	if err != nil {
		return err
	}
	defer p.close()
	return c.play(p, role)
}
