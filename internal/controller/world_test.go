package controller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/settings/local"
	"nettlefold/internal/simtest"
)

// testPort is the first port of the machines.
const testPort = 7340

// testCluster runs complete controllers with their goroutines, stores and HTTP servers in a
// synctest bubble, where time advances only while all goroutines wait. The machines communicate
// over an in-memory network that can delay and cut links.
type testCluster struct {
	t         *testing.T
	dir       string
	contracts []string
	machines  map[string]*testMachine
	agents    map[string][]*testAgent // by IP of the machine in whose zone they are

	network *simtest.Network
	mu      sync.Mutex // guards calls
	start   time.Time
	calls   []simtest.Call
}

// testMachine is a core machine and the controller that runs on it, if one does.
type testMachine struct {
	ip         string
	settings   *local.Settings
	controller *Controller
	stop       context.CancelFunc
	done       chan struct{}
}

// newTestCluster starts a cluster of n machines.
func newTestCluster(t *testing.T, n int) *testCluster { return newTestClusterWithContracts(t, n) }

// newTestClusterWithContracts starts a cluster of n machines under the given contracts.
func newTestClusterWithContracts(t *testing.T, n int, contracts ...string) *testCluster {
	w := &testCluster{
		t: t, dir: t.TempDir(), contracts: contracts, machines: map[string]*testMachine{}, agents: map[string][]*testAgent{},
		network: simtest.NewNetwork(), start: time.Now(),
	}
	for i := range n {
		w.addMachine(i+1, true)
	}
	return w
}

// ipOf returns the address of machine i, counted from 1.
func ipOf(i int) string { return fmt.Sprintf("10.0.0.%d", i) }

// addMachine adds a machine with an empty disk and starts it.
func (w *testCluster) addMachine(i int, first bool) {
	ip := ipOf(i)
	settings := &local.Settings{
		NodeName: "core-" + ip, IP: ip, Zone: "zone-" + ip, Zones: map[string]string{"x": "r", "y": "r"}, ControlAddr: ip + ":8783",
		FirstStart: first, Contracts: w.contracts, MemoryMB: 256,
		FirstPort: testPort, LastPort: testPort + 10, MachineFaultTolerance: 1,
		DataDirectory: filepath.Join(w.dir, fmt.Sprint(i, "-", len(w.calls), "-", time.Now().UnixNano())),
	}
	for seed := 1; seed <= 3; seed++ {
		settings.Seeds = append(settings.Seeds, ipOf(seed)+":8783")
	}
	settings.Bounds.Grace = 8 * time.Second
	w.machines[ip] = &testMachine{ip: ip, settings: settings}
	w.startMachine(ip)
}

// startMachine starts a machine's controller on its present disk.
func (w *testCluster) startMachine(ip string) {
	m := w.machines[ip]
	c, err := newWithNetwork(w.network.Host(ip), m.settings, zerolog.Nop())
	require.NoError(w.t, err)
	ctx, stop := context.WithCancel(context.Background())
	m.controller, m.stop, m.done = c, stop, make(chan struct{})
	go func() {
		defer close(m.done)
		if err := c.Run(ctx); err != nil {
			w.t.Error(err)
		}
	}()
}

// stopMachine stops a machine's controller: gracefully, or abruptly without any message to others.
func (w *testCluster) stopMachine(ip string, graceful bool) {
	m := w.machines[ip]
	if !graceful {
		w.setIsolated(true, ip)
		// Before the stop: otherwise the event loop may begin to hand off with the whole grace period.
		require.NoError(w.t, m.controller.runInLoop(context.Background(), func() { m.controller.settings.Bounds.Grace = 0 }))
	}
	m.stop()
	<-m.done
	m.controller.pool.Close()
	m.controller.store.Close()
	w.network.CloseHost(ip)
	if !graceful {
		w.setIsolated(false, ip)
	}
}

// close stops all machines and agents.
func (w *testCluster) close() {
	w.stopAgents()
	for ip := range w.machines {
		if m := w.machines[ip]; m.controller != nil {
			select {
			case <-m.done:
			default:
				w.stopMachine(ip, false)
			}
		}
	}
	time.Sleep(simtest.Settled)
}

// setIsolated cuts all links of a machine, including those of the operator, or restores them.
func (w *testCluster) setIsolated(cut bool, ip string) {
	for other := range w.machines {
		w.setLinkCut(cut, ip, other)
		w.setLinkCut(cut, other, ip)
	}
	w.setLinkCut(cut, ip, operatorIP)
	w.setLinkCut(cut, operatorIP, ip)
}

// setIsolatedFromCore cuts or restores the links between the given machines, with the agents in their
// zones, and the others. The operator still reaches all of them.
func (w *testCluster) setIsolatedFromCore(cut bool, ips ...string) {
	w.setOutgoingCut(cut, ips...)
	w.setIncomingCut(cut, ips...)
}

// setOutgoingCut cuts or restores the links from the given machines, with the agents in their zones, to the
// others.
func (w *testCluster) setOutgoingCut(cut bool, ips ...string) {
	inside, outside := w.sides(ips)
	for _, from := range inside {
		for _, to := range outside {
			w.setLinkCut(cut, from, to)
		}
	}
}

// setIncomingCut cuts or restores the links to the given machines, with the agents in their zones, from the
// others.
func (w *testCluster) setIncomingCut(cut bool, ips ...string) {
	inside, outside := w.sides(ips)
	for _, from := range outside {
		for _, to := range inside {
			w.setLinkCut(cut, from, to)
		}
	}
}

// sides returns the given machines and all others, each with the agents in their zones.
func (w *testCluster) sides(ips []string) (inside, outside []string) {
	for ip := range w.machines {
		if slices.Contains(ips, ip) {
			inside = append(inside, w.zoneIPs(ip)...)
		} else {
			outside = append(outside, w.zoneIPs(ip)...)
		}
	}
	return inside, outside
}

// setLinkCut cuts or restores the link in one direction.
func (w *testCluster) setLinkCut(cut bool, from, to string) { w.network.Cut(cut, from, to) }

// putConfig writes a configuration at a machine and records the call for the linearizability check.
func (w *testCluster) putConfig(ip string, base, version int64, mark string) simtest.Outcome {
	body := configDocument(int(version), "s")
	body = strings.Replace(body, "as sent", mark, 1)
	call := simtest.Call{Write: true, Base: base, Version: version, Body: body, Start: time.Since(w.start)}
	status, _ := w.request(ip, http.MethodPut, "/v1/configuration", fmt.Sprint(base), body)
	switch status {
	case http.StatusOK:
		call.Outcome = simtest.Taken
	case http.StatusPreconditionFailed, http.StatusBadRequest:
		call.Outcome = simtest.Refused
	}
	w.recordCall(call)
	return call.Outcome
}

// getConfig reads the configuration at a machine and records the call; ok is false if there was no
// response.
func (w *testCluster) getConfig(ip string) (version int64, ok bool) {
	call := simtest.Call{Outcome: simtest.Taken, Start: time.Since(w.start)}
	status, text := w.request(ip, http.MethodGet, "/v1/configuration", "", "")
	switch status {
	case http.StatusOK:
		fmt.Sscanf(text, `{"version":%d`, &call.Version)
		call.Body = text
	case http.StatusNotFound:
	default:
		return 0, false
	}
	w.recordCall(call)
	return call.Version, true
}

// recordCall records a call that ends now.
func (w *testCluster) recordCall(call simtest.Call) {
	call.End = time.Since(w.start)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
}

// commitWithin reports whether a write could be committed at any running machine within a time
// limit.
func (w *testCluster) commitWithin(limit time.Duration, random *rand.Rand) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		for ip, m := range w.machines {
			select {
			case <-m.done:
				continue
			default:
			}
			version, ok := w.getConfig(ip)
			if ok && w.putConfig(ip, version, version+1, fmt.Sprint("last ", random.Uint64())) == simtest.Taken {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// requireLinearizable checks that the recorded calls are linearizable.
func (w *testCluster) requireLinearizable() {
	w.t.Helper()
	require.True(w.t, simtest.Linearizable(w.calls), "the operator's calls are not linearizable")
}

// storeFile returns the path of the newest file of a machine's store.
func (w *testCluster) storeFile(ip string) string {
	files, err := filepath.Glob(filepath.Join(w.machines[ip].settings.DataDirectory, "state-*.db"))
	require.NoError(w.t, err)
	return files[len(files)-1]
}

// corruptStore flips a bit in the middle of a machine's store.
func (w *testCluster) corruptStore(ip string) {
	path := w.storeFile(ip)
	text, err := os.ReadFile(path)
	require.NoError(w.t, err)
	text[len(text)/2] ^= 2
	require.NoError(w.t, os.WriteFile(path, text, 0o644))
}

// operatorIP is the address from which the operator's calls come.
const operatorIP = "10.0.9.9"

// operatorTimeout is the time after which the operator tries another machine.
const operatorTimeout = time.Second

// request sends one call of the operator to a machine and returns the status, 0 if there was no
// answer in time, and the body.
func (w *testCluster) request(ip, method, path, match, body string) (status int, text string) {
	network := w.network.Host(operatorIP)
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return network.Dial(ctx, addr) },
	}}
	request, err := http.NewRequest(method, "http://"+ip+":8783"+path, strings.NewReader(body))
	require.NoError(w.t, err)
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var b strings.Builder
	if _, err := io.Copy(&b, response.Body); err != nil {
		return 0, ""
	}
	return response.StatusCode, b.String()
}
