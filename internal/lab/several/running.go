package several

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one process of the program, be it a mixer's or a control relay's.
type process struct {
	Name, Site string

	w          *World
	index      int
	cmd        *exec.Cmd
	ended      chan error
	halted     bool // by SIGSTOP
	mu         sync.Mutex
	lives      int       // starts so far
	began, put time.Time // its latest start, its latest SIGTERM
}

// run starts the program with arguments and more of an environment.
func (p *process) run(env []string, args ...string) error {
	w := p.w
	log, err := os.OpenFile(filepath.Join(w.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.Program, args...)
	cmd.Env = append(append(os.Environ(), "NETTLEFOLD_LOG="), env...)
	cmd.Stderr = log
	// A process ends with the rig, also where the rig is killed and can end nothing, and also where it is stopped itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	// Beside other tests the processes step back; no verdict hangs on how fast they are.
	syscall.Setpriority(syscall.PRIO_PROCESS, cmd.Process.Pid, 10)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	p.mu.Lock()
	p.cmd, p.ended, p.began = cmd, ended, time.Now()
	p.lives++
	p.mu.Unlock()
	w.net.runs(p.Name, true)
	w.net.trouble(p.Name, false)
	return nil
}

// Kill ends the process as a crash does.
func (p *process) Kill() error {
	p.w.net.trouble(p.Name, true)
	p.signal(syscall.SIGKILL)
	err := p.wait()
	p.w.net.runs(p.Name, false)
	return err
}

// Leave has the process end by SIGTERM, and fails where it does not end by itself, or not with 0.
func (p *process) Leave() error {
	p.mu.Lock()
	p.put = time.Now()
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	err := p.wait()
	p.w.net.runs(p.Name, false)
	if err != nil {
		p.w.Book.Break("a process leaves and ends with 0", "%s: %v", p.Name, err)
	}
	return nil
}

// Stop halts the process where it is; Continue has it go on.
func (p *process) Stop() error {
	p.w.net.trouble(p.Name, true)
	p.halted = true
	return p.signal(syscall.SIGSTOP)
}

// Continue has the process go on.
func (p *process) Continue() error {
	err := p.signal(syscall.SIGCONT)
	p.halted = false
	p.mu.Lock()
	p.began = time.Now() // it has heard nothing until now
	p.mu.Unlock()
	p.w.net.trouble(p.Name, false)
	return err
}

func (p *process) signal(s syscall.Signal) error {
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.Name)
	}
	return p.cmd.Process.Signal(s)
}

// wait waits for the process to end.
func (p *process) wait() error {
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.Name)
	}
	select {
	case err := <-p.ended:
		p.cmd = nil
		if e, ok := err.(*exec.ExitError); ok && e.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL {
			return nil // by us: a kill of the system's has no other sign, and the log ends there
		}
		return err
	case <-time.After(p.w.Limit):
		p.signal(syscall.SIGKILL)
		return fmt.Errorf("%s does not end", p.Name)
	}
}

// running tells whether the process is there and has not ended by itself.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case err := <-p.ended:
		p.ended <- err
		return false
	default:
		return true
	}
}

// since gives when it began or went on, and when it was told to leave last.
func (p *process) since() (began, put time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.began, p.put
}

// life gives the number of its latest start.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// Ask asks the admin listener, which is no party to any cut: the rig looks, it does not take part.
func (p *process) Ask(path string) ([]byte, error) {
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + p.w.address(p.index, portAdmin) + path)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s of %s: %d %s", path, p.Name, r.StatusCode, raw)
	}
	return raw, err
}

// Log gives the end of the process's log, over all its lives.
func (p *process) Log(most int) string {
	raw, _ := os.ReadFile(filepath.Join(p.w.dir, p.Name+".log"))
	return string(raw[max(0, len(raw)-most):])
}

// here tells whether the process runs and is not halted.
func (p *process) here() bool { return !p.halted && p.running() }
