package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/distribute"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/simtest"
)

// fakeControllers is three controllers, each with a snapshot number, which may be old, and with or
// without a quorum.
type fakeControllers struct {
	network      *simtest.Network
	mu           sync.Mutex
	snapshotSeqs map[string]uint64
	hasQuorum    map[string]bool
	changed      chan struct{}
	calls        int
}

// callCount returns the number of watch calls to all controllers.
func (c *fakeControllers) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func controllerIP(i int) string { return fmt.Sprintf("10.0.0.%d", i) }

func newControllers(t *testing.T) *fakeControllers {
	c := &fakeControllers{network: simtest.NewNetwork(), snapshotSeqs: map[string]uint64{}, hasQuorum: map[string]bool{}, changed: make(chan struct{})}
	for i := 1; i <= 3; i++ {
		ip := controllerIP(i)
		c.hasQuorum[ip] = true
		listener, err := c.network.Host(ip).Listen(ip + ":7340")
		require.NoError(t, err)
		t.Cleanup(func() { listener.Close() })
		go rpc.Serve(listener, func(ctx context.Context, _ string, body []byte) (any, error) { return c.watch(ctx, ip, body) })
	}
	return c
}

// set sets the snapshot number and the quorum of controllers, and wakes waiting calls.
func (c *fakeControllers) set(seq uint64, hasQuorum bool, ips ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ip := range ips {
		c.snapshotSeqs[ip], c.hasQuorum[ip] = seq, hasQuorum
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// watch answers a watch call as a controller does.
func (c *fakeControllers) watch(ctx context.Context, ip string, body []byte) (any, error) {
	request := new(distribute.WatchRequest)
	if err := cbor.Unmarshal(body, request); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	timeout := time.NewTimer(350 * time.Millisecond)
	defer timeout.Stop()
	for timedOut := false; ; {
		c.mu.Lock()
		seq, hasQuorum, changed := c.snapshotSeqs[ip], c.hasQuorum[ip], c.changed
		c.mu.Unlock()
		if timedOut || seq > request.ReceivedSeq || !hasQuorum {
			reply := &distribute.WatchReply{HasQuorum: hasQuorum}
			if seq > request.ReceivedSeq {
				reply.Snapshot = &distribute.Snapshot{Seq: seq, ConfigSeq: seq, Config: []byte(fmt.Sprint(seq))}
			}
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

const agentIP = "10.0.1.1"

// runSessionTest runs a test with an agent's session. snapshotSeq returns the number of the agent's
// snapshot.
func runSessionTest(t *testing.T, test func(c *fakeControllers, snapshotSeq func() uint64)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newControllers(t)
		settings := &local.Settings{NodeName: "f", IP: agentIP, FirstPort: 7340}
		for i := 1; i <= 3; i++ {
			settings.Seeds = append(settings.Seeds, controllerIP(i)+":8783")
		}
		a := New(settings, zerolog.Nop())
		a.pool = rpc.NewPoolWithNetwork(c.network.Host(agentIP))
		ctx, stop := context.WithCancel(context.Background())
		go func() {
			for {
				select {
				case command := <-a.commands:
					command()
				case <-a.done:
					return
				}
			}
		}()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			a.runSession(ctx)
		}()
		test(c, func() (seq uint64) {
			require.NoError(t, a.runInLoop(context.Background(), func() {
				if a.snapshot != nil {
					seq = a.snapshot.Seq
				}
			}))
			return seq
		})
		stop()
		<-ended
		a.pool.Close()
		close(a.done)
		for i := 1; i <= 3; i++ {
			c.network.CloseHost(controllerIP(i))
		}
		time.Sleep(simtest.Settled)
	})
}

// TestSessionWithOneReachableController checks that an agent has the third controller's snapshot
// within two seconds, and never an older one again, while two controllers have no quorum, are
// unreachable, or are reachable in one direction only.
func TestSessionWithOneReachableController(t *testing.T) {
	for reachable := 1; reachable <= 3; reachable++ {
		for _, fault := range []string{"no quorum", "unreachable", "replies lost", "requests lost"} {
			t.Run(fmt.Sprint(reachable, fault), func(t *testing.T) {
				runSessionTest(t, func(c *fakeControllers, snapshotSeq func() uint64) {
					controllers := []string{controllerIP(1), controllerIP(2), controllerIP(3)}
					c.set(5, true, controllers...)
					time.Sleep(time.Second)
					require.Equal(t, uint64(5), snapshotSeq())
					for i, ip := range controllers {
						if i+1 == reachable {
							continue
						}
						switch fault {
						case "no quorum":
							c.set(5, false, ip)
						case "replies lost":
							c.network.Cut(true, ip, agentIP)
						case "requests lost":
							c.network.Cut(true, agentIP, ip)
						default:
							c.network.Cut(true, ip, agentIP)
							c.network.Cut(true, agentIP, ip)
						}
					}
					for seq := uint64(6); seq < 12; seq++ {
						c.set(seq, true, controllerIP(reachable))
						time.Sleep(2 * time.Second)
						require.Equal(t, seq, snapshotSeq())
					}
				})
			})
		}
	}
}

// TestNoInitialSnapshotWithoutQuorum checks that an agent without a snapshot takes none from
// controllers without a quorum, which can't know whether it is the newest. An agent with a snapshot
// takes newer ones from them, but no older ones.
func TestNoInitialSnapshotWithoutQuorum(t *testing.T) {
	runSessionTest(t, func(c *fakeControllers, snapshotSeq func() uint64) {
		controllers := []string{controllerIP(1), controllerIP(2), controllerIP(3)}
		c.set(4, false, controllers...)
		time.Sleep(5 * time.Second)
		require.Zero(t, snapshotSeq())
		c.set(7, true, controllers[0])
		time.Sleep(8 * time.Second)
		require.Equal(t, uint64(7), snapshotSeq())
		c.set(7, false, controllers[0])
		c.set(9, false, controllers[1])
		time.Sleep(8 * time.Second)
		require.Equal(t, uint64(9), snapshotSeq(), "a committed snapshot must be taken from a controller without a quorum")
		c.set(4, true, controllers[2])
		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(9), snapshotSeq())
	})
}

func TestMain(m *testing.M) { simtest.Main(m) }

// TestSessionBackoffWithoutQuorum checks that the rate of calls is bounded while no controller has
// a quorum, and that the agent has the newest snapshot soon after one has.
func TestSessionBackoffWithoutQuorum(t *testing.T) {
	runSessionTest(t, func(c *fakeControllers, snapshotSeq func() uint64) {
		controllers := []string{controllerIP(1), controllerIP(2), controllerIP(3)}
		c.set(4, false, controllers...)
		time.Sleep(time.Second)
		before := c.callCount()
		const span = 10 * time.Second
		time.Sleep(span)
		require.LessOrEqual(t, c.callCount()-before, 3*int(span/maxSessionBackoff), "watch calls in %v", span)
		c.set(5, true, controllers...)
		time.Sleep(3 * maxSessionBackoff / 2)
		require.Equal(t, uint64(5), snapshotSeq())
	})
}

// TestMembersDeltaWithUnknownBase checks that an agent that can't apply a delta keeps its members
// and requests the full set.
func TestMembersDeltaWithUnknownBase(t *testing.T) {
	a := New(&local.Settings{NodeName: "f", IP: agentIP, FirstPort: 7340}, zerolog.Nop())
	one := distribute.NewMemberSet([]distribute.Agent{{ID: "f/1"}})
	two := distribute.NewMemberSet([]distribute.Agent{{ID: "f/1"}, {ID: "g/1"}})
	other := distribute.NewMemberSet([]distribute.Agent{{ID: "h/1"}})
	a.applyMembers(&distribute.WatchReply{Members: one})
	a.applyMembers(&distribute.WatchReply{MembersDelta: one.DeltaTo(two)})
	require.Equal(t, two, a.members)
	a.applyMembers(&distribute.WatchReply{MembersDelta: other.DeltaTo(one)})
	require.Equal(t, two.Agents, a.members.Agents)
	request := a.watchRequest()
	require.Zero(t, request.MembersDigest)
}
