package fleetdemo

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Places on the loopback, and how many there are.
const (
	controlPort = 18783
	frontPort   = 18782
	readyPort   = 18789
	firstPort   = 17340
	enginePort  = 18080
	zones       = 2
	patience    = 20 * time.Second
	tryEvery    = 50 * time.Millisecond
)

// size is how many of each there are.
type size struct{ controllers, fronts, engines int }

var demoSize = size{controllers: 3, fronts: 2, engines: 4}

// demoBounds are the times of the demo, as a settings file has them.
var demoBounds = []string{"bounds.version_ms=15000", "bounds.lease_ms=1000", "bounds.grace_s=4"}

// world is the stand-ins and the processes.
type world struct {
	dir     string
	program string
	size    size
	bounds  []string
	engines *engines
	list    []*engine
	mu      sync.Mutex // of running and started
	running map[string]*process
	started []*process  // all of them, in their order
	net     *cutNetwork // nil: machines meet without a relay
	// pickProgram chooses the build for each start of a process; nil: program is the only one.
	pickProgram func() string
	backends    func() []any // further entries of the platform's list; nil: there are none
	memoryLimit int64        // bytes, over which a process is killed; 0: there is none
	// coreOf returns the processor to which the processes of a machine, by its address, are bound; nil: they are not bound.
	coreOf  func(ip string) int
	closing []func()
}

func controlAddr(i int) string { return fmt.Sprint(controllerIP(i), ":", controlPort) }
func frontAddr(i int) string   { return fmt.Sprint(frontIP(i), ":", frontPort) }
func readyAddr(i int) string   { return fmt.Sprint(frontIP(i), ":", readyPort) }
func engineAddr(i int) string  { return fmt.Sprint(loopbackIP(engineNet, i+1), ":", enginePort) }

// The addresses at which the programs of a machine listen.
func controllerAddrs(i int) []string {
	return []string{internalAddr(controllerIP(i), 0), controlAddr(i)}
}
func agentAddrs(i int) []string {
	return []string{internalAddr(frontIP(i), 0), internalAddr(frontIP(i), 1)}
}
func proxyAddrs(i int) []string { return []string{readyAddr(i), frontAddr(i)} }

// internalAddr is the address of a machine's internal port with a number.
func internalAddr(ip string, number int) string { return fmt.Sprint(ip, ":", firstPort+number) }

// Network is the second number of all loopback addresses of a fleet. Fleets of different networks run beside each other. It is set before
// the first fleet starts.
var Network uint8

// The third numbers of the addresses, by what has them.
const (
	controllerNet = 21
	frontNet      = 22
	engineNet     = 23
	platformNet   = 24
	backendNet    = 25
)

// loopbackIP returns an address of the network.
func loopbackIP(third, number int) string { return fmt.Sprintf("127.%d.%d.%d", Network, third, number) }

// Addresses of the platform's list and of the relay by which machines are cut off.
func listAddr() string  { return loopbackIP(platformNet, 1) + ":18784" }
func relayAddr() string { return loopbackIP(platformNet, 1) + ":18785" }

func controllerIP(i int) string { return loopbackIP(controllerNet, i+1) }
func frontIP(i int) string      { return loopbackIP(frontNet, i+1) }
func isController(ip string) bool {
	return strings.HasPrefix(ip, fmt.Sprintf("127.%d.%d.", Network, controllerNet))
}

func zoneOf(i int) string { return fmt.Sprint("zone-", i%zones) }

func newWorld(program string, of size, bounds []string) (*world, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: program, size: of, bounds: bounds, running: map[string]*process{}, engines: &engines{all: map[string]*engine{}, runs: map[string]int{}}}
	for i := range of.engines {
		e, err := newEngine(w.engines, fmt.Sprint("i-", i+1), engineAddr(i))
		if err != nil {
			return nil, err
		}
		w.list = append(w.list, e)
		w.closing = append(w.closing, e.close)
	}
	return w, w.servePlatform()
}

// servePlatform serves the list of backends.
func (w *world) servePlatform() error {
	listener, err := net.Listen("tcp", listAddr())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(answer http.ResponseWriter, _ *http.Request) {
		instances := []any{}
		for i, e := range w.list {
			e.mu.Lock()
			version, id, state := e.version, e.id, "ready"
			if e.draining {
				state = "draining"
			}
			e.mu.Unlock()
			instances = append(instances, map[string]any{
				"id": id, "service": "llm", "address": e.addr, "zone": zoneOf(i), "slots": 64, "state": state,
				"models": []any{map[string]any{"name": model, "version": version}},
			})
		}
		if w.backends != nil {
			instances = append(instances, w.backends()...)
		}
		writeJSON(answer, map[string]any{"instances": instances, "next_page_token": nil})
	})}
	go server.Serve(listener)
	w.closing = append(w.closing, func() { server.Close() })
	return nil
}

// settings writes the settings file of a machine.
func (w *world) settings(name, ip, zone string, firstStart bool, more ...string) (string, error) {
	var seeds []string
	for i := range w.size.controllers {
		seeds = append(seeds, controlAddr(i))
	}
	lines := append([]string{
		"node_name=" + name, "ip=" + ip, "zone=" + zone, "region=here", "zones.zone-0=here", "zones.zone-1=here",
		"seeds=" + strings.Join(seeds, ","), fmt.Sprintf("internal_port_range=%d,%d", firstPort, firstPort+15), fmt.Sprint("first_start=", firstStart),
		"fault_tolerance.machines=1", "cloud.address=" + listAddr(), "cloud.rate_per_s=50", "cloud.lag_ms=100",
		"bounds.retry_budget_ratio=0.2", "bounds.retry_budget_slack=20",
		"bounds.budget_window_s=10", "bounds.cold_overshoot=1.5", "bounds.cold_slack=5",
	}, append(slices.Clone(w.bounds), more...)...)
	path := filepath.Join(w.dir, name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// start starts a program of the fleet, which listens at some addresses, on a machine.
func (w *world) start(program, name, ip, settings string, addrs ...string) error {
	log, err := os.OpenFile(filepath.Join(w.dir, name+"-"+program+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	executable := w.program
	if w.pickProgram != nil {
		executable = w.pickProgram()
	}
	command := exec.Command(executable, program)
	command.Env = append(os.Environ(), "NETTLEFOLD_SETTINGS="+settings)
	if w.net != nil {
		command.Env = append(command.Env, relayVariable+"="+relayAddr(), machineVariable+"="+ip)
	}
	command.Stdout, command.Stderr = log, log
	p, err := w.startBound(command, program, name+"-"+program, ip, addrs)
	if err != nil {
		return err
	}
	go p.watchListening()
	go p.watchMemory(w.memoryLimit)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[p.life.Name] = p
	w.started = append(w.started, p)
	return nil
}

// startBound starts a process on the processor of its machine.
func (w *world) startBound(command *exec.Cmd, program, name, ip string, addrs []string) (p *process, err error) {
	if w.coreOf == nil {
		return startProcess(command, program, name, ip, addrs)
	}
	err = onCore(w.coreOf(ip), func() error {
		p, err = startProcess(command, program, name, ip, addrs)
		return err
	})
	return p, err
}

func (w *world) startController(i int, first bool) error {
	name := controllerName(i)
	settings, err := w.settings(name, controllerIP(i), zoneOf(i), first,
		"listen_addresses.control="+controlAddr(i), "counts_for_quorum=true", "data_directory="+w.controllerDisk(i))
	if err != nil {
		return err
	}
	return w.start("controller", name, controllerIP(i), settings, controllerAddrs(i)...)
}

// controllerName returns the name of a controller's machine.
func controllerName(i int) string { return fmt.Sprint("core-", i+1) }

// controllerDisk returns the data directory of a controller.
func (w *world) controllerDisk(i int) string { return w.diskOf(controllerName(i)) }

// diskOf returns the data directory of the machine with a name.
func (w *world) diskOf(name string) string { return filepath.Join(w.dir, name) }

// loseDisk removes what a controller, which has ended, has on its disk.
func (w *world) loseDisk(i int) error { return os.RemoveAll(w.controllerDisk(i)) }

func (w *world) startFront(i int) error {
	name := fmt.Sprint("front-", i+1)
	settings, err := w.settings(name, frontIP(i), zoneOf(i), true,
		"listen_addresses.front="+frontAddr(i), "listen_addresses.ready="+readyAddr(i))
	if err != nil {
		return err
	}
	if err := w.start("agent", name, frontIP(i), settings, agentAddrs(i)...); err != nil {
		return err
	}
	return w.start("proxy", name, frontIP(i), settings, proxyAddrs(i)...)
}

// startAll starts the fleet for the first time.
func (w *world) startAll() error {
	for i := range w.size.controllers {
		if err := w.startController(i, true); err != nil {
			return err
		}
	}
	for i := range w.size.fronts {
		if err := w.startFront(i); err != nil {
			return err
		}
	}
	return nil
}

// endProcesses ends processes at the same time and waits until they are gone: by SIGTERM, and by SIGKILL some time after the grace; without
// a grace by SIGKILL.
func (w *world) endProcesses(grace time.Duration, names ...string) {
	var all sync.WaitGroup
	for _, name := range names {
		if p := w.take(name); p != nil {
			all.Go(func() { p.end(grace) })
		}
	}
	all.Wait()
}

// kill ends a process as a loss of power would, and waits until it is gone.
func (w *world) kill(name string) { w.endProcesses(0, name) }

// take gives a process that is to be ended, and forgets it; nil if it does not run.
func (w *world) take(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.running[name]
	delete(w.running, name)
	return p
}

// process returns a process that runs, nil if it was ended or never started.
func (w *world) process(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[name]
}

// lives returns what was seen of all processes.
func (w *world) lives() (lives []processLife) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.started {
		lives = append(lives, p.seen())
	}
	return lives
}

// names gives the processes that run.
func (w *world) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.running))
}

// close ends everything that was started here.
func (w *world) close() {
	for _, name := range w.names() {
		w.kill(name)
	}
	for _, end := range w.closing {
		end()
	}
	os.RemoveAll(w.dir)
}

// order sends the operator's call to the controllers in turn until one answers as wanted.
func (w *world) order(method, path, match, body string) error {
	client := &http.Client{Timeout: 2 * time.Second}
	last := "no answer"
	for i, until := 0, time.Now().Add(patience); time.Now().Before(until); i++ {
		request, err := http.NewRequest(method, "http://"+controlAddr(i%w.size.controllers)+path, bytes.NewBufferString(body))
		if err != nil {
			return err
		}
		request.Header.Set("If-Match", match)
		answer, err := client.Do(request)
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
			last = answer.Status
			if answer.StatusCode < 500 {
				return fmt.Errorf("%s %s: %s", method, path, last)
			}
		}
		time.Sleep(tryEvery)
	}
	return fmt.Errorf("%s %s: not acknowledged within %v, last %s", method, path, patience, last)
}

// await waits until a condition holds.
func await(what string, holds func() bool) error {
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(tryEvery) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, patience)
}

// ready tells whether a front calls itself ready.
func ready(i int) bool {
	answer, err := http.Get("http://" + readyAddr(i) + "/v1/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
