package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/chain"
	"nettlefold/internal/distribute"
	"nettlefold/internal/replicated"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
)

// freePort returns a TCP port on which nothing listens.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// singleNodeSettings returns the settings of a core of one machine.
func singleNodeSettings(t *testing.T) *local.Settings {
	control := "127.0.0.1:" + strconv.Itoa(freePort(t))
	return &local.Settings{
		NodeName: "core-a-1", IP: "127.0.0.1", Zone: "a", Zones: map[string]string{"a": "r"}, ControlAddr: control, Seeds: []string{control},
		FirstStart: true, FirstPort: freePort(t), DataDirectory: t.TempDir(),
	}
}

// startController starts a controller and returns a function that stops it.
func startController(t *testing.T, settings *local.Settings) (stop func()) {
	t.Helper()
	c, err := newWithNetwork(rpc.TCP{}, settings, zerolog.Nop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended, listening := make(chan error, 1), make(chan struct{})
	go func() { ended <- c.Run(ctx) }()
	go func() {
		c.runInLoop(context.Background(), func() {}) // the event loop starts after all listeners
		close(listening)
	}()
	select {
	case <-listening:
	case err := <-ended:
		require.NoError(t, err, "controller failed to start")
	}
	return func() {
		cancel()
		require.NoError(t, <-ended)
		c.store.Close()
	}
}

// sendRequest sends a request to the operator's API and returns the status and the body.
func sendRequest(t *testing.T, settings *local.Settings, method, path, match, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+settings.ControlAddr+path, strings.NewReader(body))
	require.NoError(t, err)
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

// configDocument returns a configuration whose route refers to service.
func configDocument(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"host":"h","path_prefix":"/","timeout_ms":10,"service":%q}],`+
		`"services":[{"name":"s"}], "kept":"as sent"}`, version, service)
}

// TestOperatorAPI checks the responses of the operator's API, and that the configuration survives a
// restart.
func TestOperatorAPI(t *testing.T) {
	settings := singleNodeSettings(t)
	stop := startController(t, settings)
	put := func(match, body string) int {
		status, _ := sendRequest(t, settings, http.MethodPut, "/v1/configuration", match, body)
		return status
	}
	status, _ := sendRequest(t, settings, http.MethodGet, "/v1/configuration", "", "")
	require.Equal(t, 404, status, "no configuration yet")
	require.Equal(t, 200, put("0", configDocument(3, "s")))
	require.Equal(t, 200, put("0", configDocument(3, "s")), "the same write again")
	require.Equal(t, 412, put("0", configDocument(9, "s")), "another version on the same base")
	require.Equal(t, 412, put("2", configDocument(9, "s")), "a base that never existed")
	require.Equal(t, 400, put("3", configDocument(3, "s")), "a committed version with another base")
	require.Equal(t, 400, put("3", configDocument(4, "nowhere")))
	require.Equal(t, 400, put("3", configDocument(4, "s")[:20]))
	require.Equal(t, 400, put("three", configDocument(4, "s")))
	_, text := sendRequest(t, settings, http.MethodPut, "/v1/configuration", "3", configDocument(4, "nowhere"))
	require.Contains(t, text, "/routes/0/service")
	require.Equal(t, 200, put("3", configDocument(8, "s")))
	require.Equal(t, 200, put("0", configDocument(3, "s")), "a committed write is not refused later")
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{http.MethodPost, "/v1/evacuations/a", "", 200},
		{http.MethodPost, "/v1/evacuations/a", "", 200},
		{http.MethodPost, "/v1/evacuations/nowhere", "", 404},
		{http.MethodDelete, "/v1/evacuations/a", "", 200},
		{http.MethodPost, "/v1/version-put", `{"model":"m","version":2}`, 200},
		{http.MethodPost, "/v1/version-put", `{"model":"m","version":1}`, 200},
		{http.MethodPost, "/v1/version-put", `{"model":"m"}`, 400},
		{http.MethodPost, "/v1/version-put", `{`, 400},
		{http.MethodPost, "/v1/version-put", `{"model":"m","version":3,"Version":4}`, 400},
		{http.MethodPost, "/v1/version-put", `{"model":"m","model":"n","version":3}`, 400},
		{http.MethodPost, "/v1/version-put", `{"model":"m","version":3}{}`, 400},
	} {
		status, _ := sendRequest(t, settings, c.method, c.path, "", c.body)
		require.Equal(t, c.status, status, "%s %s %s", c.method, c.path, c.body)
	}
	status, text = sendRequest(t, settings, http.MethodGet, "/v1/status", "", "")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"config_version": 8`)
	stop()

	stop = startController(t, settings) // restart on the same disk
	defer stop()
	status, text = sendRequest(t, settings, http.MethodGet, "/v1/configuration", "", "")
	require.Equal(t, 200, status)
	require.Equal(t, configDocument(8, "s"), text, "configuration must be unchanged byte for byte")
}

// TestReplicaIdentity: at the first start all machines derive the identity of a seed. Any other
// empty disk gets a new identity and belongs to no view.
func TestReplicaIdentity(t *testing.T) {
	seed := singleNodeSettings(t)
	c, err := newWithNetwork(rpc.TCP{}, seed, zerolog.Nop())
	require.NoError(t, err)
	require.Equal(t, chain.NodeID(seed.ControlAddr+seedIdentitySuffix), c.replica.Self().ID)
	require.Equal(t, uint64(1), c.replica.View().Epoch)
	c.store.Close()

	again := *seed
	again.FirstStart = false
	c, err = newWithNetwork(rpc.TCP{}, &again, zerolog.Nop())
	require.NoError(t, err)
	require.Equal(t, chain.NodeID(seed.ControlAddr+seedIdentitySuffix), c.replica.Self().ID, "identity is stored on disk")
	c.store.Close()

	lost := again
	lost.DataDirectory = t.TempDir()
	c, err = newWithNetwork(rpc.TCP{}, &lost, zerolog.Nop())
	require.NoError(t, err)
	require.NotEqual(t, chain.NodeID(seed.ControlAddr+seedIdentitySuffix), c.replica.Self().ID)
	require.Zero(t, c.replica.View().Epoch)
	require.False(t, c.replica.Serving())
	c.store.Close()

	elsewhere := *seed
	elsewhere.ControlAddr, elsewhere.DataDirectory = "127.0.0.1:1", t.TempDir()
	c, err = newWithNetwork(rpc.TCP{}, &elsewhere, zerolog.Nop())
	require.NoError(t, err)
	require.Zero(t, c.replica.View().Epoch, "epoch of a machine that is not a seed")
	c.store.Close()
}

// TestDamagedStoreGetsNewIdentity: a machine whose store is damaged keeps a copy of it and joins
// with a new identity, even if the settings still say that this is the first start.
func TestDamagedStoreGetsNewIdentity(t *testing.T) {
	settings := singleNodeSettings(t)
	c, err := newWithNetwork(rpc.TCP{}, settings, zerolog.Nop())
	require.NoError(t, err)
	c.tick()
	c.store.Close()
	files, err := filepath.Glob(filepath.Join(settings.DataDirectory, "*.db"))
	require.NoError(t, err)
	text, err := os.ReadFile(files[0])
	require.NoError(t, err)
	text[len(text)/2] ^= 0x40
	require.NoError(t, os.WriteFile(files[0], text, 0o644))
	c, err = newWithNetwork(rpc.TCP{}, settings, zerolog.Nop())
	require.NoError(t, err)
	require.NotEqual(t, chain.NodeID(settings.ControlAddr+seedIdentitySuffix), c.replica.Self().ID)
	require.Zero(t, c.replica.View().Epoch)
	c.store.Close()
	kept, err := os.ReadFile(filepath.Join(settings.DataDirectory, "damaged-"+filepath.Base(files[0])))
	require.NoError(t, err)
	require.Equal(t, text, kept)
}

// TestFailedWriteSendsNoConfirmation: a step whose records could not be synced must not confirm a
// read, and the controller is no longer current until the store is reopened.
func TestFailedWriteSendsNoConfirmation(t *testing.T) {
	settings := singleNodeSettings(t)
	c, err := newWithNetwork(rpc.TCP{}, settings, zerolog.Nop())
	require.NoError(t, err)
	c.tick()
	require.True(t, c.published.Load().current)
	c.store.Close() // every later write fails
	waiter := make(chan struct{})
	c.confirmationWaiters[77] = waiter
	c.applyOutput(chain.Output{Records: []chain.Record{{Meta: &chain.Meta{Identity: "x"}}}, ConfirmedReads: []uint64{77}})
	select {
	case <-waiter:
		t.Fatal("read was confirmed although the write failed")
	default:
	}
	require.False(t, c.published.Load().current)
	require.False(t, c.diskFailedAt.IsZero())
	c.diskFailedAt = c.diskFailedAt.Add(-reopenDelay)
	c.tick() // reopens the store
	require.True(t, c.diskFailedAt.IsZero())
	require.Equal(t, chain.NodeID(settings.ControlAddr+seedIdentitySuffix), c.replica.Self().ID)
	c.store.Close()
}

// TestSessionsAndMembers: the member set contains the newest instance of each machine with a
// session here or elsewhere, and the applied sequence number is the lowest of all sessions.
func TestSessionsAndMembers(t *testing.T) {
	c, err := newWithNetwork(rpc.TCP{}, singleNodeSettings(t), zerolog.Nop())
	require.NoError(t, err)
	defer c.store.Close()
	agent := func(id, addr string) distribute.Agent { return distribute.Agent{ID: id, Addr: addr, Zone: "a"} }
	c.recordCall(&distribute.WatchRequest{Agent: agent("f1/1", "10.0.0.1:1"), AppliedSeq: 5})
	c.recordCall(&distribute.WatchRequest{Agent: agent("f2/1", "10.0.0.2:1"), AppliedSeq: 9})
	c.receiveTable(&distribute.AgentTable{
		Controller: "x", Agents: []distribute.Agent{agent("f1/0", "10.0.0.1:1"), agent("f3/1", "10.0.0.3:1")},
	})
	require.Equal(t, []distribute.Agent{
		agent("f1/1", "10.0.0.1:1"), agent("f2/1", "10.0.0.2:1"), agent("f3/1", "10.0.0.3:1"),
	}, c.collectMembers().Agents)
	require.True(t, c.replica.AppliedEverywhere(c.sinceStart(), 5))
	require.False(t, c.replica.AppliedEverywhere(c.sinceStart(), 6))
	c.recordCall(&distribute.WatchRequest{Agent: agent("f1/2", "10.0.0.1:1"), AppliedSeq: 9})
	require.True(t, c.replica.AppliedEverywhere(c.sinceStart(), 9))
	require.Equal(t, "f1/2", c.collectMembers().Agents[0].ID)
}

// TestFailedWriteIsNotPublished: a step that commits in memory but whose records could not be
// written publishes no new state to agents and readers, also not when agents call while the disk
// fails.
func TestFailedWriteIsNotPublished(t *testing.T) {
	c, err := newWithNetwork(rpc.TCP{}, singleNodeSettings(t), zerolog.Nop())
	require.NoError(t, err)
	c.tick()
	before := c.published.Load()
	require.True(t, before.current)
	c.store.Close() // every later write fails
	_, out, err := c.replica.Propose(c.sinceStart(), &replicated.Operation{Kind: replicated.KindVersion, Model: "m", Version: 2})
	require.NoError(t, err)
	require.True(t, out.StateChanged, "a core of one machine commits at once")
	c.applyOutput(out)
	for range 2 {
		published := c.published.Load()
		require.Equal(t, before.state, published.state)
		require.Equal(t, before.view, published.view)
		require.False(t, published.current)
		c.recordCall(&distribute.WatchRequest{Agent: distribute.Agent{ID: "f/1", Addr: "10.0.0.1:1"}})
	}
	c.diskFailedAt = c.diskFailedAt.Add(-reopenDelay)
	c.tick() // reopens the store
	require.NotEqual(t, before.instance(), c.published.Load().instance(),
		"calls that wait for a sequence number of the earlier replica must retry")
	c.store.Close()
}
