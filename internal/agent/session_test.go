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

// core is three controllers as an agent meets them: each knows a number that may be old, and whether it is in touch.
type fakeControllers struct {
	network      *simtest.Network
	mu           sync.Mutex
	snapshotSeqs map[string]uint64
	hasQuorum    map[string]bool
	changed      chan struct{}
	calls        int
}

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

// set gives a controller another number, and tells those that wait.
func (c *fakeControllers) set(number uint64, inTouch bool, ips ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ip := range ips {
		c.snapshotSeqs[ip], c.hasQuorum[ip] = number, inTouch
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// watch answers as a controller's session does.
func (c *fakeControllers) watch(ctx context.Context, ip string, body []byte) (any, error) {
	request := new(distribute.WatchRequest)
	if err := cbor.Unmarshal(body, request); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	held := time.NewTimer(350 * time.Millisecond)
	defer held.Stop()
	for over := false; ; {
		c.mu.Lock()
		number, inTouch, changed := c.snapshotSeqs[ip], c.hasQuorum[ip], c.changed
		c.mu.Unlock()
		if over || number > request.ReceivedSeq || !inTouch {
			reply := &distribute.WatchReply{HasQuorum: inTouch}
			if number > request.ReceivedSeq {
				reply.Snapshot = &distribute.Snapshot{Seq: number, ConfigSeq: number, Config: []byte(fmt.Sprint(number))}
			}
			return reply, nil
		}
		select {
		case <-changed:
		case <-held.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

const agentIP = "10.0.1.1"

// session plays an agent's session with the controllers.
func runSessionTest(t *testing.T, play func(c *fakeControllers, has func() uint64)) {
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
		play(c, func() (seq uint64) {
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

// TestNewsThroughAnyOneController: whichever two of the three controllers are out of touch, cut off, or answer on a link that carries one way
// only, an agent has what the third knows within two seconds, and never what is older again.
func TestSessionWithOneReachableController(t *testing.T) {
	for good := 1; good <= 3; good++ {
		for _, how := range []string{"out of touch", "cut off", "answers lost", "requests lost"} {
			t.Run(fmt.Sprint(good, how), func(t *testing.T) {
				runSessionTest(t, func(c *fakeControllers, has func() uint64) {
					all := []string{controllerIP(1), controllerIP(2), controllerIP(3)}
					c.set(5, true, all...)
					time.Sleep(time.Second)
					require.Equal(t, uint64(5), has())
					for i, ip := range all {
						if i+1 == good {
							continue
						}
						switch how {
						case "out of touch":
							c.set(5, false, ip)
						case "answers lost":
							c.network.Cut(true, ip, agentIP)
						case "requests lost":
							c.network.Cut(true, agentIP, ip)
						default:
							c.network.Cut(true, ip, agentIP)
							c.network.Cut(true, agentIP, ip)
						}
					}
					for number := uint64(6); number < 12; number++ {
						c.set(number, true, controllerIP(good))
						time.Sleep(2 * time.Second)
						require.Equal(t, number, has())
					}
				})
			})
		}
	}
}

// TestNothingToBeginWithFromAControllerOutOfTouch: an agent that knows nothing yet takes nothing from controllers that cannot tell whether it
// is the newest; one that knows something takes what is newer, and nothing older.
func TestNoInitialSnapshotWithoutQuorum(t *testing.T) {
	runSessionTest(t, func(c *fakeControllers, has func() uint64) {
		all := []string{controllerIP(1), controllerIP(2), controllerIP(3)}
		c.set(4, false, all...)
		time.Sleep(5 * time.Second)
		require.Zero(t, has())
		c.set(7, true, all[0])
		time.Sleep(8 * time.Second)
		require.Equal(t, uint64(7), has())
		c.set(7, false, all[0])
		c.set(9, false, all[1])
		time.Sleep(8 * time.Second)
		require.Equal(t, uint64(9), has(), "committed is committed")
		c.set(4, true, all[2])
		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(9), has())
	})
}

func TestMain(m *testing.M) { simtest.Main(m) }

// TestAgentsThatSearchTogether: while no controller is in touch an agent calls at a bounded rate, and soon after one is again it has its news.
func TestSessionBackoffWithoutQuorum(t *testing.T) {
	runSessionTest(t, func(c *fakeControllers, has func() uint64) {
		all := []string{controllerIP(1), controllerIP(2), controllerIP(3)}
		c.set(4, false, all...)
		time.Sleep(time.Second)
		before := c.callCount()
		const span = 10 * time.Second
		time.Sleep(span)
		require.LessOrEqual(t, c.callCount()-before, 3*int(span/maxSessionBackoff))
		c.set(5, true, all...)
		time.Sleep(3 * maxSessionBackoff / 2)
		require.Equal(t, uint64(5), has())
	})
}

// TestAChangeOfOtherMembers: an agent that cannot apply a change keeps the members that it knows and asks for the whole.
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
