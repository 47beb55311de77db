package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// process is one of the machine's that the rig has started. It never outlives the rig.
type process struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	ended chan struct{}
	err   error // of its end

	mu sync.Mutex // of one order and its reply
}

// start starts a process whose log goes to a file of the directory, after what is there.
func start(dir, name string, piped bool, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Stderr = log
	// It ends with the rig, also where the rig is killed and can end nothing, and also where it is halted itself.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if piped {
		if p.in, err = p.cmd.StdinPipe(); err != nil {
			return nil, err
		}
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		p.out = bufio.NewReaderSize(out, 1<<20)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if !piped {
		go func() {
			p.err = p.cmd.Wait()
			close(p.ended)
		}()
	}
	return p, nil
}

// ask gives an order and waits for its reply.
func (p *process) ask(o order) (r reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := json.NewEncoder(p.in).Encode(o); err != nil {
		return r, fmt.Errorf("hollow mixers: %w", err)
	}
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return r, fmt.Errorf("hollow mixers have ended: %w", err)
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return r, err
	}
	if r.Error != "" {
		err = errors.New(r.Error)
	}
	return r, err
}

// kill ends a process as a crash does, and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Kill()
	if p.in != nil {
		p.in.Close()
		p.cmd.Wait()
		return
	}
	<-p.ended
}
