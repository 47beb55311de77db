package several

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/settings"
)

// Ports of a party, each of which has an address of its own, and below those that the system hands out.
const (
	portServe, portAdmin, portGossip, portAgent = 9000, 9001, 9002, 9003
	portWire, portGossipWire                    = 10000, 11000 // and the number of who comes
)

// Mixer is one process of the program, with the agent of its machine.
type Mixer struct {
	Name, Site string
	Agent      *Agent

	w          *World
	index      int
	searchers  map[string]string // addresses by which it reaches them
	routes     map[string]string // addresses by which it reaches the others' gossip
	cmd        *exec.Cmd
	ended      chan error
	halted     bool // by SIGSTOP
	mu         sync.Mutex
	began, put time.Time // its latest start, its latest SIGTERM
}

// address gives the address of a party's port.
func (w *World) address(index, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.block, index+1, port)
}

// Start starts the process with the list as its agent has it. It does not wait until it is healthy.
func (m *Mixer) Start() error {
	w := m.w
	config := object{"name": m.Name, "listen": w.address(m.index, portServe),
		"seed":      fmt.Sprintf("%016x", w.Seed<<16+int64(m.index)),
		"discovery": w.address(m.index, portAgent), "limits": object{"cores": 1.0, "memory_mb": 64, "sockets": 1024},
		"known": m.Agent.list.Whole(), "settings": w.settings(m)}
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	paths := []string{filepath.Join(w.dir, m.Name+".json"), filepath.Join(w.dir, m.Name+".xml")}
	if err := os.WriteFile(paths[0], raw, 0o600); err != nil {
		return err
	}
	own := fmt.Sprintf(`<nettlefold xmlns="%s"><logging level="info"/><listeners><admin address="%s"/></listeners>%s</nettlefold>`,
		settings.Namespace, w.address(m.index, portAdmin), w.fleet(m))
	if err := os.WriteFile(paths[1], []byte(own), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.Program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+paths[0], "NETTLEFOLD_SETTINGS="+paths[1], "NETTLEFOLD_LOG=")
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
	m.mu.Lock()
	m.cmd, m.ended, m.began = cmd, ended, time.Now()
	m.mu.Unlock()
	w.net.runs(m.Name, true)
	w.net.trouble(m.Name, false)
	return nil
}

// Kill ends the process as a crash does.
func (m *Mixer) Kill() error {
	m.w.net.trouble(m.Name, true)
	m.signal(syscall.SIGKILL)
	err := m.wait()
	m.w.net.runs(m.Name, false)
	return err
}

// Leave has the process end by SIGTERM, and fails where it does not end by itself, or not with 0.
func (m *Mixer) Leave() error {
	m.mu.Lock()
	m.put = time.Now()
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	err := m.wait()
	m.w.net.runs(m.Name, false)
	if err != nil {
		m.w.Book.Break("a process leaves and ends with 0", "%s: %v", m.Name, err)
	}
	return nil
}

// Stop halts the process where it is; Continue has it go on.
func (m *Mixer) Stop() error {
	m.w.net.trouble(m.Name, true)
	m.halted = true
	return m.signal(syscall.SIGSTOP)
}

// Continue has the process go on.
func (m *Mixer) Continue() error {
	err := m.signal(syscall.SIGCONT)
	m.halted = false
	m.mu.Lock()
	m.began = time.Now() // it has heard nothing until now
	m.mu.Unlock()
	m.w.net.trouble(m.Name, false)
	return err
}

func (m *Mixer) signal(s syscall.Signal) error {
	if m.cmd == nil {
		return fmt.Errorf("%s does not run", m.Name)
	}
	return m.cmd.Process.Signal(s)
}

// wait waits for the process to end.
func (m *Mixer) wait() error {
	if m.cmd == nil {
		return fmt.Errorf("%s does not run", m.Name)
	}
	select {
	case err := <-m.ended:
		m.cmd = nil
		if e, ok := err.(*exec.ExitError); ok && e.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL {
			return nil // by us: a kill of the system's has no other sign, and the log ends there
		}
		return err
	case <-time.After(m.w.Limit):
		m.signal(syscall.SIGKILL)
		return fmt.Errorf("%s does not end", m.Name)
	}
}

// running tells whether the process is there and has not ended by itself.
func (m *Mixer) running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case err := <-m.ended:
		m.ended <- err
		return false
	default:
		return true
	}
}

// since gives when it began or went on, and when it was told to leave last.
func (m *Mixer) since() (began, put time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.began, m.put
}

// Ask asks the admin listener, which is no party to any cut: the rig looks, it does not take part.
func (m *Mixer) Ask(path string) ([]byte, error) {
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.w.address(m.index, portAdmin) + path)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s of %s: %d %s", path, m.Name, r.StatusCode, raw)
	}
	return raw, err
}

// sees gives how a mixer sees the others: here, doubted, cut off or gone, that of the liveliest life of each name.
func (m *Mixer) sees() (map[string]string, error) {
	raw, err := m.Ask("/fleet")
	if err != nil {
		return nil, err
	}
	var told struct {
		Members []struct{ Name, State string }
	}
	if err := json.Unmarshal(raw, &told); err != nil {
		return nil, err
	}
	all, order := map[string]string{}, []string{"", "gone", "cut off", "doubted", "here"}
	for _, o := range told.Members {
		if slices.Index(order, o.State) > slices.Index(order, all[o.Name]) {
			all[o.Name] = o.State
		}
	}
	return all, nil
}

// judges gives how a mixer judges the sites: kind, and whether it is declared.
func (m *Mixer) judges() (map[string]judged, error) {
	raw, err := m.Ask("/fleet")
	if err != nil {
		return nil, err
	}
	var told struct {
		Tables []struct {
			Name  string
			State json.RawMessage
		}
	}
	if err := json.Unmarshal(raw, &told); err != nil {
		return nil, err
	}
	all := map[string]judged{}
	for _, t := range told.Tables {
		var rows []judged
		if t.Name == "sites" && json.Unmarshal(t.State, &rows) == nil { // before its first round it has no rows
			for _, r := range rows {
				all[r.Site] = r
			}
		}
	}
	return all, nil
}

type judged struct {
	Site, Kind string
	Declared   bool
}

// Log gives the end of the process's log, over all its lives.
func (m *Mixer) Log(most int) string {
	raw, _ := os.ReadFile(filepath.Join(m.w.dir, m.Name+".log"))
	return string(raw[max(0, len(raw)-most):])
}

// entry gives a searcher's entry of the list as this mixer is told it.
func (m *Mixer) entry(s *Searcher, status string) toy.Member {
	e := s.toy.Entry(status)
	e.Address, e.Since = m.searchers[s.Name], float64(s.bornAt().UnixMilli())
	if s.bornAt().IsZero() {
		e.Since = 0
	}
	return e
}
