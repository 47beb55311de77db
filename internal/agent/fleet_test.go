package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"nettlefold/internal/distribute"
	"nettlefold/internal/rendezvous"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/simtest"
)

const (
	platformInstances = 326
	platformPageSize  = 50
	platformPageCount = (platformInstances + platformPageSize - 1) / platformPageSize
	// platformLatency is the duration of a call to the platform.
	platformLatency   = 2 * time.Millisecond
	platformHostName  = "platform"
	fleetControllerIP = "10.9.9.9"
	fleetPort         = 7340
	// memberRemovalDelay is the time from an agent's crash until the controllers remove it from the
	// members.
	memberRemovalDelay = 3 * time.Second
)

// fakePlatform serves an instance list and rejects calls above its rate. The first entry's Slots is
// the time of the read in milliseconds since the platform's start. It also serves the cache events
// of backends.
type fakePlatform struct {
	limit         *rate.Limiter
	start         time.Time
	prefixCaches  bool // the backends have prefix caches
	eventsPerPage int  // parts that each backend caches between two of its event pages

	mu       sync.Mutex
	down     bool
	calls    map[int64]int // by second since the start, including rejected calls
	rejected int
}

// platformBurstDivisor is the divisor of a second's calls that gives the number of calls answered
// in a burst.
const platformBurstDivisor = 10

func newFakePlatform(callsPerSecond int) *fakePlatform {
	return &fakePlatform{
		limit: rate.NewLimiter(rate.Limit(callsPerSecond), callsPerSecond/platformBurstDivisor), start: time.Now(), calls: map[int64]int{},
	}
}

// minBackendParts is the number of prompt parts that a backend has cached from the start.
const minBackendParts = 20

// eventsResponse returns a page of a backend's cache events: some more with each call, with part
// names that repeat.
func eventsResponse(backend, since string, perPage int) (*http.Response, error) {
	next, _ := strconv.Atoi(since)
	events := []any{}
	for i := next; i < next+max(1, perPage) || i < minBackendParts; i++ {
		part := i % (10 * minBackendParts)
		events = append(events, []any{i, "+", "v1", fmt.Sprint(backend, "/", part), 1 + i*7919%3000, "m"})
	}
	body, err := json.Marshal(map[string]any{"epoch": 1, "next_page_token": next + len(events), "events": events})
	return newResponse(http.StatusOK, body), err
}

// RoundTrip handles GET /instances of the platform and GET /v1/kv-events of backends.
func (p *fakePlatform) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(platformLatency)
	if request.URL.Host != platformHostName {
		return eventsResponse(request.URL.Host, request.URL.Query().Get("since"), p.eventsPerPage)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	second := int64(time.Since(p.start) / time.Second)
	p.calls[second]++
	if p.down {
		return newResponse(http.StatusServiceUnavailable, nil), nil
	}
	if !p.limit.Allow() {
		p.rejected++
		return newResponse(http.StatusTooManyRequests, nil), nil
	}
	first, _ := strconv.Atoi(request.URL.Query().Get("page_token"))
	page := instancePage{}
	for i := first; i < min(first+platformPageSize, platformInstances); i++ {
		entry := instance{ID: fmt.Sprintf("i-%04d", i), Service: "s", Address: fmt.Sprintf("10.7.%d.%d:80", i/200, i%200), Zone: "z0"}
		if p.prefixCaches {
			entry.Models = append(entry.Models, modelVersion{"m", 1})
		}
		if i == 0 {
			entry.Slots = int(time.Since(p.start).Milliseconds())
		}
		page.Instances = append(page.Instances, entry)
	}
	if next := first + platformPageSize; next < platformInstances {
		token := strconv.Itoa(next)
		page.Next = &token
	}
	body, err := json.Marshal(page)
	return newResponse(http.StatusOK, body), err
}

// newResponse returns a response with a status and a body.
func newResponse(status int, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(bytes.NewReader(body))}
}

// busiestSecond returns the maximum number of calls in one second, counted from a time after the
// start.
func (p *fakePlatform) busiestSecond(from time.Duration) (maxCalls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for second, calls := range p.calls {
		if second >= int64(from/time.Second) {
			maxCalls = max(maxCalls, calls)
		}
	}
	return maxCalls
}

// fleet is a set of agents in a synctest bubble with one controller that distributes the members.
type fleet struct {
	t        *testing.T
	network  *simtest.Network
	platform *fakePlatform
	agents   []*Agent
	stops    map[*Agent]context.CancelFunc
	running  sync.WaitGroup

	mu      sync.Mutex
	members *distribute.MemberSet
}

// runFleet starts agents in several zones at once and runs a test with them.
func runFleet(t *testing.T, zones, agentsPerZone, callsPerSecond int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, network: simtest.NewNetwork(), stops: map[*Agent]context.CancelFunc{}, members: &distribute.MemberSet{Digest: 1},
			platform: newFakePlatform(callsPerSecond),
		}
		listener, err := f.network.Host(fleetControllerIP).Listen(fmt.Sprintf("%s:%d", fleetControllerIP, fleetPort))
		require.NoError(t, err)
		go rpc.Serve(listener, func(_ context.Context, _ string, body []byte) (any, error) { return f.watch(body) })
		for zone := range zones {
			for i := range agentsPerZone {
				f.add(fmt.Sprint("z", zone), fmt.Sprintf("127.%d.0.%d", zone, i+1))
			}
		}
		for _, a := range f.agents {
			f.run(a)
		}
		defer func() {
			f.stopAll()
			listener.Close()
			f.network.CloseHost(fleetControllerIP)
			time.Sleep(simtest.Settled)
		}()
		test(f)
	})
}

// stopAll stops all agents and waits until they have stopped.
func (f *fleet) stopAll() {
	for _, a := range f.agents {
		f.kill(a)
	}
	f.running.Wait()
}

// add creates an agent without starting it, and adds it to the members.
func (f *fleet) add(zone, ip string) *Agent { return f.register(f.newAgent(zone, ip)) }

// addOwner adds an agent that is the list reader. Agent IDs are random, so it creates agents until
// one is.
func (f *fleet) addOwner(zone, ip string) *Agent {
	const maxAttempts = 10_000
	f.mu.Lock()
	var others []string
	for _, m := range f.members.Agents {
		others = append(others, m.ID)
	}
	f.mu.Unlock()
	for range maxAttempts {
		if a := f.newAgent(zone, ip); rendezvous.Owner(listReaderKey, append(others, a.self.ID)) == a.self.ID {
			return f.register(a)
		}
	}
	require.FailNow(f.t, "no generated agent ID is the list reader")
	return nil
}

// newAgent returns an agent on the fleet's network.
func (f *fleet) newAgent(zone, ip string) *Agent {
	settings := &local.Settings{
		NodeName: "f-" + ip, IP: ip, Zone: zone, FirstPort: fleetPort, Seeds: []string{fleetControllerIP + ":8783"},
		LinkMbps: 10, CloudAddr: platformHostName, CloudRate: float64(f.platform.limit.Limit()),
	}
	return newAgent(f.network.Host(ip), &http.Client{Transport: f.platform}, settings, zerolog.Nop())
}

// register adds an agent to the fleet and to the members.
func (f *fleet) register(a *Agent) *Agent {
	f.agents = append(f.agents, a)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = &distribute.MemberSet{Digest: f.members.Digest + 1, Agents: append([]distribute.Agent{a.self}, f.members.Agents...)}
	return a
}

// run starts an agent.
func (f *fleet) run(a *Agent) {
	ctx, stop := context.WithCancel(context.Background())
	f.stops[a] = stop
	f.running.Go(func() {
		if err := a.Run(ctx); err != nil {
			f.t.Error(err)
		}
	})
}

// kill stops an agent without closing its connections in order, like a power failure.
func (f *fleet) kill(a *Agent) {
	if f.stops[a] == nil {
		return
	}
	f.stops[a]()
	delete(f.stops, a)
	a.pool.Close()
	f.network.CloseHost(a.settings.IP)
}

// crash kills agents. The members are updated memberRemovalDelay later.
func (f *fleet) crash(agents ...*Agent) {
	crashed := map[string]bool{}
	for _, a := range agents {
		f.kill(a)
		crashed[a.self.ID] = true
	}
	time.AfterFunc(memberRemovalDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		members := &distribute.MemberSet{Digest: f.members.Digest + 1}
		for _, m := range f.members.Agents {
			if !crashed[m.ID] {
				members.Agents = append(members.Agents, m)
			}
		}
		f.members = members
	})
}

// watch answers a watch call: at once with the members if the agent has others, else after a delay.
func (f *fleet) watch(body []byte) (any, error) {
	request := new(distribute.WatchRequest)
	if err := cbor.Unmarshal(body, request); err != nil {
		return nil, err
	}
	f.mu.Lock()
	members := f.members
	f.mu.Unlock()
	reply := &distribute.WatchReply{HasQuorum: true}
	if request.ReceivedSeq == 0 {
		reply.Snapshot = &distribute.Snapshot{Seq: 1, ConfigSeq: 1, Config: []byte("{}")}
	}
	if request.MembersDigest == members.Digest {
		time.Sleep(350 * time.Millisecond)
	} else {
		reply.Members = members
	}
	return reply, nil
}

// oldestListAge returns the age of the oldest list among the running agents, since its read at the
// platform.
func (f *fleet) oldestListAge() (oldest time.Duration) {
	now := time.Since(f.platform.start)
	for _, a := range f.agents {
		if f.stops[a] == nil {
			continue
		}
		readAt := time.Duration(0) // the agent has no list yet
		require.NoError(f.t, a.runInLoop(context.Background(), func() {
			if len(a.backends) > 0 {
				readAt = time.Duration(a.backends[0].Slots) * time.Millisecond
			}
		}))
		oldest = max(oldest, now-readAt)
	}
	return oldest
}

// maxListAge samples the agents' list ages for a while and returns the maximum.
func (f *fleet) maxListAge(span time.Duration) (oldest time.Duration) {
	const sampleInterval = 100 * time.Millisecond
	for start := time.Now(); time.Since(start) < span; time.Sleep(sampleInterval) {
		oldest = max(oldest, f.oldestListAge())
	}
	return oldest
}

// find returns a running agent that satisfies a condition.
func (f *fleet) find(matches func(a *Agent) bool) (found *Agent) {
	for _, a := range f.agents {
		if f.stops[a] == nil {
			continue
		}
		require.NoError(f.t, a.runInLoop(context.Background(), func() {
			if matches(a) {
				found = a
			}
		}))
	}
	return found
}

// listReader returns the agent that reads the platform's list.
func (f *fleet) listReader() *Agent {
	return f.find(func(a *Agent) bool { return a.ownsKey(listReaderKey) })
}

// hub returns the hub of a zone.
func (f *fleet) hub(zone string) *Agent {
	return f.find(func(a *Agent) bool { return a.settings.Zone == zone && a.gossip.hubAddr(zone) == a.self.Addr })
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}
