package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/replicated"
)

// promptCache is what engines keep of prompts: as they do, it finds a part by its salt alone and does not
// look at the tenant whose request made it.
type promptCache struct {
	mu     sync.Mutex
	makers map[string]string // tenant of the request that made a part, by salt and part
	uses   []promptUse       // of parts that another tenant's request made
}

// promptUse is the use of a part that another tenant's request made.
type promptUse struct{ tenant, maker, part string }

// serve serves a request as an engine with this cache.
func (c *promptCache) serve(w http.ResponseWriter, r *http.Request) {
	c.record(r)
	serveOK(w, r)
}

// record uses and makes the parts of a request's prompt.
func (c *promptCache) record(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.makers == nil {
		c.makers = map[string]string{}
	}
	tenant := r.Header.Get(headerTenantName)
	for _, item := range strings.Split(r.Header.Get(headerPromptPrefix), ",") {
		part, _, _ := strings.Cut(item, ":")
		key := r.Header.Get(headerCacheSalt) + " " + part
		maker, kept := c.makers[key]
		if !kept {
			c.makers[key] = tenant
			continue
		}
		if maker != tenant {
			c.uses = append(c.uses, promptUse{tenant, maker, part})
		}
	}
}

// takeUses returns the uses since the last call.
func (c *promptCache) takeUses() []promptUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	uses := c.uses
	c.uses = nil
	return uses
}

// isolationConfig returns a configuration with the tenants t1, t2 and t3, whose API keys are k1, k2 and
// k3. Those listed are isolated.
func isolationConfig(version int64, isolated ...string) string {
	var tenants []string
	for i := 1; i <= 3; i++ {
		name := fmt.Sprint("t", i)
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"api_keys":["k%d"],"isolated":%t}`, name, i, strings.Contains(strings.Join(isolated, ","), name)))
	}
	text := testConfig[:strings.Index(testConfig, `"tenants"`)]
	return strings.Replace(text, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1) + `"tenants":[` + strings.Join(tenants, ",") + `]}`
}

// operatorState is the replicated state of a fleet, as an operator changes it.
type operatorState struct{ *replicated.State }

// configure applies a configuration on top of the current one.
func (s operatorState) configure(t *testing.T, text string) {
	t.Helper()
	o := &replicated.Operation{Kind: replicated.KindConfig, Body: []byte(text), BaseVersion: s.ConfigVersion}
	verdict, err := s.Check(o)
	require.NoError(t, err)
	require.Equal(t, replicated.Accept, verdict)
	s.Apply(s.Seq+1, o)
}

// applyState gives a proxy the state as the snapshot that its agent would send.
func (f *fixture) applyState(s operatorState) {
	f.proxy.execute(func() {
		f.proxy.applyReply(f.proxy.now(), &feed.Reply{AgentID: "a1", Snapshot: distribute.NewSnapshot(s.State, 0)})
	})
}

// ask sends a request with the prompt that all tenants share and requires that it is served.
func (f *fixture) ask(key string) {
	f.t.Helper()
	response, _, err := f.post("/once/x", key, "", headerModel, "m", headerTokenUsage, "1460,80", headerPromptPrefix, "sys:800,doc:410,own:250")
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, response.StatusCode)
}

// newIsolationFixture returns a proxy whose engine has a cache, and the state that configured it. The
// state starts with operation 1, because the fixture has applied a snapshot with that number.
func newIsolationFixture(t *testing.T) (*fixture, *promptCache, operatorState) {
	t.Helper()
	cache := new(promptCache)
	s := operatorState{replicated.New()}
	s.Seq = 1
	return newFixture(t, cache.serve), cache, s
}

// TestPromptsBeforeIsolationAreNotShared guards against WALL: after a tenant was isolated by a new
// configuration, other tenants used the cached prompts that its earlier requests had made.
func TestPromptsBeforeIsolationAreNotShared(t *testing.T) {
	f, cache, s := newIsolationFixture(t)
	s.configure(t, isolationConfig(1))
	f.applyState(s)
	f.ask("k1")
	f.ask("k2")
	require.NotEmpty(t, cache.takeUses(), "tenants share prompts before")
	s.configure(t, isolationConfig(2, "t1"))
	f.applyState(s)
	f.ask("k2")
	f.ask("k1")
	require.Empty(t, cache.takeUses(), "uses across the tenants after t1 was isolated")
	f.ask("k3")
	require.Equal(t, []promptUse{{"t3", "t2", "sys"}, {"t3", "t2", "doc"}, {"t3", "t2", "own"}}, cache.takeUses(), "the others share anew")
}

// TestIsolationChanges guards against WALL in orders of events around a change of isolation. Each step sets
// the isolated tenants, "" for none, or none of it and only asks; each tenant then asks.
func TestIsolationChanges(t *testing.T) {
	for name, steps := range map[string][]string{
		"isolated, and asking again":             {"", "t1", "t1"},
		"an older configuration again":           {"", "t1", "", "t1"},
		"several in a row":                       {"", "t1", "t1,t2", "t2", "", "t3"},
		"isolated from the start, open, and not": {"t1", "", "t1", "t2"},
	} {
		t.Run(name, func(t *testing.T) {
			f, cache, s := newIsolationFixture(t)
			for i, isolated := range steps {
				s.configure(t, isolationConfig(int64(i+1), strings.Split(isolated, ",")...))
				f.applyState(s)
				for range 2 {
					for _, key := range []string{"k1", "k2", "k3"} {
						f.ask(key)
					}
				}
				for _, use := range cache.takeUses() {
					require.NotContains(t, isolated, use.tenant, "step %d: %+v", i+1, use)
					require.NotContains(t, isolated, use.maker, "step %d: %+v", i+1, use)
				}
			}
		})
	}
}

// TestTenantReturnsIsolated guards against WALL by a tenant that shared prompts, left the configuration and is
// isolated when it returns.
func TestTenantReturnsIsolated(t *testing.T) {
	f, cache, s := newIsolationFixture(t)
	s.configure(t, isolationConfig(1))
	f.applyState(s)
	f.ask("k1")
	s.configure(t, strings.Replace(isolationConfig(2), `"name":"t1","api_keys":["k1"]`, `"name":"t4","api_keys":["k4"]`, 1))
	f.applyState(s)
	s.configure(t, isolationConfig(3, "t1"))
	f.applyState(s)
	f.ask("k2")
	require.Empty(t, cache.takeUses())
}

// TestFrontsApplyIsolationAtDifferentTimes guards against WALL where one proxy applies a change before another,
// and where a process is started anew after it, with the state as it is stored.
func TestFrontsApplyIsolationAtDifferentTimes(t *testing.T) {
	early, cache, s := newIsolationFixture(t)
	late := newFixture(t, cache.serve)
	s.configure(t, isolationConfig(1))
	early.applyState(s)
	late.applyState(s)
	early.ask("k1")
	s.configure(t, isolationConfig(2, "t1"))
	early.applyState(s)
	late.ask("k1") // still under the old configuration: it makes prompts that others may not use later
	cache.takeUses()
	early.ask("k2")
	require.Empty(t, cache.takeUses(), "at the proxy that has the new configuration")
	late.applyState(s)
	late.ask("k1")
	require.Empty(t, cache.takeUses(), "at the other one, once it has it too")
	stored, err := replicated.Decode(s.Encode())
	require.NoError(t, err)
	restarted := newFixture(t, cache.serve)
	restarted.applyState(operatorState{stored})
	restarted.ask("k1")
	require.Empty(t, cache.takeUses(), "at a new process")
	restarted.ask("k2")
	require.Empty(t, cache.takeUses(), "at a new process")
	restarted.ask("k3")
	require.NotEmpty(t, cache.takeUses(), "the others share, at a new process too")
}

// TestIsolationBesideEarlierBuild guards against WALL while an agent or controller of a build that doesn't know
// when the sharing started passes the snapshots on.
func TestIsolationBesideEarlierBuild(t *testing.T) {
	current, cache, s := newIsolationFixture(t)
	upgrading := newFixture(t, cache.serve)
	applyFromEarlierBuild := func() {
		snapshot := distribute.NewSnapshot(s.State, 0)
		snapshot.SharingSince = nil
		upgrading.proxy.execute(func() {
			upgrading.proxy.applyReply(upgrading.proxy.now(), &feed.Reply{AgentID: "a1", Snapshot: snapshot})
		})
	}
	for i, isolated := range []string{"", "t1", "", "t2", "t1,t2"} {
		s.configure(t, isolationConfig(int64(i+1), strings.Split(isolated, ",")...))
		current.applyState(s)
		applyFromEarlierBuild()
		for _, key := range []string{"k1", "k2", "k3"} {
			current.ask(key)
			upgrading.ask(key)
		}
		for _, use := range cache.takeUses() {
			require.NotContains(t, isolated, use.tenant, "step %d: %+v", i+1, use)
			require.NotContains(t, isolated, use.maker, "step %d: %+v", i+1, use)
		}
	}
	upgrading.applyState(s)
	current.ask("k3")
	cache.takeUses()
	upgrading.ask("k3")
	require.Empty(t, cache.takeUses(), "after the upgrade")
}

// TestRetryAcrossIsolation guards against WALL by a request that is tried again after its tenant was isolated, or
// was removed: its salt is that of the configuration in force when it is sent.
func TestRetryAcrossIsolation(t *testing.T) {
	for name, text := range map[string]string{
		"isolated": isolationConfig(2, "t1"),
		"removed":  strings.Replace(isolationConfig(2), `"name":"t1","api_keys":["k1"]`, `"name":"t4","api_keys":["k4"]`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			cache := new(promptCache)
			s := operatorState{replicated.New()}
			s.Seq = 1
			var f *fixture
			var once sync.Once
			handler := func(w http.ResponseWriter, r *http.Request) {
				refused := false
				once.Do(func() {
					s.configure(t, text)
					f.applyState(s)
					refused = true
				})
				if refused {
					serveNotExecuted(w, r)
					return
				}
				cache.serve(w, r)
			}
			f = newFixture(t, handler, handler)
			s.configure(t, isolationConfig(1))
			f.applyState(s)
			f.ask("k1")
			received := f.receivedRequests()
			require.Len(t, received, 2)
			require.Equal(t, "v1", received[0].Header.Get(headerCacheSalt), "before")
			require.Equal(t, "v1/t1", received[1].Header.Get(headerCacheSalt), "after")
			f.ask("k2")
			require.Empty(t, cache.takeUses())
		})
	}
}

// TestUploadAcrossIsolation guards against WALL by a request whose body arrives while its tenant is isolated.
func TestUploadAcrossIsolation(t *testing.T) {
	f, cache, s := newIsolationFixture(t)
	s.configure(t, isolationConfig(1))
	f.applyState(s)
	f.ask("k2")
	body, upload := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, f.frontend.URL+"/once/x", body)
	require.NoError(t, err)
	request.Host = "h"
	for header, value := range map[string]string{
		headerRequestID: "id-1", headerAPIKey: "k1", headerModel: "m", headerTokenUsage: "1460,80", headerPromptPrefix: "sys:800,doc:410,own:250",
	} {
		request.Header.Set(header, value)
	}
	answered := make(chan error, 1)
	var response *http.Response
	go func() {
		var err error
		response, err = http.DefaultClient.Do(request)
		answered <- err
	}()
	io.WriteString(upload, "half of it,")
	require.Eventually(t, func() bool { return f.proxy.counters.inFlight.Load() > 0 }, 10*time.Second, time.Millisecond)
	s.configure(t, isolationConfig(2, "t1"))
	f.applyState(s)
	io.WriteString(upload, " and the rest")
	upload.Close()
	require.NoError(t, <-answered)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, cache.takeUses())
	require.Equal(t, "v1/t1", f.receivedRequests()[1].Header.Get(headerCacheSalt))
}

// TestChangesThatIsolateNobodyKeepPrompts checks that a change that lets no shared prompt become forbidden costs
// nobody a cached prompt.
func TestChangesThatIsolateNobodyKeepPrompts(t *testing.T) {
	f, cache, s := newIsolationFixture(t)
	withNewcomer := func(version int64, isolated ...string) string {
		return strings.Replace(isolationConfig(version, isolated...), `"tenants":[`, `"tenants":[{"name":"new","api_keys":["k9"],"isolated":true},`, 1)
	}
	s.configure(t, isolationConfig(1, "t3"))
	f.applyState(s)
	f.ask("k1")
	for i, text := range []string{
		strings.Replace(isolationConfig(2, "t3"), `"max_body_bytes":1000`, `"max_body_bytes":2000`, 1), // limits
		strings.Replace(isolationConfig(3, "t3"), "/open/", "/opened/", 1),                             // routes
		withNewcomer(4, "t3"),    // a tenant that never shared prompts
		isolationConfig(5, "t3"), // it leaves
		isolationConfig(6),       // t3 is isolated no more
	} {
		s.configure(t, text)
		f.applyState(s)
		f.ask("k2")
		require.Equal(t, promptUse{"t2", "t1", "sys"}, cache.takeUses()[0], "change %d", i+1)
	}
}
