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
	"nettlefold/internal/settings/local"
)

// freePort gives a port that nobody listens on.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// alone is the settings of a core of one machine.
func alone(t *testing.T) *local.Settings {
	control := "127.0.0.1:" + strconv.Itoa(freePort(t))
	return &local.Settings{
		NodeName: "core-a-1", IP: "127.0.0.1", Zone: "a", Zones: map[string]string{"a": "r"}, ControlAddr: control, Seeds: []string{control},
		FirstStart: true, FirstPort: freePort(t), DataDirectory: t.TempDir(),
	}
}

// run starts a controller, and gives what stops it.
func run(t *testing.T, settings *local.Settings) (stop func()) {
	t.Helper()
	c, err := New(settings, zerolog.Nop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended, listening := make(chan error, 1), make(chan struct{})
	go func() { ended <- c.Run(ctx) }()
	go func() {
		c.ask(context.Background(), func() {}) // the owner works once all listen
		close(listening)
	}()
	select {
	case <-listening:
	case err := <-ended:
		require.NoError(t, err, "the controller ended at once")
	}
	return func() {
		cancel()
		require.NoError(t, <-ended)
		c.store.Close()
	}
}

func call(t *testing.T, settings *local.Settings, method, path, match, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+settings.ControlAddr+path, strings.NewReader(body))
	require.NoError(t, err)
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer.StatusCode, string(text)
}

func document(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"host":"h","path_prefix":"/","timeout_ms":10,"service":%q}],"services":[{"name":"s"}], "kept":"as sent"}`, version, service)
}

func TestTheOperatorsCalls(t *testing.T) {
	settings := alone(t)
	stop := run(t, settings)
	put := func(match, body string) int {
		status, _ := call(t, settings, http.MethodPut, "/v1/configuration", match, body)
		return status
	}
	status, _ := call(t, settings, http.MethodGet, "/v1/configuration", "", "")
	require.Equal(t, 404, status, "none yet")
	require.Equal(t, 200, put("0", document(3, "s")))
	require.Equal(t, 200, put("0", document(3, "s")), "the same again")
	require.Equal(t, 412, put("0", document(9, "s")), "a rival")
	require.Equal(t, 412, put("2", document(9, "s")), "on a version that never was")
	require.Equal(t, 400, put("3", document(3, "s")), "the same version with another base")
	require.Equal(t, 400, put("3", document(4, "nowhere")))
	require.Equal(t, 400, put("3", document(4, "s")[:20]))
	require.Equal(t, 400, put("three", document(4, "s")))
	_, text := call(t, settings, http.MethodPut, "/v1/configuration", "3", document(4, "nowhere"))
	require.Contains(t, text, "/routes/0/service")
	require.Equal(t, 200, put("3", document(8, "s")))
	require.Equal(t, 200, put("0", document(3, "s")), "an order that was taken is never refused")
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
	} {
		status, _ := call(t, settings, c.method, c.path, "", c.body)
		require.Equal(t, c.status, status, "%s %s %s", c.method, c.path, c.body)
	}
	status, text = call(t, settings, http.MethodGet, "/v1/status", "", "")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"config_version": 8`)
	stop()

	stop = run(t, settings) // again, on the same disk
	defer stop()
	status, text = call(t, settings, http.MethodGet, "/v1/configuration", "", "")
	require.Equal(t, 200, status)
	require.Equal(t, document(8, "s"), text, "to the letter")
}

// TestIdentities: a seed's identity at the first start is known to all, any other empty disk is a newcomer that promises nothing.
func TestIdentities(t *testing.T) {
	seed := alone(t)
	c, err := New(seed, zerolog.Nop())
	require.NoError(t, err)
	require.Equal(t, chain.NodeID(seed.ControlAddr+firstIdentity), c.replica.Self().ID)
	require.Equal(t, uint64(1), c.replica.View().Epoch)
	c.store.Close()

	again := *seed
	again.FirstStart = false
	c, err = New(&again, zerolog.Nop())
	require.NoError(t, err)
	require.Equal(t, chain.NodeID(seed.ControlAddr+firstIdentity), c.replica.Self().ID, "its disk remembers")
	c.store.Close()

	lost := again
	lost.DataDirectory = t.TempDir()
	c, err = New(&lost, zerolog.Nop())
	require.NoError(t, err)
	require.NotEqual(t, chain.NodeID(seed.ControlAddr+firstIdentity), c.replica.Self().ID)
	require.Zero(t, c.replica.View().Epoch)
	require.False(t, c.replica.Serving())
	c.store.Close()

	elsewhere := *seed
	elsewhere.ControlAddr, elsewhere.DataDirectory = "127.0.0.1:1", t.TempDir()
	c, err = New(&elsewhere, zerolog.Nop())
	require.NoError(t, err)
	require.Zero(t, c.replica.View().Epoch, "it is no seed")
	c.store.Close()
}

// TestADamagedDiskIsANewcomers: a machine whose state is damaged keeps a copy aside, and answers for nothing that it knew; also where the
// settings still say that this is the first start.
func TestADamagedDiskIsANewcomers(t *testing.T) {
	settings := alone(t)
	c, err := New(settings, zerolog.Nop())
	require.NoError(t, err)
	c.tick()
	c.store.Close()
	files, err := filepath.Glob(filepath.Join(settings.DataDirectory, "*.db"))
	require.NoError(t, err)
	text, err := os.ReadFile(files[0])
	require.NoError(t, err)
	text[len(text)/2] ^= 0x40
	require.NoError(t, os.WriteFile(files[0], text, 0o644))
	c, err = New(settings, zerolog.Nop())
	require.NoError(t, err)
	require.NotEqual(t, chain.NodeID(settings.ControlAddr+firstIdentity), c.replica.Self().ID)
	require.Zero(t, c.replica.View().Epoch)
	c.store.Close()
	kept, err := os.ReadFile(filepath.Join(settings.DataDirectory, "damaged-"+filepath.Base(files[0])))
	require.NoError(t, err)
	require.Equal(t, text, kept)
}

// TestNothingIsToldWhenTheDiskFails: a step whose records were not synced has not happened.
func TestNothingIsToldWhenTheDiskFails(t *testing.T) {
	settings := alone(t)
	c, err := New(settings, zerolog.Nop())
	require.NoError(t, err)
	c.tick()
	require.True(t, c.public.Load().current)
	c.store.Close() // from here on each write fails
	reader := make(chan struct{})
	c.readers[77] = reader
	c.perform(chain.Output{Records: []chain.Record{{Meta: &chain.Meta{Identity: "x"}}}, ConfirmedReads: []uint64{77}})
	select {
	case <-reader:
		t.Fatal("a reader was answered")
	default:
	}
	require.False(t, c.public.Load().current)
	require.False(t, c.broken.IsZero())
	c.broken = c.broken.Add(-reopenAfter)
	c.tick() // the disk works again
	require.True(t, c.broken.IsZero())
	require.Equal(t, chain.NodeID(settings.ControlAddr+firstIdentity), c.replica.Self().ID)
	c.store.Close()
}

// TestSessionsAndMembers: each machine's newest life once, with a session here or elsewhere; what all have applied.
func TestSessionsAndMembers(t *testing.T) {
	c, err := New(alone(t), zerolog.Nop())
	require.NoError(t, err)
	defer c.store.Close()
	agent := func(life, addr string) distribute.Agent { return distribute.Agent{ID: life, Addr: addr, Zone: "a"} }
	c.touch(&distribute.WatchRequest{Agent: agent("f1/1", "10.0.0.1:1"), AppliedSeq: 5})
	c.touch(&distribute.WatchRequest{Agent: agent("f2/1", "10.0.0.2:1"), AppliedSeq: 9})
	c.takeTable(&distribute.AgentTable{Controller: "x", Agents: []distribute.Agent{agent("f1/0", "10.0.0.1:1"), agent("f3/1", "10.0.0.3:1")}})
	require.Equal(t, []distribute.Agent{agent("f1/1", "10.0.0.1:1"), agent("f2/1", "10.0.0.2:1"), agent("f3/1", "10.0.0.3:1")}, c.members().Agents)
	require.True(t, c.replica.AppliedEverywhere(c.now(), 5))
	require.False(t, c.replica.AppliedEverywhere(c.now(), 6))
	c.touch(&distribute.WatchRequest{Agent: agent("f1/2", "10.0.0.1:1"), AppliedSeq: 9})
	require.True(t, c.replica.AppliedEverywhere(c.now(), 9))
	require.Equal(t, "f1/2", c.members().Agents[0].ID)
}

// TestWhatWasNotWrittenIsNotShown: a step that commits in memory, and whose records the disk did not take, shows nothing new to agents and
// readers; nor does what they do while the disk fails.
func TestWhatWasNotWrittenIsNotShown(t *testing.T) {
	c, err := New(alone(t), zerolog.Nop())
	require.NoError(t, err)
	c.tick()
	before := c.public.Load()
	require.True(t, before.current)
	c.store.Close() // from here on each write fails
	_, out, err := c.replica.Propose(c.now(), &replicated.Operation{Kind: replicated.KindVersion, Model: "m", Version: 2})
	require.NoError(t, err)
	require.True(t, out.StateChanged, "this core of one commits at once")
	c.perform(out)
	for range 2 {
		shown := c.public.Load()
		require.Equal(t, before.state, shown.state)
		require.Equal(t, before.view, shown.view)
		require.False(t, shown.current)
		c.touch(&distribute.WatchRequest{Agent: distribute.Agent{ID: "f/1", Addr: "10.0.0.1:1"}})
	}
	c.broken = c.broken.Add(-reopenAfter)
	c.tick() // the disk works again
	require.NotEqual(t, before.service(), c.public.Load().service(), "what waits for numbers of the earlier replica asks again")
	c.store.Close()
}
