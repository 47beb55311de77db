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
	// platformLatency is how long a call to the platform takes.
	platformLatency   = 2 * time.Millisecond
	platformHostName  = "platform"
	fleetControllerIP = "10.9.9.9"
	fleetPort         = 7340
	// membersToldAfter is how long after an agent's end the controllers tell the others that it is gone.
	memberRemovalDelay = 3 * time.Second
)

// platform serves a list whose first entry states the time at which it was read, and refuses calls above its rate.
type fakePlatform struct {
	limit         *rate.Limiter
	start         time.Time
	prefixCaches  bool // its backends keep prompts
	eventsPerPage int  // parts that each of them reads anew between two pages of its events

	mu      sync.Mutex
	down    bool
	calls   map[int64]int // by second since the start, refused ones too
	refused int
}

// platformBurst is one part in so many of a second's calls that are answered at once.
const platformBurstDivisor = 10

func newFakePlatform(callsPerSecond int) *fakePlatform {
	return &fakePlatform{
		limit: rate.NewLimiter(rate.Limit(callsPerSecond), callsPerSecond/platformBurstDivisor), start: time.Now(), calls: map[int64]int{},
	}
}

// backendParts is how many parts of prompts a backend keeps from the first.
const minBackendParts = 20

// events is a backend's page of kept prompts: some more with each call, under names that repeat.
func eventsResponse(backend, since string, each int) (*http.Response, error) {
	next, _ := strconv.Atoi(since)
	news := []any{}
	for i := next; i < next+max(1, each) || i < minBackendParts; i++ {
		part := i % (10 * minBackendParts)
		news = append(news, []any{i, "+", "v1", fmt.Sprint(backend, "/", part), 1 + i*7919%3000, "m"})
	}
	body, err := json.Marshal(map[string]any{"epoch": 1, "next_page_token": next + len(news), "events": news})
	return newResponse(http.StatusOK, body), err
}

// RoundTrip answers GET /instances, and a backend's GET /v1/kv-events.
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
		p.refused++
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

func newResponse(status int, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(bytes.NewReader(body))}
}

// busiest is the most calls in a second from a second on.
func (p *fakePlatform) busiestSecond(from time.Duration) (most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for second, calls := range p.calls {
		if second >= int64(from/time.Second) {
			most = max(most, calls)
		}
	}
	return most
}

// fleet is agents that run in a bubble, with one controller that tells them of each other.
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

// playFleet starts agents of some zones all at once and plays with them.
func runFleet(t *testing.T, zones, each, callsPerSecond int, play func(f *fleet)) {
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
			for i := range each {
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
		play(f)
	})
}

func (f *fleet) stopAll() {
	for _, a := range f.agents {
		f.kill(a)
	}
	f.running.Wait()
}

// add makes an agent that does not run yet, and has the controller tell of it.
func (f *fleet) add(zone, ip string) *Agent { return f.register(f.newAgent(zone, ip)) }

// addOwner makes one to whom the list's duty falls: which life's that is is drawn by lot.
func (f *fleet) addOwner(zone, ip string) *Agent {
	const lives = 10_000
	f.mu.Lock()
	var others []string
	for _, m := range f.members.Agents {
		others = append(others, m.ID)
	}
	f.mu.Unlock()
	for range lives {
		if a := f.newAgent(zone, ip); rendezvous.Owner(listReaderKey, append(others, a.self.ID)) == a.self.ID {
			return f.register(a)
		}
	}
	require.FailNow(f.t, "no life is the owner's")
	return nil
}

func (f *fleet) newAgent(zone, ip string) *Agent {
	settings := &local.Settings{
		NodeName: "f-" + ip, IP: ip, Zone: zone, FirstPort: fleetPort, Seeds: []string{fleetControllerIP + ":8783"},
		LinkMbps: 10, CloudAddr: platformHostName, CloudRate: float64(f.platform.limit.Limit()),
	}
	return newAgent(f.network.Host(ip), &http.Client{Transport: f.platform}, settings, zerolog.Nop())
}

func (f *fleet) register(a *Agent) *Agent {
	f.agents = append(f.agents, a)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = &distribute.MemberSet{Digest: f.members.Digest + 1, Agents: append([]distribute.Agent{a.self}, f.members.Agents...)}
	return a
}

func (f *fleet) run(a *Agent) {
	ctx, stop := context.WithCancel(context.Background())
	f.stops[a] = stop
	f.running.Go(func() {
		if err := a.Run(ctx); err != nil {
			f.t.Error(err)
		}
	})
}

// kill ends an agent without a word, as a loss of power does.
func (f *fleet) kill(a *Agent) {
	if f.stops[a] == nil {
		return
	}
	f.stops[a]()
	delete(f.stops, a)
	a.pool.Close()
	f.network.CloseHost(a.settings.IP)
}

// lose kills agents, and has the others told some time later.
func (f *fleet) crash(agents ...*Agent) {
	gone := map[string]bool{}
	for _, a := range agents {
		f.kill(a)
		gone[a.self.ID] = true
	}
	time.AfterFunc(memberRemovalDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		left := &distribute.MemberSet{Digest: f.members.Digest + 1}
		for _, m := range f.members.Agents {
			if !gone[m.ID] {
				left.Agents = append(left.Agents, m)
			}
		}
		f.members = left
	})
}

// watch answers an agent's session: with the members if it lacks them, else after a while.
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

// oldest is the age of the oldest list among the agents that run, from its reading at the platform.
func (f *fleet) oldestListAge() (oldest time.Duration) {
	now := time.Since(f.platform.start)
	for _, a := range f.agents {
		if f.stops[a] == nil {
			continue
		}
		read := time.Duration(0) // it has none
		require.NoError(f.t, a.runInLoop(context.Background(), func() {
			if len(a.backends) > 0 {
				read = time.Duration(a.backends[0].Slots) * time.Millisecond
			}
		}))
		oldest = max(oldest, now-read)
	}
	return oldest
}

// watchAges looks at the agents for a while, and gives the age of the oldest list that one had.
func (f *fleet) maxListAge(span time.Duration) (oldest time.Duration) {
	const look = 100 * time.Millisecond
	for began := time.Now(); time.Since(began) < span; time.Sleep(look) {
		oldest = max(oldest, f.oldestListAge())
	}
	return oldest
}

// find gives an agent that runs and of which something holds.
func (f *fleet) find(holds func(a *Agent) bool) (found *Agent) {
	for _, a := range f.agents {
		if f.stops[a] == nil {
			continue
		}
		require.NoError(f.t, a.runInLoop(context.Background(), func() {
			if holds(a) {
				found = a
			}
		}))
	}
	return found
}

// owner is the agent whose duty the list is.
func (f *fleet) listReader() *Agent {
	return f.find(func(a *Agent) bool { return a.ownsKey(listReaderKey) })
}

// hub is the hub of a zone.
func (f *fleet) hub(zone string) *Agent {
	return f.find(func(a *Agent) bool { return a.settings.Zone == zone && a.gossip.hubAddr(zone) == a.self.Addr })
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}
