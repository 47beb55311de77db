package fleetdemo

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

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
