package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/replicated"
	"nettlefold/internal/superseded"
)

const testConfig = `{"version":1,"routes":[],"services":[
 {"name":"llm","connection_limit":100,"cold_start_s":3,"cold_per_s":6,"engine":{"slots":64,"kv_capacity_tokens":180000,"kv_token_bytes":35136,"link_mbps":740000}},
 {"name":"plain","connection_limit":100},
 {"name":"vault","kv_store_address":"172.20.0.2:8781","zone":"a"}]}`

var testSettings = Settings{
	Zone: "a", VersionLimit: 10 * time.Second, ColdOvershoot: 1.5, ColdSlack: 5,
	RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, RetryBudgetWindow: 10 * time.Second, DiscoveryLag: 800 * time.Millisecond,
}

// backendInfo returns the entry of backend n, which serves model m in zone a with a version of its weights.
func backendInfo(n int, version int64) BackendInfo {
	return BackendInfo{
		ID: fmt.Sprint("b", n), Service: "llm", Addr: fmt.Sprintf("10.0.0.%d:80", n), Zone: "a", Slots: 64,
		Versions: map[string]int64{"m": version},
	}
}

// newTable returns the table of a mixer in zone a, one of two mixers, with a list of backends.
func newTable(t testing.TB, list ...BackendInfo) *Table {
	t.Helper()
	doc, err := config.Parse([]byte(testConfig))
	require.NoError(t, err)
	table := New(0, testSettings, rand.New(rand.NewPCG(1, 1)))
	table.SetConfig(config.Compile(doc))
	table.SetMembers(Members{Self: "me", All: []string{"me", "other"}})
	table.SetBackends(0, list, nil)
	return table
}

var testParts = []kvindex.Part{{ID: "sys", Tokens: 1000}, {ID: "manual", Tokens: 12000}, {ID: "own", Tokens: 3000}}

// promptRequest returns a request whose prompt consists of testParts.
func promptRequest() *Request {
	return &Request{Service: "llm", Model: "m", Parts: testParts, PromptTokens: 16000, BodyBytes: 1000}
}

// setCachedParts replaces the cached parts of a backend by the first n of testParts under a salt.
func setCachedParts(table *Table, id, salt string, n int) {
	b := &kvindex.Batch{Backend: id, Snapshot: true}
	for i, key := range kvindex.Keys(salt, "m", testParts)[:n] {
		b.Changes = append(b.Changes, kvindex.Change{Key: key, Tokens: testParts[i].Tokens})
	}
	table.Index().Apply(b)
}

func TestPickPrefersBackendWithCachedPrompt(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 1), backendInfo(3, 1))
	setCachedParts(table, "b2", "v1", 2)
	c := table.Pick(0, promptRequest())
	require.Equal(t, "b2", c.ID)
	require.Empty(t, c.FetchAddr)
	require.Equal(t, "v1", c.Salt)
	require.Equal(t, int64(1), c.Version)
}

func TestPickFetchesFromBusyHolder(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 1))
	setCachedParts(table, "b2", "v1", 2)
	table.SetOtherLoads(map[string]Load{"b2": {Running: 10, QueuedPrefillMS: 3000}})
	c := table.Pick(0, promptRequest())
	require.Equal(t, "b1", c.ID)
	require.Equal(t, "10.0.0.2:80", c.FetchAddr)
}

// TestPickWaterFillsHolders checks that holders are picked by the fewest pending fetches. The count is
// incremented by each pick and decremented at the first byte or at the end of the request, whatever its
// outcome.
func TestPickWaterFillsHolders(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 1), backendInfo(3, 1), backendInfo(4, 1))
	holders := map[string]bool{"b2": true, "b3": true, "b4": true}
	for id := range holders {
		setCachedParts(table, id, "v1", 2)
	}
	table.SetOtherLoads(map[string]Load{"b2": {QueuedPrefillMS: 60000}, "b3": {QueuedPrefillMS: 60000}, "b4": {QueuedPrefillMS: 60000}})
	counts := map[string]int{}
	var choices []*Choice
	for range 9 {
		c := table.Pick(0, promptRequest())
		require.Equal(t, "b1", c.ID)
		choices = append(choices, c)
		counts[c.FetchAddr]++
	}
	require.Equal(t, map[string]int{"10.0.0.2:80": 3, "10.0.0.3:80": 3, "10.0.0.4:80": 3}, counts)
	for i, c := range choices {
		if i%2 == 0 {
			table.RecordFirstByte(0, c, "llm")
		}
		table.End(0, c, []Outcome{Completed, Refused, Failed, Cancelled, WrongInstance}[i%5])
		table.End(0, c, Completed) // a second call has no effect
	}
	for id := range holders {
		require.Zero(t, table.Backend(id).pendingFetches, id)
	}
	require.Equal(t, Load{}, table.Backend("b1").ownLoad)
	require.Zero(t, table.Backend("b1").awaitingFirstByte)
}

func TestPickSkipsUnusableHolders(t *testing.T) {
	for name, makeUnusable := range map[string]func(table *Table){
		"evacuated": func(table *Table) { table.SetState(0, map[string]uint64{"z": 1}, nil, nil) },
		"draining": func(table *Table) {
			l := backendInfo(2, 1)
			l.Zone, l.Draining = "z", true
			table.SetBackends(0, []BackendInfo{backendInfo(1, 1), l}, nil)
		},
		"loading": func(table *Table) {
			table.SetBackends(0, []BackendInfo{backendInfo(1, 1), inZoneZ(backendInfo(2, 1))}, map[string]string{"b2": PhaseLoading})
		},
		"removed":               func(table *Table) { table.SetBackends(0, []BackendInfo{backendInfo(1, 1)}, nil) },
		"of another version":    func(table *Table) { table.Index().Remove("b2"); setCachedParts(table, "b2", "v0", 2) },
		"of an isolated tenant": func(table *Table) { table.Index().Remove("b2"); setCachedParts(table, "b2", "v1/t9", 2) },
		"failing": func(table *Table) {
			c := table.Pick(0, &Request{Service: "llm", Model: "m", Parts: testParts, TriedBackends: []string{"b1"}})
			table.End(0, c, Failed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, backendInfo(1, 1), inZoneZ(backendInfo(2, 1)))
			setCachedParts(table, "b2", "v1", 2)
			table.SetOtherLoads(map[string]Load{"b2": {QueuedPrefillMS: 60000}})
			require.Equal(t, "10.0.0.2:80", table.Pick(0, promptRequest()).FetchAddr, "the holder is usable before")
			makeUnusable(table)
			c := table.Pick(100*time.Millisecond, promptRequest())
			require.Equal(t, "b1", c.ID)
			require.Empty(t, c.FetchAddr)
		})
	}
}

func inZoneZ(l BackendInfo) BackendInfo {
	l.Zone = "z"
	return l
}

// TestPickStopsSupersededVersionBeforeLimit guards against responses that begin on a superseded version after
// its limit: requests are not sent near the limit, and those without a first byte are withdrawn before it.
func TestPickStopsSupersededVersionBeforeLimit(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 2))
	table.SetState(time.Second, nil, map[string]replicated.ModelVersion{"m": {Version: 2}}, map[string]superseded.History{"m": superseded.History{}.With(2, time.Second)})
	onlyOld := &Request{Service: "llm", Model: "m", TriedBackends: []string{"b2"}}
	c := table.Pick(2*time.Second, onlyOld)
	require.NotNil(t, c)
	require.Greater(t, table.FirstByteDeadline(c), 10*time.Second)
	require.Less(t, table.FirstByteDeadline(c), 11*time.Second, "a request without a first byte is withdrawn before the limit")
	require.Nil(t, table.Pick(10*time.Second, onlyOld))
	restarted := newTable(t, backendInfo(1, 1), backendInfo(2, 2))
	restarted.SetState(0, nil, map[string]replicated.ModelVersion{"m": {Version: 2}}, nil)
	require.Nil(t, restarted.Pick(0, onlyOld), "a version is expired if the time of its successor is not known")
}

// TestColdBackendRateAcrossMixers checks the limit on the requests that all mixers together send to a cold
// backend within any second. Each mixer process is killed and restarted once.
func TestColdBackendRateAcrossMixers(t *testing.T) {
	for _, n := range []int{1, 3, 9, 72, 400} {
		var members []string
		for i := range n {
			members = append(members, fmt.Sprint("mixer", i))
		}
		var sent []time.Duration
		for _, self := range members {
			for run := range 2 {
				table := newTable(t, backendInfo(1, 1))
				table.started = time.Duration(run) * 1500 * time.Millisecond
				table.SetMembers(Members{Self: self, All: members})
				cold := backendInfo(1, 1)
				cold.ColdMS = 60000
				table.SetBackends(table.started, []BackendInfo{cold}, nil)
				for now := table.started; now < table.started+6*time.Second; now += 20 * time.Millisecond {
					if run == 0 && now >= 1500*time.Millisecond { // killed
						break
					}
					if c := table.Pick(now, &Request{Service: "llm", Model: "m"}); c != nil {
						sent = append(sent, now)
						table.End(now, c, Completed)
					}
				}
			}
		}
		most := 0
		for _, from := range sent {
			inSecond := 0
			for _, at := range sent {
				if at >= from && at < from+time.Second {
					inSecond++
				}
			}
			most = max(most, inSecond)
		}
		require.LessOrEqual(t, float64(most), 6*1.5+5, "requests within one second from %d mixers", n)
		require.NotEmpty(t, sent, "requests from %d mixers", n)
	}
}

// TestRetryBudgetAcrossMixers takes all retries that any mixer may within one window, with each mixer killed and
// restarted once.
func TestRetryBudgetAcrossMixers(t *testing.T) {
	for _, n := range []int{1, 9, 72} {
		var members []string
		for i := range n {
			members = append(members, fmt.Sprint("mixer", i))
		}
		requests, retries := 0, 0
		for _, self := range members {
			for range 2 {
				table := newTable(t)
				table.SetMembers(Members{Self: self, All: members})
				for i := range 50 {
					table.RecordRequest(time.Duration(i)*50*time.Millisecond, "llm")
					requests++
				}
				for table.TakeRetry(3*time.Second, "llm") {
					retries++
				}
			}
		}
		require.LessOrEqual(t, float64(retries), 0.2*float64(requests)+60, "retries of %d mixers", n)
		require.Positive(t, retries)
	}
}

func TestRetryBudgetRefillsAfterWindow(t *testing.T) {
	table := newTable(t)
	for table.TakeRetry(0, "llm") {
	}
	require.False(t, table.TakeRetry(5*time.Second, "llm"))
	require.True(t, table.TakeRetry(11*time.Second, "llm"))
}

func TestRestoredZoneIsCold(t *testing.T) {
	table := newTable(t, backendInfo(1, 1))
	table.SetMembers(Members{Self: "me", All: []string{"me"}})
	table.SetState(2*time.Second, map[string]uint64{"a": 3}, nil, nil)
	require.Nil(t, table.Pick(2*time.Second, promptRequest()))
	table.SetState(4*time.Second, nil, nil, nil)
	require.NotNil(t, table.Pick(4*time.Second, promptRequest()))
	require.Nil(t, table.Pick(4*time.Second+100*time.Millisecond, promptRequest()), "a cold backend gets one request per second")
	require.NotNil(t, table.Pick(9*time.Second, promptRequest()))
	require.NotNil(t, table.Pick(9*time.Second+100*time.Millisecond, promptRequest()))
}

func TestFailingBackendIsProbedByOneRequest(t *testing.T) {
	table := newTable(t, backendInfo(1, 1), backendInfo(2, 1))
	r := &Request{Service: "llm", Model: "m", TriedBackends: []string{"b2"}}
	table.End(0, table.Pick(0, r), Failed)
	c := table.Pick(100*time.Millisecond, &Request{Service: "llm", Model: "m"})
	require.Equal(t, "b2", c.ID)
	table.SetOtherLoads(map[string]Load{"b2": {QueuedPrefillMS: 60000}})
	probe := table.Pick(time.Second, &Request{Service: "llm", Model: "m"})
	require.Equal(t, "b1", probe.ID, "one request probes the backend after its backoff")
	require.Equal(t, "b2", table.Pick(time.Second, &Request{Service: "llm", Model: "m"}).ID, "no second request during the probe")
	table.RecordFirstByte(1100*time.Millisecond, probe, "llm")
	require.Equal(t, "b1", table.Pick(1200*time.Millisecond, &Request{Service: "llm", Model: "m"}).ID)
}

// TestBackendThatViolatesTheProtocolIsProbedOnly: a backend that sent junk several times in a row gets one probe after each
// backoff, even if it is the only one, and all requests again once it responds. One that only fails is still tried.
func TestBackendThatViolatesTheProtocolIsProbedOnly(t *testing.T) {
	for _, outcome := range []Outcome{Violated, Failed} {
		table, now := newTable(t, backendInfo(1, 1)), time.Duration(0)
		for range violationThreshold {
			choice := table.Pick(now, promptRequest())
			require.NotNil(t, choice)
			table.End(now, choice, outcome)
		}
		if outcome == Failed {
			require.NotNil(t, table.Pick(now, promptRequest()))
			continue
		}
		require.Nil(t, table.Pick(now, promptRequest()))
		now += failureBackoff(violationThreshold)
		probe := table.Pick(now, promptRequest())
		require.NotNil(t, probe)
		require.Nil(t, table.Pick(now, promptRequest()), "a second request beside the probe")
		table.End(now, probe, Violated)
		require.Nil(t, table.Pick(now, promptRequest()))
		now += failureBackoff(violationThreshold + 1)
		probe = table.Pick(now, promptRequest())
		table.RecordFirstByte(now, probe, "llm")
		require.NotNil(t, table.Pick(now, promptRequest()))
		require.NotNil(t, table.Pick(now, promptRequest()))
	}
}

func TestPickRefusesRequestThatWouldMissTarget(t *testing.T) {
	table := newTable(t, backendInfo(1, 1))
	r := &Request{Service: "llm", Model: "m", PromptTokens: 1000, TargetMS: 1000, RemainingMS: 10000}
	require.Zero(t, table.Pick(0, r).RetryAfterMS, "the backend has no queue")
	table.SetOtherLoads(map[string]Load{"b1": {QueuedPrefillMS: 4000}})
	retryAfterMS := table.Pick(0, r).RetryAfterMS
	require.Positive(t, retryAfterMS)
	require.LessOrEqual(t, retryAfterMS, 1500.0)
	r.Retried = true
	require.Zero(t, table.Pick(0, r).RetryAfterMS, "a retried request is admitted while its remaining time suffices")
	r.RemainingMS = 3000
	require.Positive(t, table.Pick(0, r).RetryAfterMS)
}
