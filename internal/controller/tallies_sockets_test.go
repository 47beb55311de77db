package controller

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
	"nettlefold/internal/tally"
)

// socketNetwork is the machine's own TCP, in which addresses of the loopback can be cut off from each other: their connections end, and
// none are made.
type socketNetwork struct {
	mu    sync.Mutex
	alone map[string]bool // hosts that reach no other
	conns map[net.Conn][2]string
}

func newSocketNetwork() *socketNetwork {
	return &socketNetwork{alone: map[string]bool{}, conns: map[net.Conn][2]string{}}
}

// cutOff cuts a host off from all others, or joins it again.
func (n *socketNetwork) cutOff(cut bool, ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.alone[ip] = cut
	for conn, ends := range n.conns {
		if cut && (ends[0] == ip || ends[1] == ip) {
			conn.Close()
			delete(n.conns, conn)
		}
	}
}

// socketHost is the network as one host sees it.
type socketHost struct {
	rpc.TCP
	network *socketNetwork
	ip      string
}

// Dial connects as TCP does. Behind a cut it hangs until its limit.
func (h *socketHost) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ip, _, _ := strings.Cut(addr, ":")
	h.network.mu.Lock()
	cut := h.network.alone[ip] || h.network.alone[h.ip]
	h.network.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := h.TCP.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.conns[conn] = [2]string{h.ip, ip}
	return conn, nil
}

// socketCore is three controllers that meet over real sockets.
type socketCore struct {
	t           *testing.T
	network     *socketNetwork
	ips         []string
	controllers []*Controller
}

func newSocketCore(t *testing.T) *socketCore {
	c := &socketCore{t: t, network: newSocketNetwork()}
	net := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(255))
	var seeds []string
	for i := range 3 {
		c.ips = append(c.ips, fmt.Sprintf("%s.%d", net, i+1))
		seeds = append(seeds, c.ips[i]+":8783")
	}
	for i, ip := range c.ips {
		settings := &local.Settings{
			NodeName: ip, IP: ip, Zone: "z", ControlAddr: seeds[i], Seeds: seeds, FirstStart: true, FirstPort: worldPort, LastPort: worldPort + 10,
			MachineFaultTolerance: 1, DataDirectory: t.TempDir(), Contracts: []string{contractTallies}, MemoryMB: 256,
		}
		controller, err := newOn(&socketHost{network: c.network, ip: ip}, settings, zerolog.Nop())
		require.NoError(t, err)
		c.controllers = append(c.controllers, controller)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- controller.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			require.NoError(t, <-ended)
			controller.pool.Close()
			controller.store.Close()
		})
	}
	return c
}

// add adds at a machine, and tries again until it is acknowledged.
func (c *socketCore) add(i int, id string) {
	require.Eventually(c.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		defer cancel()
		return c.controllers[i].tallies.add(ctx, tally.Add{ID: id, Tally: "t", Amount: 1}).Outcome == tally.Acknowledged
	}, 20*time.Second, 10*time.Millisecond)
}

// addMany adds at a machine, many at a time.
func (c *socketCore) addMany(i int, prefix string, count int) {
	const callers = 64
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			for n := caller; n < count; n += callers {
				c.add(i, fmt.Sprint(prefix, n))
			}
		})
	}
	all.Wait()
}

// waitFor waits until all machines read a total.
func (c *socketCore) waitFor(total int64) {
	require.Eventually(c.t, func() bool {
		for _, controller := range c.controllers {
			read, err := controller.tallies.total(context.Background(), "t")
			if err != nil || read != total {
				return false
			}
		}
		return true
	}, 20*time.Second, 5*time.Millisecond)
}

// More adds than CI has time for: go test ./internal/controller -run MergeOverSockets -v -adds 3000.
var addsFlag = flag.Int("adds", 200, "adds on each side of a cut")

// TestSidesOfACutMergeOverSockets: a machine that is cut off and the other two each take adds, one of them the same; when the cut heals all
// three read the sum. The log has how long that took.
func TestSidesOfACutMergeOverSockets(t *testing.T) {
	c := newSocketCore(t)
	c.add(0, "first")
	c.waitFor(1)
	total := int64(1)
	for round, adds := range []int{10, *addsFlag} {
		c.network.cutOff(true, c.ips[0])
		c.add(0, fmt.Sprint("both ", round))
		c.add(1, fmt.Sprint("both ", round))
		cut := time.Now()
		c.addMany(0, fmt.Sprint("alone ", round, " "), adds)
		c.addMany(1, fmt.Sprint("others ", round, " "), adds)
		total += 1 + 2*int64(adds)
		c.network.cutOff(false, c.ips[0])
		t.Logf("%d adds on each side took %v", adds, time.Since(cut).Round(time.Millisecond))
		healed := time.Now()
		c.waitFor(total)
		t.Logf("%d adds on each side: merged %v after the cut", adds, time.Since(healed).Round(time.Millisecond))
	}
}
