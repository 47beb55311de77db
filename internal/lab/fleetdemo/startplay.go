package fleetdemo

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"
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
