package fleetdemo

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// memoryPoll is how often the memory of a process is looked at.
const memoryPoll = 50 * time.Millisecond

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// watchMemory notes the most memory that the process has, until it ends. A process over the limit, in bytes, is killed, as
// the platform does it; 0: there is none.
func (p *process) watchMemory(limit int64) {
	for !p.endsWithin(memoryPoll) {
		resident := residentBytes(p.command.Process.Pid)
		p.note(func(life *processLife) { life.PeakBytes = max(life.PeakBytes, resident) })
		if limit > 0 && resident > limit {
			p.note(func(life *processLife) { life.OverMemory = time.Now() })
			p.command.Process.Kill()
			return
		}
	}
}

// onCore runs a function on one thread that is bound to a processor, so that a process started by it is bound too.
func onCore(core int, start func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	one.Set(core)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer unix.SchedSetaffinity(0, &before)
	return start()
}
