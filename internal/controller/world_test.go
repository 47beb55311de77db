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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/settings/local"
	"nettlefold/internal/simtest"
)

// A world plays whole controllers, their own code with its goroutines, store and HTTP, in a synctest bubble: time passes only when all wait,
// and the machines meet over a network in memory that delays, holds up and cuts.

const testPort = 7340

type testCluster struct {
	t         *testing.T
	dir       string
	contracts []string
	machines  map[string]*testMachine

	network *simtest.Network
	mu      sync.Mutex // of calls
	start   time.Time
	calls   []simtest.Call
}

// worldMachine is a core machine and the process that runs on it, if one does.
type testMachine struct {
	ip         string
	settings   *local.Settings
	controller *Controller
	stop       context.CancelFunc
	done       chan struct{}
}

func newTestCluster(t *testing.T, n int) *testCluster { return newTestClusterWithContracts(t, n) }

// newWorldOf is a world under more parts of the rules.
func newTestClusterWithContracts(t *testing.T, n int, contracts ...string) *testCluster {
	w := &testCluster{t: t, dir: t.TempDir(), contracts: contracts, machines: map[string]*testMachine{}, network: simtest.NewNetwork(), start: time.Now()}
	for i := range n {
		w.addMachine(i+1, true)
	}
	return w
}

func ipOf(i int) string { return fmt.Sprintf("10.0.0.%d", i) }

// add places a machine, with an empty disk, and starts it.
func (w *testCluster) addMachine(i int, first bool) {
	ip := ipOf(i)
	settings := &local.Settings{
		NodeName: "core-" + ip, IP: ip, Zone: "zone-" + ip, Zones: map[string]string{"x": "r", "y": "r"}, ControlAddr: ip + ":8783",
		FirstStart: first, Contracts: w.contracts, MemoryMB: 256, FirstPort: testPort, LastPort: testPort + 10, MachineFaultTolerance: 1, DataDirectory: filepath.Join(w.dir, fmt.Sprint(i, "-", len(w.calls), "-", time.Now().UnixNano())),
	}
	for seed := 1; seed <= 3; seed++ {
		settings.Seeds = append(settings.Seeds, ipOf(seed)+":8783")
	}
	settings.Bounds.Grace = 8 * time.Second
	w.machines[ip] = &testMachine{ip: ip, settings: settings}
	w.startMachine(ip)
}

// boot starts a machine's process on what is on its disk.
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

// end ends a machine's process: told to, with its grace, or at once and without a word.
func (w *testCluster) stopMachine(ip string, grace bool) {
	m := w.machines[ip]
	if !grace {
		w.setIsolated(true, ip)
		m.controller.enqueue(commandOther, func() { m.controller.settings.Bounds.Grace = 0 })
	}
	m.stop()
	<-m.done
	m.controller.pool.Close()
	m.controller.store.Close()
	w.network.CloseHost(ip)
	if !grace {
		w.setIsolated(false, ip)
	}
}

func (w *testCluster) close() {
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

// separate cuts a machine off from all others, or joins it again.
func (w *testCluster) setIsolated(cut bool, ip string) {
	for other := range w.machines {
		w.setLinkCut(cut, ip, other)
		w.setLinkCut(cut, other, ip)
	}
	w.setLinkCut(cut, ip, operatorIP)
	w.setLinkCut(cut, operatorIP, ip)
}

// separateCore cuts some machines off from the other machines; the operator reaches them on.
func (w *testCluster) setIsolatedFromCore(cut bool, ips ...string) {
	side := map[string]bool{}
	for _, ip := range ips {
		side[ip] = true
	}
	for a := range w.machines {
		for b := range w.machines {
			if side[a] != side[b] {
				w.setLinkCut(cut, a, b)
			}
		}
	}
}

func (w *testCluster) setLinkCut(cut bool, from, to string) { w.network.Cut(cut, from, to) }

// put writes a configuration at a machine and notes the call for the check of the history.
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

// get reads the configuration at a machine and notes it; false where no answer came.
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

func (w *testCluster) recordCall(call simtest.Call) {
	call.End = time.Since(w.start)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
}

// taken has a write taken by anybody, within so long.
func (w *testCluster) commitWithin(within time.Duration, random *rand.Rand) bool {
	end := time.Now().Add(within)
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

func (w *testCluster) requireLinearizable() {
	w.t.Helper()
	require.True(w.t, simtest.Linearizable(w.calls), "the operator's calls cannot be put in an order")
}

// storeFile is the newest file of a machine's store.
func (w *testCluster) storeFile(ip string) string {
	files, err := filepath.Glob(filepath.Join(w.machines[ip].settings.DataDirectory, "state-*.db"))
	require.NoError(w.t, err)
	return files[len(files)-1]
}

// damage flips a bit in the middle of a machine's store.
func (w *testCluster) corruptStore(ip string) {
	path := w.storeFile(ip)
	text, err := os.ReadFile(path)
	require.NoError(w.t, err)
	text[len(text)/2] ^= 2
	require.NoError(w.t, os.WriteFile(path, text, 0o644))
}

// operatorIP is where the operator's calls come from.
const operatorIP = "10.0.9.9"

// operatorPatience is when the operator turns elsewhere.
const operatorTimeout = time.Second

// ask sends one call of the operator to a machine: status 0 where no answer came in time.
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
	answer, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	var b strings.Builder
	if _, err := io.Copy(&b, answer.Body); err != nil {
		return 0, ""
	}
	return answer.StatusCode, b.String()
}
